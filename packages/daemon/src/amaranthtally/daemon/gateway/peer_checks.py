"""Asks gateways whose records are missing whether they stay."""

import asyncio
from collections.abc import Callable

from amaranthtally.daemon.gateway.peer_links import PeerLinks
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import PeerDirectory
from amaranthtally.wire import PeerLostError
from amaranthtally.wire.gateway_codec import Versions

__all__ = ["PeerChecks"]

# Between two questions to a gateway whose record is missing, in seconds: a third of
# the time for which its word counts.
CHECK_S = 1.0

log = get_logger()


class PeerChecks:
    """Keeps the directory's doubts short: one small call a second for each."""

    def __init__(
        self, links: PeerLinks, directory: PeerDirectory, on_change: Callable[[], None]
    ) -> None:
        self._links = links
        self._directory = directory
        self._on_change = on_change
        self._doubts = asyncio.Event()
        self._time = asyncio.get_running_loop().time

    def wake(self) -> None:
        """Ask at once, as there is a new doubt."""
        if self._directory.unconfirmed:
            self._doubts.set()

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await self._doubts.wait()
            self._doubts.clear()
            await asyncio.gather(*(self._ask(n) for n in self._directory.unconfirmed))
            if self._directory.unconfirmed:
                await asyncio.sleep(CHECK_S)
                self.wake()

    async def _ask(self, peer: str) -> None:
        try:
            answer = await self._links.greet(peer, Versions())
        except PeerLostError as error:
            # It may only stand still for a moment: it is asked again until its last
            # word is too old.
            log.info("peer_silent", peer=peer, cause=str(error))
            return
        if not answer.leaving:
            self._directory.note_alive(self._time(), peer)
            return
        if self._directory.note_left(self._time(), peer):
            log.info("peer_left", peer=peer)
            self._on_change()
