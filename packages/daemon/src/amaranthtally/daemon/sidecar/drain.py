"""Stops a sidecar from taking work: at a stop signal, or while operators say so."""

import asyncio
from collections.abc import Awaitable, Callable

from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.sidecar.handler import StageHandler
from amaranthtally.daemon.supervision import Supervisor
from amaranthtally.settings import Scope, SidecarSettings, Tree
from amaranthtally.settings.catalogue import DRAIN_PREFIX, EVACUATION_PREFIX
from amaranthtally.wire import EntryConnections

__all__ = ["DrainController"]

POLL_INTERVAL_S = 0.02
DISCONNECT_TIMEOUT_S = 2.0

log = get_logger()


class DrainController:
    """Announces that the sidecar takes no new work, and waits for accepted calls."""

    def __init__(
        self,
        settings: SidecarSettings,
        handler: StageHandler,
        connections: EntryConnections,
        hand_over: Callable[[bool], Awaitable[None]],
        supervisor: Supervisor,
    ) -> None:
        self._settings = settings
        self._handler = handler
        self._connections = connections
        self._hand_over = hand_over
        self._supervisor = supervisor
        self._draining = False

    def settings_changed(self, tree: Tree) -> None:
        """
        Start or stop draining, as this host or its data centre is set to.

        Entries that do not have the new setting yet still send calls. The sidecar
        rejects them before they start, and the entries send them elsewhere.
        """
        keys = (
            DRAIN_PREFIX + self._settings.host,
            EVACUATION_PREFIX + self._settings.data_centre,
        )
        draining = any(tree.get(Scope(), key) for key in keys)
        if draining == self._draining:
            return
        self._draining = draining
        self._handler.set_draining(draining)
        log.info("host_drains", host=self._settings.host, draining=draining)
        self._supervisor.spawn("DrainController.announce", self._announce())

    async def shut_down(self) -> None:
        """
        Reject new calls, announce this to the entries, and finish accepted calls.

        Idle entries get no replies that carry the load, and their next call would
        fail at a closed connection, so the load is announced to each entry. Finally,
        the sidecar waits for the entries to close their connections, because closing
        them from this side could lose replies that are still being written.
        """
        self._handler.stop_accepting()
        await self._announce()
        await asyncio.sleep(self._settings.drain_wait)
        if self._handler.unfinished:
            # A process manager may kill a sidecar that waits for a long call. The
            # records of ended calls are handed over before the wait for this reason.
            await self._hand_over(False)
        while self._handler.unfinished:
            await asyncio.sleep(POLL_INTERVAL_S)
        await self._wait_for_disconnects()

    async def _wait_for_disconnects(self) -> None:
        for _ in range(int(DISCONNECT_TIMEOUT_S / POLL_INTERVAL_S)):
            if not self._connections.entry_count:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _announce(self) -> None:
        await self._connections.announce_load(self._handler.load())
