"""Newer configurations and records from peers, where the store does not answer."""

import asyncio
from collections.abc import Callable, Sequence
from random import Random
from typing import Protocol

from amaranthtally.daemon.gateway.peer_links import PeerLinks
from amaranthtally.daemon.logs import get_logger
from amaranthtally.wire import PeerLostError
from amaranthtally.wire.gateway_codec import Beliefs, Versions

__all__ = ["BeliefExchange", "BeliefKeeper"]

# Peers greeted each time, whatever their number: news reaches every one of n gateways
# in about log(n) rounds, and the cost of a round does not grow with n.
GREETED = 2
# Between rounds while the store answers, and while it does not, in seconds. A gateway
# whose watch has gone silent, or that the store turns away, has the newest
# configuration in about a second.
CALM_S = 1.0
LOST_S = 0.4
MS_PER_S = 1000.0

log = get_logger()


class BeliefKeeper(Protocol):
    """Whoever keeps the configuration and the records."""

    @property
    def versions(self) -> Versions:
        """How new they are."""

    def heard_of(self, peer: str, versions: Versions) -> None:
        """Note what a peer has."""

    def take_from_peer(self, peer: str, beliefs: Beliefs) -> None:
        """Take what is newer of a peer's."""


class BeliefExchange:
    """Greets a few peers at a time and fetches what they have newer."""

    def __init__(
        self,
        links: PeerLinks,
        keeper: BeliefKeeper,
        peers: Callable[[], Sequence[str]],
        is_connected: Callable[[], bool],
        random: Random,
    ) -> None:
        self._links = links
        self._peers = peers
        self._keeper = keeper
        self._is_connected = is_connected
        self._random = random
        self._time = asyncio.get_running_loop().time

    async def run(self) -> None:
        """Exchange until cancelled."""
        while True:
            names = self._peers()
            chosen = self._random.sample(names, min(GREETED, len(names)))
            await self._greet_all(chosen)
            pause_s = CALM_S if self._is_connected() else LOST_S
            await asyncio.sleep(pause_s)

    async def fetch(self, peer: str) -> None:
        """Take what a peer has newer, as it has greeted this gateway."""
        started = self._time()
        try:
            beliefs = await self._links.beliefs(peer)
        except PeerLostError as error:
            ms = round((self._time() - started) * MS_PER_S)
            log.info("beliefs_not_copied", peer=peer, ms=ms, cause=str(error))
            return
        self._keeper.take_from_peer(peer, beliefs)

    async def _greet_all(self, peers: Sequence[str]) -> None:
        await asyncio.gather(*(self._greet(peer) for peer in peers))

    async def _greet(self, peer: str) -> None:
        try:
            answer = await self._links.greet(peer, self._keeper.versions)
        except PeerLostError as error:
            log.info("peer_not_greeted", peer=peer, cause=str(error))
            return
        self._keeper.heard_of(peer, answer.versions)
        if self._lacks(answer.versions):
            await self.fetch(peer)

    def _lacks(self, theirs: Versions) -> bool:
        own = self._keeper.versions
        if theirs.configuration > own.configuration:
            return True
        # While the store answers, its own word of the endpoints is the newest.
        return not self._is_connected() and theirs.records > own.records
