"""How a sidecar leaves: by a stop signal, or because its host drains."""

import asyncio
from collections.abc import Awaitable, Callable

from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.sidecar.handler import StageHandler
from amaranthtally.settings import Scope, SidecarSettings, Tree
from amaranthtally.settings.catalogue import DRAIN_PREFIX
from amaranthtally.wire import EntryConnections

__all__ = ["DrainController"]

POLL_S = 0.02
LINGER_S = 2.0

log = get_logger()


class DrainController:
    """Tells entries that the sidecar takes no new work, and waits for the rest."""

    def __init__(
        self,
        settings: SidecarSettings,
        handler: StageHandler,
        connections: EntryConnections,
        hand_over: Callable[[bool], Awaitable[None]],
    ) -> None:
        self._settings = settings
        self._handler = handler
        self._connections = connections
        self._hand_over = hand_over
        self._draining = False
        self._tasks: set[asyncio.Task[None]] = set()

    def settings_changed(self, tree: Tree) -> None:
        """
        Drain, or take work again, as the operators say of this host.

        An entry that the change has not reached would still send work here: the
        sidecar refuses it before start, and the entry sends it elsewhere.
        """
        key = DRAIN_PREFIX + self._settings.host
        draining = bool(tree.get(Scope(), key))
        if draining == self._draining:
            return
        self._draining = draining
        self._handler.set_draining(draining)
        log.info("host_drains", host=self._settings.host, draining=draining)
        task = asyncio.create_task(self._announce())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def leave(self) -> None:
        """
        Refuse new work, tell entries, finish what was accepted.

        Idle entries hear nothing in replies, and their next call would meet a
        closed connection: so each is told. Last, the entries close their
        connections; a reply that is still being written would be lost otherwise.
        """
        self._handler.leave()
        await self._announce()
        await asyncio.sleep(self._settings.drain_wait)
        if self._handler.unfinished:
            # A process manager may kill a sidecar that a long call holds up. The
            # records of what has ended are with its peers by then.
            await self._hand_over(False)
        while self._handler.unfinished:
            await asyncio.sleep(POLL_S)
        await self._linger()

    async def _linger(self) -> None:
        for _ in range(int(LINGER_S / POLL_S)):
            if not self._connections.entry_count:
                return
            await asyncio.sleep(POLL_S)

    async def _announce(self) -> None:
        await self._connections.announce_load(self._handler.load())
