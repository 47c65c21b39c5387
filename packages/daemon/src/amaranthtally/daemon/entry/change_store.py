"""
The log of changes on the platform.

``changes/N`` is written once, by compare-and-swap where absent: that write is the
commit point. ``head`` names the newest change and carries it; it is a hint that
exists from the first change on, so a watch of it ends only when it has changed.
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
)
from amaranthtally.settings import Change, decode_change, encode_change

__all__ = ["BLOCK", "ChangeStore", "HeadRead", "block_prefix"]

HEAD_KEY = "head"
CHANGE_PREFIX = "changes/"
NUMBER_WIDTH = 9
# Changes are read a block at a time: all numbers that share all but two digits.
BLOCK_DIGITS = 2
BLOCK = 10**BLOCK_DIGITS
HEAD_CHANGE_BYTES = 65_536
WRITE_TRIES = 4
WRITE_PAUSE_S = 0.2


class _Head(msgspec.Struct, frozen=True):
    number: int
    change: Change | None = None


@dataclass(frozen=True, slots=True)
class HeadRead:
    """The newest change's number; ``change`` is left out where it is large."""

    index: int
    number: int = 0
    change: Change | None = None


class ChangeStore:
    """Reads and writes of the log; errors come back as ``Err``."""

    def __init__(self, platform: KeyValueClient) -> None:
        self._platform = platform

    # Head

    async def read_head(self) -> Result[HeadRead, PlatformError]:
        """Read the head at once."""
        found = await self._platform.get(HEAD_KEY)
        return found.map(lambda entry: _head_read(entry, 0))

    async def watch_head(
        self, index: int, wait_s: float
    ) -> Result[HeadRead, PlatformError]:
        """Read the head once it has changed after ``index``."""
        found = await self._platform.watch(HEAD_KEY, index, wait_s)
        return found.map(
            lambda listing: _head_read(next(iter(listing.entries), None), listing.index)
        )

    async def advance_head(
        self, change: Change, seen: HeadRead
    ) -> Result[None, PlatformError]:
        """Make the head name ``change`` or a later one."""
        data = _head_bytes(change)
        while seen.number < change.number:
            written = await self._platform.compare_and_swap(HEAD_KEY, data, seen.index)
            if isinstance(written, Err):
                return written
            if written.ok_value:
                return Ok(None)
            read = await self.read_head()
            if isinstance(read, Err):
                return read
            seen = read.ok_value
        return Ok(None)

    # Changes

    async def read_change(self, number: int) -> Result[Change | None, PlatformError]:
        """Read one change; ``Ok(None)`` where none has the number yet."""
        found = await self._platform.get(_key(number))
        return found.map(lambda entry: decode_change(entry.value) if entry else None)

    async def read_changes(
        self, after: int, last: int
    ) -> Result[list[Change], PlatformError]:
        """Read the changes that are kept, from ``after + 1`` to ``last``."""
        changes: list[Change] = []
        for block in range((after + 1) // BLOCK, last // BLOCK + 1):
            found = await self._platform.list(block_prefix(block))
            if isinstance(found, Err):
                return found
            changes += [decode_change(e.value) for e in found.ok_value.entries]
        return Ok([change for change in changes if after < change.number <= last])

    async def write_change(self, change: Change) -> Result[Change, PlatformError]:
        """
        Write a change where its number is free; return the change that has it.

        A platform that is slow or fails after the write took effect gives no
        answer: it shows as a timeout or a broken connection. The number is then
        read back. While it is free the write may still be on its way; writing the
        same bytes under the same number again can't make two changes of it. Only
        ``PlatformOutcomeUnknown`` leaves open whether the change holds.
        """
        lost = False
        for attempt in range(WRITE_TRIES):
            if attempt:
                await asyncio.sleep(WRITE_PAUSE_S * attempt)
            written = await self._platform.compare_and_swap(
                _key(change.number), encode_change(change), 0
            )
            if isinstance(written, Ok) and written.ok_value:
                return Ok(change)
            if isinstance(written, Err):
                if isinstance(written.err_value, PlatformUnavailable) and not lost:
                    return written
                lost = True
            stored = await self.read_change(change.number)
            if isinstance(stored, Ok) and stored.ok_value is not None:
                return Ok(stored.ok_value)
        detail = f"change {change.id}: see 'amaranthtally audit --id {change.id}'"
        return Err(PlatformOutcomeUnknown(detail))


def block_prefix(block: int) -> str:
    """Return the prefix that the changes of a block share."""
    return f"{CHANGE_PREFIX}{block:0{NUMBER_WIDTH - BLOCK_DIGITS}}"


def _key(number: int) -> str:
    return f"{CHANGE_PREFIX}{number:0{NUMBER_WIDTH}}"


def _head_read(entry: KeyValueEntry | None, index: int) -> HeadRead:
    if entry is None:
        return HeadRead(index)
    head = msgspec.json.decode(entry.value, type=_Head)
    return HeadRead(entry.index, head.number, head.change)


def _head_bytes(change: Change) -> bytes:
    data = msgspec.json.encode(_Head(change.number, change))
    if len(data) > HEAD_CHANGE_BYTES:
        return msgspec.json.encode(_Head(change.number))
    return data
