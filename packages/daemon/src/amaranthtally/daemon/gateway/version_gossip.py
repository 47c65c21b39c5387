"""Exchanges document versions among gateways, even if the store does not answer."""

import asyncio
from collections.abc import Callable, Sequence
from random import Random

from amaranthtally.daemon.gateway.document_fetcher import DocumentHolder, StoreStatus
from amaranthtally.daemon.gateway.peer_connections import PeerConnections
from amaranthtally.daemon.gateway.state_freshness import StateFreshness
from amaranthtally.daemon.logs import get_logger
from amaranthtally.wire import PeerLostError
from amaranthtally.wire.gateway_codec import Versions

__all__ = ["VersionGossip"]

# Number of peers contacted in each round. A new version reaches all n gateways in about
# log(n) rounds, and the cost of a round does not grow with n.
FANOUT = 2
# Interval between rounds while the store answers, and while it does not, in seconds. A
# gateway whose watch receives no events, or that the store rejects, gets the newest
# configuration in about a second.
CONNECTED_INTERVAL_S = 1.0
DISCONNECTED_INTERVAL_S = 0.4

log = get_logger()


class VersionGossip:
    """Exchanges versions with a few random peers and fetches newer documents."""

    def __init__(
        self,
        connections: PeerConnections,
        holder: DocumentHolder,
        fetch_newer: Callable[[str, Versions], object],
        store: StoreStatus,
        peers: Callable[[], Sequence[str]],
        random: Random,
        freshness: StateFreshness,
    ) -> None:
        self._connections = connections
        self._holder = holder
        self._fetch_newer = fetch_newer
        self._store = store
        self._peers = peers
        self._random = random
        self._freshness = freshness

    async def run(self) -> None:
        """Run gossip rounds until cancelled."""
        while True:
            names = self._peers()
            chosen = self._random.sample(names, min(FANOUT, len(names)))
            await self._exchange_all(chosen)
            pause_s = (
                CONNECTED_INTERVAL_S
                if self._store.is_connected
                else DISCONNECTED_INTERVAL_S
            )
            await asyncio.sleep(pause_s)

    async def _exchange_all(self, peers: Sequence[str]) -> None:
        await asyncio.gather(*(self._exchange(peer) for peer in peers))

    async def _exchange(self, peer: str) -> None:
        sent_at = self._freshness.now()
        try:
            status = await self._connections.exchange_status(
                peer, self._holder.versions
            )
        except PeerLostError as error:
            log.info("peer_not_greeted", peer=peer, cause=str(error))
            self._freshness.note_unanswered(peer, sent_at)
            return
        self._freshness.confirm_versions(status.versions, sent_at, peer)
        # The fetch runs in the background and does not delay the next round: the gossip
        # also shows the peers that this gateway is alive.
        self._fetch_newer(peer, status.versions)
