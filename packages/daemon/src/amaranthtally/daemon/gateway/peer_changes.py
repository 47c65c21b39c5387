"""Hands on which peers live, to whoever has to know."""

import asyncio

from amaranthtally.daemon.gateway.beliefs import Beliefs
from amaranthtally.daemon.gateway.executor import GatewayExecutor
from amaranthtally.daemon.gateway.peer_checks import PeerChecks
from amaranthtally.daemon.gateway.peer_links import PeerLinks
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import Peer, PeerDirectory, PeerRecord

__all__ = ["PeerChanges"]

log = get_logger()


class PeerChanges:
    """Keeps links, owners of pools and shares of budgets in step with live peers."""

    def __init__(
        self,
        peers: PeerDirectory,
        links: PeerLinks,
        executor: GatewayExecutor,
        beliefs: Beliefs,
    ) -> None:
        self._peers = peers
        self._links = links
        self._executor = executor
        self._beliefs = beliefs
        self._checks = PeerChecks(links, peers, self.changed)
        self._time = asyncio.get_running_loop().time

    @property
    def checks(self) -> PeerChecks:
        """Asks the peers that are doubted."""
        return self._checks

    def changed(self) -> None:
        """Use the peers that live now."""
        alive = self._peers.alive
        self._links.replace(self._peers.addresses)
        peers = [Peer(name, record.data_centre) for name, record in alive.items()]
        self._executor.peers_changed(peers)
        self._beliefs.entries_changed(len(alive) + 1)
        self._checks.wake()

    def greeted(self, name: str, record: PeerRecord) -> None:
        """Take a peer's word that it lives."""
        if self._peers.note_greeting(self._time(), name, record):
            log.info("peer_met", peer=name, address=record.address)
            self.changed()
