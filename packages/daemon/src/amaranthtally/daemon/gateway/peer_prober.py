"""Probes gateways whose records are missing to find out whether they still run."""

import asyncio
from collections.abc import Callable

from amaranthtally.daemon.gateway.peer_connections import PeerConnections
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import PeerDirectory
from amaranthtally.wire import PeerLostError
from amaranthtally.wire.gateway_codec import Versions

__all__ = ["PeerProber"]

# Interval between probes of a gateway whose record is missing, in seconds: a third of
# the time for which a response keeps the gateway in the directory.
PROBE_INTERVAL_S = 1.0

log = get_logger()


class PeerProber:
    """Sends a small call each second to every peer whose record is missing."""

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
        """Probe at once if the directory has peers with missing records."""
        if self._directory.unconfirmed:
            self._probe_needed.set()

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await self._probe_needed.wait()
            self._probe_needed.clear()
            await asyncio.gather(*(self._probe(n) for n in self._directory.unconfirmed))
            if self._directory.unconfirmed:
                await asyncio.sleep(PROBE_INTERVAL_S)
                self.wake()

    async def _probe(self, peer: str) -> None:
        try:
            answer = await self._connections.exchange_status(peer, Versions())
        except PeerLostError as error:
            # The peer may only be stalled. It is probed again until its last response
            # is too old.
            log.info("peer_silent", peer=peer, cause=str(error))
            return
        if not answer.leaving:
            self._directory.note_alive(self._time(), peer)
            return
        if self._directory.note_left(self._time(), peer):
            log.info("peer_left", peer=peer)
            self._on_change()
