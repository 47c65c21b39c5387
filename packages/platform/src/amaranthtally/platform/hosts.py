"""The platform's lagging list of live and leaving hosts."""

from dataclasses import dataclass
from enum import Enum

import aiohttp
import msgspec
from result import Err, Ok, Result

from amaranthtally.platform.errors import PlatformDown, PlatformError

__all__ = ["HostState", "ListedHost", "fetch_hosts"]

LIST_TIMEOUT_S = 2.0


class HostState(Enum):
    """What the platform says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedHost:
    """One line of the list."""

    host: str
    state: HostState


async def fetch_hosts(
    session: aiohttp.ClientSession, url: str
) -> Result[tuple[ListedHost, ...], PlatformError]:
    """Read the list of hosts."""
    timeout = aiohttp.ClientTimeout(total=LIST_TIMEOUT_S)
    try:
        async with session.get(f"{url}/v1/hosts", timeout=timeout) as response:
            body = await response.read()
        return Ok(tuple(msgspec.json.decode(body, type=list[ListedHost])))
    except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
        return Err(PlatformDown(type(error).__name__))
