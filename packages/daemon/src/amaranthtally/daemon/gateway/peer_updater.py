"""Applies changes of the set of live peers within a gateway."""

import asyncio
from collections.abc import Callable

from amaranthtally.daemon.gateway.executor import GatewayExecutor
from amaranthtally.daemon.gateway.peer_connections import PeerConnections
from amaranthtally.daemon.gateway.peer_prober import PeerProber
from amaranthtally.daemon.gateway.routing_state import RoutingState
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import Peer, PeerDirectory
from amaranthtally.wire.gateway_codec import Greeter

__all__ = ["PeerUpdater"]

log = get_logger()


class PeerUpdater:
    """Updates connections, pool-site owners and retry budgets for the live peers."""

    def __init__(
        self,
        peers: PeerDirectory,
        connections: PeerConnections,
        executor: GatewayExecutor,
        routing_state: RoutingState,
        on_change: Callable[[], None],
    ) -> None:
        self._peers = peers
        self._connections = connections
        self._executor = executor
        self._routing_state = routing_state
        self._on_change = on_change
        self._prober = PeerProber(connections, peers, self.apply_live_peers)
        self._time = asyncio.get_running_loop().time

    @property
    def prober(self) -> PeerProber:
        """The prober of unconfirmed peers, to be run in the background."""
        return self._prober

    def apply_live_peers(self) -> None:
        """Apply the directory's current set of live peers."""
        alive = self._peers.alive
        self._connections.set_addresses(self._peers.addresses)
        peers = [Peer(name, record.data_centre) for name, record in alive.items()]
        self._executor.peers_changed(peers)
        self._routing_state.set_entry_count(len(alive) + 1)
        self._on_change()
        self._prober.wake()

    def greeting_received(self, name: str, greeter: Greeter) -> None:
        """Note in the directory that a peer runs, or that it is leaving."""
        now, record = self._time(), greeter.record
        if greeter.is_leaving:
            if self._peers.note_leaving(now, name, record):
                log.info("peer_left", peer=name)
                self.apply_live_peers()
            else:
                self._connections.set_addresses(self._peers.addresses)
        elif self._peers.note_greeting(now, name, record):
            log.info("peer_met", peer=name, address=record.address)
            self.apply_live_peers()
