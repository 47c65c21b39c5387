"""The platform's list of live and leaving hosts, which lags behind the hosts."""

from enum import Enum

import aiohttp
import msgspec
from aiohttp import hdrs
from result import Err, Ok, Result

from amaranthtally.decoding import DecodeError, decode_json, unwrap_decoded
from amaranthtally.platform.errors import PlatformError, PlatformUnavailable
from amaranthtally.platform.sessions import read_body
from amaranthtally.platform.timeouts import answer_timeout

__all__ = ["HostList", "HostState"]

# A response is abandoned when no data arrives for this long, in seconds.
READ_TIMEOUT_S = 2.0
NOT_MODIFIED = 304


class HostState(Enum):
    """State of a host in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class _ListedHost(msgspec.Struct, frozen=True):
    host: str
    state: HostState


class HostList:
    """
    Polls the list of hosts that are leaving.

    The whole list of 11,000 hosts is half a megabyte and rarely changes between two
    reads. Each read therefore sends the ``ETag`` of the list already known (RFC 9110),
    and the platform sends the list only if it has changed.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = f"{url}/v1/hosts"
        self._etag = ""
        self._leaving: frozenset[str] = frozenset()

    async def read_leaving(self) -> Result[frozenset[str], PlatformError]:
        """Read the list if it has changed; return the hosts that are leaving."""
        headers = {hdrs.IF_NONE_MATCH: self._etag} if self._etag else {}
        timeout = answer_timeout(READ_TIMEOUT_S, READ_TIMEOUT_S)
        try:
            async with self._session.get(
                self._url, headers=headers, timeout=timeout
            ) as response:
                response.raise_for_status()
                if response.status != NOT_MODIFIED:
                    self._parse(await read_body(response))
                    self._etag = response.headers.get(hdrs.ETAG, "")
        except (aiohttp.ClientError, TimeoutError, DecodeError) as error:
            return Err(PlatformUnavailable(type(error).__name__))
        return Ok(self._leaving)

    def _parse(self, body: bytes) -> None:
        hosts = unwrap_decoded(decode_json(body, list[_ListedHost]))
        leaving = (h.host for h in hosts if h.state is HostState.LEAVING)
        self._leaving = frozenset(leaving)
