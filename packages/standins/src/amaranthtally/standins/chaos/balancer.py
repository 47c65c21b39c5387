"""A minimal load balancer for tests that polls ``/readyz`` of every entry."""

import asyncio
from random import Random

import aiohttp

from amaranthtally.standins.deployment import Deployment

__all__ = ["Balancer"]

POLL_S = 0.05
POLL_TIMEOUT_S = 0.5
OK = 200


class Balancer:
    """Tracks which entries are ready and picks a random one of them."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._ready: set[int] = set(range(len(deployment.entries)))

    @property
    def ready(self) -> frozenset[int]:
        """Numbers of the entries that are ready."""
        return frozenset(self._ready)

    async def run(self) -> None:
        """Poll the readiness of every entry; never returns."""
        numbers = range(len(self._deployment.entries))
        await asyncio.gather(*(self._poll(number) for number in numbers))

    async def pick(self, random: Random) -> int:
        """Return the number of a random ready entry, waiting until there is one."""
        while not self._ready:
            await asyncio.sleep(POLL_S)
        return random.choice(sorted(self._ready))

    async def wait_ready(self, number: int) -> None:
        """Wait until an entry is ready."""
        while number not in self._ready:
            await asyncio.sleep(POLL_S)

    async def _poll(self, number: int) -> None:
        while True:
            if await self._is_ready(number):
                self._ready.add(number)
            else:
                self._ready.discard(number)
            await asyncio.sleep(POLL_S)

    async def _is_ready(self, number: int) -> bool:
        url = self._deployment.entry_url(number) + "/readyz"
        timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT_S)
        try:
            async with self._deployment.http.get(url, timeout=timeout) as response:
                return response.status == OK
        except (aiohttp.ClientError, TimeoutError):
            return False
