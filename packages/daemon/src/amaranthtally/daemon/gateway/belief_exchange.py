"""Greets peers, so that news reaches gateways which the store does not answer."""

import asyncio
from collections.abc import Callable, Sequence
from random import Random

from amaranthtally.daemon.gateway.belief_copy import BeliefKeeper, StoreState
from amaranthtally.daemon.gateway.peer_links import PeerLinks
from amaranthtally.daemon.logs import get_logger
from amaranthtally.wire import PeerLostError
from amaranthtally.wire.gateway_codec import Versions

__all__ = ["BeliefExchange"]

# Peers greeted each time, whatever their number: news reaches every one of n gateways
# in about log(n) rounds, and the cost of a round does not grow with n.
GREETED = 2
# Between rounds while the store answers, and while it does not, in seconds. A gateway
# whose watch has gone silent, or that the store turns away, has the newest
# configuration in about a second.
CALM_S = 1.0
LOST_S = 0.4

log = get_logger()


class BeliefExchange:
    """Greets a few peers at a time and has brought over what they have newer."""

    def __init__(
        self,
        links: PeerLinks,
        keeper: BeliefKeeper,
        bring: Callable[[str, Versions], object],
        store: StoreState,
        peers: Callable[[], Sequence[str]],
        random: Random,
    ) -> None:
        self._links = links
        self._keeper = keeper
        self._bring = bring
        self._store = store
        self._peers = peers
        self._random = random

    async def run(self) -> None:
        """Exchange until cancelled."""
        while True:
            names = self._peers()
            chosen = self._random.sample(names, min(GREETED, len(names)))
            await self._greet_all(chosen)
            pause_s = CALM_S if self._store.is_connected else LOST_S
            await asyncio.sleep(pause_s)

    async def _greet_all(self, peers: Sequence[str]) -> None:
        await asyncio.gather(*(self._greet(peer) for peer in peers))

    async def _greet(self, peer: str) -> None:
        try:
            answer = await self._links.greet(peer, self._keeper.versions)
        except PeerLostError as error:
            log.info("peer_not_greeted", peer=peer, cause=str(error))
            return
        self._keeper.heard_of(peer, answer.versions)
        # Not waited for: greetings are how the others know that this gateway lives.
        self._bring(peer, answer.versions)
