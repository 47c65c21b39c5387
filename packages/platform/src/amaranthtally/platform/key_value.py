"""
Client of the platform's key-value service.

The service has the HTTP interface of Consul: ``/v1/kv/KEY`` with ``?cas=INDEX`` for
compare-and-swap (0: only if absent), ``?recurse`` for a prefix and
``?index=N&wait=30s`` for a long poll; values are in base64.
"""

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from email.utils import parsedate_to_datetime
from typing import TypeVar

import aiohttp
import msgspec
from aiohttp import hdrs
from result import Err, Ok, Result

from amaranthtally.decoding import decode_base64, decode_json
from amaranthtally.platform.errors import (
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
)
from amaranthtally.platform.sessions import (
    bounded_session,
    read_body,
)
from amaranthtally.platform.timeouts import answer_timeout

__all__ = [
    "KeyValueClient",
    "KeyValueEntry",
    "Listing",
    "decode_entry",
    "open_key_value",
    "read_flag",
]

CALLER_HEADER = "X-Caller"
INDEX_HEADER = "X-Consul-Index"
# A response is abandoned when no data arrives for this long, in seconds; a watch may
# take its wait and the margin.
READ_TIMEOUT_S = 2.0
WATCH_MARGIN_S = 5.0
HTTP_NOT_FOUND = 404
HTTP_OK = 200

FLAGS = {b"true": True, b"false": False}

T = TypeVar("T")


class _Row(msgspec.Struct, frozen=True):
    Key: str
    Value: str
    ModifyIndex: int


@dataclass(frozen=True, slots=True)
class KeyValueEntry:
    """A key's value; ``index`` increases with each write to it."""

    key: str
    value: bytes
    index: int


@dataclass(frozen=True, slots=True)
class Listing:
    """Entries under a prefix; the next watch starts from ``index``."""

    index: int
    entries: tuple[KeyValueEntry, ...]


class KeyValueClient:
    """Client of the key-value service; returns errors as ``Err``."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._clock_offset_s: float | None = None

    @property
    def platform_time_s(self) -> float | None:
        """
        The platform's wall clock, in seconds since the epoch, accurate to a second.

        ``None`` before its first response. Hosts' wall clocks may be wrong by hours;
        the platform's shows the same time to every process.
        """
        if self._clock_offset_s is None:
            return None
        return _uptime() + self._clock_offset_s

    async def get(self, key: str) -> Result[KeyValueEntry | None, PlatformError]:
        """Read one key; ``Ok(None)`` if it is absent."""
        answer = await self._read(key, {})
        return answer.map(
            lambda listing: listing.entries[0] if listing.entries else None
        )

    async def list(self, prefix: str) -> Result[Listing, PlatformError]:
        """Read every key under a prefix."""
        return await self._read(prefix, {"recurse": ""})

    async def watch(
        self, key: str, index: int, wait_s: float
    ) -> Result[Listing, PlatformError]:
        """
        Wait until a key changes after ``index``, at most ``wait_s``, and read it.

        A watch on an absent key may end at any write; watch only keys that exist.
        """
        params = {"index": str(index), "wait": f"{wait_s:.0f}s"}
        return await self._read(key, params, wait_s + WATCH_MARGIN_S)

    async def compare_and_swap(
        self, key: str, value: bytes, index: int
    ) -> Result[bool, PlatformError]:
        """
        Write a key that still has ``index`` (0: absent); ``Ok(False)`` if it has not.

        ``PlatformOutcomeUnknown`` means that the write may have taken effect.
        """
        url = f"{self._url}/v1/kv/{key}"
        try:
            async with self._session.put(
                url,
                params={"cas": str(index)},
                data=value,
                timeout=answer_timeout(READ_TIMEOUT_S, READ_TIMEOUT_S),
            ) as response:
                self._note_clock(response)
                body = await read_body(response)
        except aiohttp.ClientConnectorError as error:
            return Err(PlatformUnavailable(str(error)))
        except (aiohttp.ClientError, TimeoutError) as error:
            return Err(PlatformOutcomeUnknown(type(error).__name__))
        if response.status != HTTP_OK:
            return Err(PlatformUnavailable(f"status {response.status}"))
        return read_flag(body)

    async def delete(self, key: str, index: int) -> Result[bool, PlatformError]:
        """Delete a key that still has ``index``; ``Ok(False)`` if it has not."""
        try:
            async with self._session.delete(
                f"{self._url}/v1/kv/{key}",
                params={"cas": str(index)},
                timeout=answer_timeout(READ_TIMEOUT_S, READ_TIMEOUT_S),
            ) as response:
                self._note_clock(response)
                body = await read_body(response)
        except (aiohttp.ClientError, TimeoutError) as error:
            return Err(PlatformOutcomeUnknown(type(error).__name__))
        if response.status != HTTP_OK:
            return Err(PlatformUnavailable(f"status {response.status}"))
        return read_flag(body)

    async def delete_prefix(self, prefix: str) -> Result[None, PlatformError]:
        """Delete every key under a prefix."""
        try:
            async with self._session.delete(
                f"{self._url}/v1/kv/{prefix}",
                params={"recurse": ""},
                timeout=answer_timeout(READ_TIMEOUT_S, READ_TIMEOUT_S),
            ) as response:
                await read_body(response)
        except (aiohttp.ClientError, TimeoutError) as error:
            return Err(PlatformOutcomeUnknown(type(error).__name__))
        if response.status != HTTP_OK:
            return Err(PlatformUnavailable(f"status {response.status}"))
        return Ok(None)

    async def _fetch(
        self, key: str, params: dict[str, str], read_timeout_s: float
    ) -> tuple[aiohttp.ClientResponse, bytes]:
        """Read a response; send the call again if its idle connection was closed."""
        try:
            return await self._fetch_once(key, params, read_timeout_s)
        except aiohttp.ClientConnectorError:
            raise
        except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError):
            return await self._fetch_once(key, params, read_timeout_s)

    async def _fetch_once(
        self, key: str, params: dict[str, str], read_timeout_s: float
    ) -> tuple[aiohttp.ClientResponse, bytes]:
        async with self._session.get(
            f"{self._url}/v1/kv/{key}",
            params=params,
            timeout=answer_timeout(read_timeout_s, READ_TIMEOUT_S),
        ) as response:
            self._note_clock(response)
            return response, await read_body(response)

    def _note_clock(self, response: aiohttp.ClientResponse) -> None:
        date = response.headers.get(hdrs.DATE)
        if date is None or response.status not in (HTTP_OK, HTTP_NOT_FOUND):
            return
        try:
            platform_time_s = parsedate_to_datetime(date).timestamp()
        except ValueError:
            return
        self._clock_offset_s = platform_time_s - _uptime()

    async def _read(
        self, key: str, params: dict[str, str], read_timeout_s: float = READ_TIMEOUT_S
    ) -> Result[Listing, PlatformError]:
        try:
            response, body = await self._fetch(key, params, read_timeout_s)
        except (aiohttp.ClientError, TimeoutError) as error:
            return Err(PlatformUnavailable(type(error).__name__))
        if response.status not in (HTTP_OK, HTTP_NOT_FOUND):
            return Err(PlatformUnavailable(f"status {response.status}"))
        try:
            index = int(response.headers.get(INDEX_HEADER, "0"))
        except ValueError as error:
            return Err(PlatformUnavailable(f"malformed response: {error}"))
        if response.status == HTTP_NOT_FOUND:
            return Ok(Listing(index, ()))
        return (
            decode_json(body, list[_Row])
            .map(lambda rows: Listing(index, tuple(_entry(row) for row in rows)))
            .map_err(lambda e: PlatformUnavailable(f"malformed response: {e}"))
        )


def read_flag(body: bytes) -> Result[bool, PlatformError]:
    """Return whether a write was made; it is unknown if the service says neither."""
    flag = FLAGS.get(body.strip())
    return (
        Err(PlatformOutcomeUnknown("malformed response")) if flag is None else Ok(flag)
    )


def decode_entry(entry: KeyValueEntry, kind: type[T]) -> Result[T, PlatformError]:
    """Decode the JSON value of a key."""
    return decode_json(entry.value, kind).map_err(
        lambda error: PlatformUnavailable(f"value of {entry.key!r}: {error}")
    )


@asynccontextmanager
async def open_key_value(url: str, caller: str) -> AsyncIterator[KeyValueClient]:
    """
    Open a client and close its connections on exit.

    ``caller`` identifies this process to the platform, which counts calls by caller.
    """
    async with bounded_session(headers={CALLER_HEADER: caller}) as session:
        yield KeyValueClient(session, url)


def _uptime() -> float:
    """Return seconds on a clock that keeps running while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _entry(row: _Row) -> KeyValueEntry:
    # A value that is not base64 becomes an empty one, which no reader of a value takes:
    # it keeps no other key of the listing from being read.
    value = decode_base64(row.Value).unwrap_or(b"")
    return KeyValueEntry(row.Key, value, row.ModifyIndex)
