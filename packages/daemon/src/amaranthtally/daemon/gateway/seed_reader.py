"""Asks the seeds for the state while a gateway starts and the store does not answer."""

import asyncio
from collections.abc import Callable, Sequence
from random import Random

from amaranthtally.daemon.gateway.peer_connections import PeerConnections
from amaranthtally.daemon.logs import get_logger
from amaranthtally.wire import PeerLostError
from amaranthtally.wire.gateway_codec import Versions

__all__ = ["SeedReader"]

# How long the store may take for the first listing before seeds are asked, in seconds.
STORE_WAIT_S = 0.3
# Interval between rounds, in seconds. Random jitter of up to a half keeps the gateways
# of a fleet that starts from asking at the same time.
INTERVAL_S = 0.3
JITTER = 0.5

log = get_logger()


class SeedReader:
    """
    Asks the seeds until this gateway has the records of the store.

    A gateway that nobody knows yet is greeted by nobody. While the store is away, the
    seeds are the only others that it can find.
    """

    def __init__(
        self,
        connections: PeerConnections,
        seeds: Sequence[str],
        versions: Callable[[], Versions],
        catch_up: Callable[[str, Versions], None],
        random: Random,
    ) -> None:
        self._connections = connections
        self._seeds = tuple(seeds)
        self._versions = versions
        self._catch_up = catch_up
        self._random = random

    async def run(self) -> None:
        """Ask the seeds in rounds until the records are known."""
        await asyncio.sleep(STORE_WAIT_S)
        while not self._versions().records:
            log.info("seeds_asked", seeds=len(self._seeds))
            await asyncio.gather(*(self._ask(seed) for seed in self._seeds))
            jitter = 1.0 + JITTER * self._random.random()
            await asyncio.sleep(INTERVAL_S * jitter)

    async def _ask(self, seed: str) -> None:
        try:
            status = await self._connections.exchange_status(seed, self._versions())
        except PeerLostError as error:
            log.info("seed_not_reached", seed=seed, cause=str(error))
            return
        self._catch_up(seed, status.versions)
