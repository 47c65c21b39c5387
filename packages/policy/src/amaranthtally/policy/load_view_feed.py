"""Tells the shared view of loads what this entry sends and hears."""

from collections.abc import Callable, Mapping, Sequence

from amaranthtally.policy.actions import Action
from amaranthtally.policy.events import LoadReport
from amaranthtally.policy.load_view import LoadView
from amaranthtally.policy.loads import LoadTable
from amaranthtally.policy.model import Endpoint, PolicySettings
from amaranthtally.policy.pool_sites import Peer

__all__ = ["LoadViewFeed"]


class LoadViewFeed:
    """
    Passes events of the planner on to the view, and the view to the loads of its pools.

    Changes of the entry's own attempts are collected only while the view covers a pool.
    ``on_pool_active`` is called with each pool that it begins to cover.
    """

    def __init__(
        self, view: LoadView, loads: LoadTable, on_pool_active: Callable[[str], None]
    ) -> None:
        self._view = view
        self._loads = loads
        self._on_pool_active = on_pool_active
        self._pools: frozenset[str] = frozenset()
        self._is_on = True
        self._endpoints: Mapping[str, Endpoint] = {}

    def configure(self, settings: PolicySettings) -> None:
        """Apply new settings."""
        self._endpoints = settings.endpoints
        self._is_on = settings.shared_loads
        self._view.configure(settings.entry, settings.data_centre)
        self._view.endpoints_changed(settings.endpoints)

    def peers_changed(self, now: float, peers: Sequence[Peer]) -> None:
        """Replace the set of other live entries."""
        self._view.peers_changed(now, peers)

    def report_received(self, now: float, endpoint: str, report: LoadReport) -> None:
        """Handle a load report; one without a slowness is of no use to the view."""
        registered = self._endpoints.get(endpoint)
        if not self._is_on or report.host_slowness is None:
            return
        if registered is not None:
            self._view.report_received(now, registered, report)

    def tick(self, now: float) -> list[Action]:
        """Return the messages to other entries that are due."""
        if self._view.active_pools is not self._pools:
            self._watch(self._view.active_pools)
        for name in self._loads.take_changed():
            endpoint = self._endpoints.get(name)
            if endpoint is None:
                continue
            load = self._loads.find(name)
            calls = load.outstanding if load is not None else 0
            tokens = load.pending_prefill_tokens if load is not None else 0
            self._view.attempt_changed(now, endpoint, calls, tokens)
        return self._view.tick(now)

    def _watch(self, pools: frozenset[str]) -> None:
        """Let the loads of these pools use the view, and tell it the current calls."""
        for pool in self._pools - pools:
            self._loads.pool(pool).view = None
        for pool in pools:
            self._loads.pool(pool).view = self._view
        for pool in pools - self._pools:
            self._on_pool_active(pool)
        self._pools = pools
        self._loads.watch(bool(pools))
