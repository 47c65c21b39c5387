"""Exchanges with the other gateways what is known of the endpoints' loads."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from amaranthtally.daemon.gateway.peer_connections import PeerConnections
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import ExchangeLoads, LoadMessage, LoadView
from amaranthtally.wire import PeerLostError

__all__ = ["LoadExchange"]

log = get_logger()


class LoadExchange:
    """Passes peers' messages on to the view of loads, and sends its own."""

    def __init__(
        self,
        view: LoadView,
        connections: Callable[[], PeerConnections],
        spawn: Callable[[Coroutine[Any, Any, None]], object],
        wake: Callable[[], None],
    ) -> None:
        self._view = view
        self._connections = connections
        self._spawn = spawn
        self._wake = wake
        self._time = asyncio.get_running_loop().time
        self._logged_pools: frozenset[str] = frozenset()

    @property
    def view(self) -> LoadView:
        """The view itself."""
        return self._view

    def exchange_received(self, sender: str, message: LoadMessage) -> LoadMessage:
        """Take a peer's message; return what it lacks."""
        answer = self._view.exchange_received(self._time(), sender, message)
        self._log_pools()
        # A relay passes on what it has heard, also while it has no requests itself.
        self._wake()
        return answer

    def exchange(self, action: ExchangeLoads) -> None:
        """Send a message to a peer, in the background."""
        self._log_pools()
        self._spawn(self._exchange(action.peer, action.message))

    async def _exchange(self, peer: str, message: LoadMessage) -> None:
        try:
            answer = await self._connections().exchange_loads(peer, message)
        except PeerLostError as error:
            log.info("loads_not_exchanged", peer=peer, cause=str(error))
            self._view.exchange_failed(self._time(), peer)
            return
        self._view.exchange_answered(self._time(), peer, answer)

    def _log_pools(self) -> None:
        pools = self._view.active_pools
        if pools is self._logged_pools:
            return
        for pool in sorted(pools - self._logged_pools):
            log.info("load_view_on", pool=pool)
        for pool in sorted(self._logged_pools - pools):
            log.info("load_view_off", pool=pool)
        self._logged_pools = pools
