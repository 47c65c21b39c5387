"""The platform's lagging list of live and leaving hosts."""

from enum import Enum

import aiohttp
import msgspec
from aiohttp import hdrs
from result import Err, Ok, Result

from amaranthtally.platform.errors import PlatformError, PlatformUnavailable
from amaranthtally.platform.timeouts import answer_timeout

__all__ = ["HostList", "HostState"]

# Silence after which an answer is given up, in seconds.
SILENCE_S = 2.0
NOT_MODIFIED = 304


class HostState(Enum):
    """What the platform says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


class _ListedHost(msgspec.Struct, frozen=True):
    host: str
    state: HostState


class HostList:
    """
    The hosts that leave, read again and again.

    The whole list of 11,000 hosts is half a megabyte, and it hardly ever changes
    between two reads: a read names the state it knows (``ETag``, RFC 9110), and the
    platform sends the list only where it has another one.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = f"{url}/v1/hosts"
        self._tag = ""
        self._leaving: frozenset[str] = frozenset()

    async def read_leaving(self) -> Result[frozenset[str], PlatformError]:
        """Read the list; return the hosts that leave."""
        headers = {hdrs.IF_NONE_MATCH: self._tag} if self._tag else {}
        timeout = answer_timeout(SILENCE_S, SILENCE_S)
        try:
            async with self._session.get(
                self._url, headers=headers, timeout=timeout
            ) as response:
                response.raise_for_status()
                if response.status != NOT_MODIFIED:
                    self._take(await response.read())
                    self._tag = response.headers.get(hdrs.ETAG, "")
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
            return Err(PlatformUnavailable(type(error).__name__))
        return Ok(self._leaving)

    def _take(self, body: bytes) -> None:
        hosts = msgspec.json.decode(body, type=list[_ListedHost])
        leaving = (h.host for h in hosts if h.state is HostState.LEAVING)
        self._leaving = frozenset(leaving)
