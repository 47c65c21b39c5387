"""Probes unconfirmed peers, whose records are missing, to check if they still run."""

import asyncio
from collections.abc import Callable

from amaranthtally.daemon.gateway.peer_connections import PeerConnections
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import PeerDirectory
from amaranthtally.wire import PeerLostError
from amaranthtally.wire.gateway_codec import Versions

__all__ = ["PeerProber"]

# Interval between probes of an unconfirmed peer, in seconds: a third of the time for
# which a response keeps the peer in the directory.
PROBE_INTERVAL_S = 1.0

log = get_logger()


class PeerProber:
    """Sends a small call to every unconfirmed peer each second."""

    def __init__(
        self,
        connections: PeerConnections,
        directory: PeerDirectory,
        on_change: Callable[[], None],
    ) -> None:
        self._connections = connections
        self._directory = directory
        self._on_change = on_change
        self._probe_needed = asyncio.Event()
        self._time = asyncio.get_running_loop().time

    def wake(self) -> None:
        """Probe at once if the directory has unconfirmed peers."""
        if self._directory.unconfirmed:
            self._probe_needed.set()

    async def run(self) -> None:
        """Probe unconfirmed peers until cancelled."""
        while True:
            await self._probe_needed.wait()
            self._probe_needed.clear()
            await asyncio.gather(*(self._probe(n) for n in self._directory.unconfirmed))
            if self._directory.unconfirmed:
                await asyncio.sleep(PROBE_INTERVAL_S)
                self.wake()

    async def _probe(self, peer: str) -> None:
        try:
            status = await self._connections.exchange_status(peer, Versions())
        except PeerLostError as error:
            # The peer may only be stalled. It stays in the directory and is probed
            # again until its last response is too old.
            log.info("peer_silent", peer=peer, cause=str(error))
            return
        if not status.leaving:
            self._directory.note_alive(self._time(), peer)
            return
        if self._directory.note_left(self._time(), peer):
            log.info("peer_left", peer=peer)
            self._on_change()
