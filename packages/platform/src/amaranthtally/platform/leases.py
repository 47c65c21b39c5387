"""
Leases: keys of the platform's key-value service, held by a session with a TTL.

Holding a lease proves nothing by itself: a process may be paused beyond the TTL and
act after the lease has expired.
"""

from typing import TypeVar

import aiohttp
import msgspec
from result import Err, Ok, Result

from amaranthtally.decoding import decode_base64, decode_json
from amaranthtally.platform.errors import (
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
)
from amaranthtally.platform.key_value import read_flag
from amaranthtally.platform.sessions import read_body

__all__ = ["VersionedValue", "LeaseClient"]

CALL_TIMEOUT_S = 2.0
HTTP_OK = 200
HTTP_NOT_FOUND = 404

T = TypeVar("T")


class VersionedValue(msgspec.Struct, frozen=True):
    """A key's value and index; the index is 0 if the key is absent."""

    value: bytes = b""
    index: int = 0


class _Session(msgspec.Struct):
    ID: str


class _Row(msgspec.Struct):
    Value: str
    ModifyIndex: int


class LeaseClient:
    """Creates sessions and acquires keys for them; returns errors as ``Err``."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)

    async def open_session(self, ttl_s: float) -> Result[str, PlatformError]:
        """Create a session that expires ``ttl_s`` seconds later; return its id."""
        body = msgspec.json.encode({"TTL": f"{ttl_s}s"})
        answer = await self._put("/v1/session/create", {}, body)
        return answer.and_then(lambda raw: _decode(raw, _Session)).map(lambda s: s.ID)

    async def close_session(self, session: str) -> Result[bytes, PlatformError]:
        """End a session and release its keys."""
        return await self._put(f"/v1/session/destroy/{session}", {}, b"")

    async def read(self, key: str) -> Result[VersionedValue, PlatformError]:
        """Read a key."""
        try:
            async with self._session.get(
                f"{self._url}/v1/kv/{key}", timeout=self._timeout
            ) as response:
                body = await read_body(response)
        except (aiohttp.ClientError, TimeoutError) as error:
            return Err(PlatformUnavailable(type(error).__name__))
        if response.status == HTTP_NOT_FOUND:
            return Ok(VersionedValue())
        if response.status != HTTP_OK:
            return Err(PlatformUnavailable(f"status {response.status}"))
        return _decode(body, list[_Row]).and_then(_read_row)

    async def acquire(
        self, key: str, value: bytes, index: int, session: str
    ) -> Result[bool, PlatformError]:
        """Acquire a key that still has ``index`` and that no session holds."""
        params = {"cas": str(index), "acquire": session}
        answer = await self._put(f"/v1/kv/{key}", params, value)
        return answer.and_then(read_flag)

    async def _put(
        self, path: str, params: dict[str, str], body: bytes
    ) -> Result[bytes, PlatformError]:
        try:
            async with self._session.put(
                self._url + path, params=params, data=body, timeout=self._timeout
            ) as response:
                raw = await read_body(response)
        except aiohttp.ClientConnectorError as error:
            return Err(PlatformUnavailable(type(error).__name__))
        except (aiohttp.ClientError, TimeoutError) as error:
            return Err(PlatformOutcomeUnknown(type(error).__name__))
        if response.status != HTTP_OK:
            return Err(PlatformUnavailable(f"status {response.status}"))
        return Ok(raw)


def _decode(body: bytes, kind: type[T]) -> Result[T, PlatformError]:
    return decode_json(body, kind).map_err(_malformed)


def _read_row(rows: list[_Row]) -> Result[VersionedValue, PlatformError]:
    if not rows:
        return Err(PlatformUnavailable("malformed response: no row"))
    return (
        decode_base64(rows[0].Value)
        .map(lambda value: VersionedValue(value, rows[0].ModifyIndex))
        .map_err(_malformed)
    )


def _malformed(cause: ValueError) -> PlatformError:
    return PlatformUnavailable(f"malformed response: {cause}")
