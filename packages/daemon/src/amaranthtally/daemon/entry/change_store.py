"""
The log of settings changes, stored in the platform's key-value service.

``changes/N`` is written once, by a compare-and-swap that succeeds only if the key does
not exist; this write commits the change. ``head`` has the number and usually the text
of the newest change. It may lag behind the log. It exists from the first change on, so
that a watch of it ends only when it has changed.
"""

import asyncio
from dataclasses import dataclass

import msgspec
from result import Err, Ok, Result

from amaranthtally.platform import (
    KeyValueClient,
    KeyValueEntry,
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
    decode_entry,
)
from amaranthtally.settings import Change, encode_change

__all__ = ["BLOCK", "ChangeStore", "LogHead", "block_prefix"]

HEAD_KEY = "head"
CHANGE_PREFIX = "changes/"
NUMBER_WIDTH = 9
# Changes are read in blocks: the numbers of a block differ only in the last two digits.
BLOCK_DIGITS = 2
BLOCK = 10**BLOCK_DIGITS
HEAD_CHANGE_BYTES = 65_536
MAX_WRITE_ATTEMPTS = 4
WRITE_PAUSE_S = 0.2


class _Head(msgspec.Struct, frozen=True):
    number: int
    change: Change | None = None


@dataclass(frozen=True, slots=True)
class LogHead:
    """The number of the newest change; ``change`` is ``None`` if it is too large."""

    index: int
    number: int = 0
    change: Change | None = None


class ChangeStore:
    """Reads and writes the log; errors are returned as ``Err``."""

    def __init__(self, platform: KeyValueClient) -> None:
        self._platform = platform

    # Head

    async def read_head(self) -> Result[LogHead, PlatformError]:
        """Read the head without waiting."""
        result = await self._platform.get(HEAD_KEY)
        return result.and_then(lambda entry: _parse_head(entry, 0))

    async def watch_head(
        self, index: int, wait_s: float
    ) -> Result[LogHead, PlatformError]:
        """Read the head after it has changed since ``index``, or after ``wait_s``."""
        result = await self._platform.watch(HEAD_KEY, index, wait_s)
        return result.and_then(
            lambda listing: _parse_head(
                next(iter(listing.entries), None), listing.index
            )
        )

    async def advance_head(
        self, change: Change, known_head: LogHead
    ) -> Result[None, PlatformError]:
        """Write ``change`` to the head, unless the head has a later change."""
        data = _encode_head(change)
        while known_head.number < change.number:
            written = await self._platform.compare_and_swap(
                HEAD_KEY, data, known_head.index
            )
            if isinstance(written, Err):
                return written
            if written.ok_value:
                return Ok(None)
            result = await self.read_head()
            if isinstance(result, Err):
                return result
            known_head = result.ok_value
        return Ok(None)

    # Changes

    async def read_change(self, number: int) -> Result[Change | None, PlatformError]:
        """Read one change; ``Ok(None)`` if there is none with this number."""
        result = await self._platform.get(_key(number))
        if isinstance(result, Err):
            return result
        if result.ok_value is None:
            return Ok(None)
        return decode_entry(result.ok_value, Change)

    async def read_changes(
        self, after: int, last: int
    ) -> Result[list[Change], PlatformError]:
        """Read the stored changes with the numbers ``after + 1`` to ``last``."""
        changes: list[Change] = []
        for block in range((after + 1) // BLOCK, last // BLOCK + 1):
            result = await self._platform.list(block_prefix(block))
            if isinstance(result, Err):
                return result
            for entry in result.ok_value.entries:
                change = decode_entry(entry, Change)
                if isinstance(change, Err):
                    return change
                changes.append(change.ok_value)
        return Ok([change for change in changes if after < change.number <= last])

    async def write_change(self, change: Change) -> Result[Change, PlatformError]:
        """
        Write a change if its number is free; return the change that has the number.

        If the platform is slow, or fails after the write took effect, the write ends in
        a timeout or a broken connection. The change is then read back. If it does not
        exist, the write may still arrive later; repeating it is safe, as the same bytes
        under the same number are the same change. Only after ``PlatformOutcomeUnknown``
        is it unknown whether the change was committed.
        """
        outcome_unknown = False
        for attempt in range(MAX_WRITE_ATTEMPTS):
            if attempt:
                await asyncio.sleep(WRITE_PAUSE_S * attempt)
            written = await self._platform.compare_and_swap(
                _key(change.number), encode_change(change), 0
            )
            if isinstance(written, Ok) and written.ok_value:
                return Ok(change)
            if isinstance(written, Err):
                if (
                    isinstance(written.err_value, PlatformUnavailable)
                    and not outcome_unknown
                ):
                    return written
                outcome_unknown = True
            stored = await self.read_change(change.number)
            if isinstance(stored, Ok) and stored.ok_value is not None:
                return Ok(stored.ok_value)
        detail = f"change {change.id}: see 'amaranthtally audit --id {change.id}'"
        return Err(PlatformOutcomeUnknown(detail))


def block_prefix(block: int) -> str:
    """Return the common key prefix of the changes of a block."""
    return f"{CHANGE_PREFIX}{block:0{NUMBER_WIDTH - BLOCK_DIGITS}}"


def _key(number: int) -> str:
    return f"{CHANGE_PREFIX}{number:0{NUMBER_WIDTH}}"


def _parse_head(
    entry: KeyValueEntry | None, index: int
) -> Result[LogHead, PlatformError]:
    if entry is None:
        return Ok(LogHead(index))
    return decode_entry(entry, _Head).map(
        lambda head: LogHead(entry.index, head.number, head.change)
    )


def _encode_head(change: Change) -> bytes:
    data = msgspec.json.encode(_Head(change.number, change))
    if len(data) > HEAD_CHANGE_BYTES:
        return msgspec.json.encode(_Head(change.number))
    return data
