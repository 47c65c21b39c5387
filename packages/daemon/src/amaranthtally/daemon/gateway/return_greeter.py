"""Greets gateways that have left, so that they know this one once they are back."""

import asyncio
from collections.abc import Callable, Sequence
from random import Random

from amaranthtally.daemon.gateway.peer_connections import PeerConnections
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import PeerDirectory, ring_neighbours
from amaranthtally.wire import PeerLostError
from amaranthtally.wire.gateway_codec import Versions

__all__ = ["ReturnGreeter"]

# Interval between rounds, in seconds: two rounds and a copy of the documents take less
# than a second.
INTERVAL_S = 0.4
# Most gateways greeted in a round.
FANOUT = 8

log = get_logger()


class ReturnGreeter:
    """
    Greets gateways that left or fell silent, until they are back or forgotten.

    A gateway that starts while the store does not answer knows no address and serves
    nobody, though others hold all that it needs, also those that are leaving. Only they
    know its address, as it had the same before. While the store answers them, the two
    that would be its neighbours greet it, in case the store turns it away.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        connections: PeerConnections,
        peers: PeerDirectory,
        seeds: Sequence[str],
        versions: Callable[[], Versions],
        is_connected: Callable[[], bool],
        random: Random,
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self._connections = connections
        self._peers = peers
        self._seeds = tuple(seeds)
        self._versions = versions
        self._is_connected = is_connected
        self._random = random
        self._silent: set[str] = set()

    async def run(self) -> None:
        """Greet in rounds until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            names = self._names()
            self._silent.intersection_update(names)
            chosen = self._random.sample(names, min(FANOUT, len(names)))
            if not self._is_connected():
                # Those that start ask the seeds, which may have started themselves.
                chosen += self._seeds
            await asyncio.gather(*(self._greet(name) for name in chosen))

    def _names(self) -> list[str]:
        departed = self._peers.departed
        if not departed:
            return []
        if not self._is_connected():
            return list(departed)
        alive = {name: peer.data_centre for name, peer in self._peers.alive.items()}
        alive[self._name] = self._data_centre
        return [
            name
            for name, record in departed.items()
            if self._name in ring_neighbours(name, record.data_centre, alive)
        ]

    async def _greet(self, peer: str) -> None:
        try:
            await self._connections.exchange_status(peer, self._versions())
        except PeerLostError as error:
            if peer not in self._silent:
                self._silent.add(peer)
                log.info("departed_not_reached", peer=peer, cause=str(error))
