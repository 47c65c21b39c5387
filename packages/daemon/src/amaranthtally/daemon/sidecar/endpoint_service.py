"""All that a sidecar keeps for one endpoint; nothing of it is shared with others."""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass

import aiohttp

from amaranthtally.daemon.lifecycle import run_beside, split_address
from amaranthtally.daemon.settings_state import SettingsState
from amaranthtally.daemon.settings_sync import SettingsSync
from amaranthtally.daemon.sidecar.drain import DrainController
from amaranthtally.daemon.sidecar.engine_cache import EngineCache
from amaranthtally.daemon.sidecar.handler import StageHandler
from amaranthtally.daemon.sidecar.handover import endpoints_of, hand_over
from amaranthtally.daemon.sidecar.metrics import EndpointMetrics, SidecarMetrics
from amaranthtally.daemon.sidecar.model_reconciler import ModelReconciler
from amaranthtally.daemon.sidecar.served_models import ServedModels
from amaranthtally.daemon.signatures import KeyRing
from amaranthtally.platform import CALLER_HEADER
from amaranthtally.settings import SidecarSettings
from amaranthtally.wire import EntryConnections, serve_sidecar

__all__ = ["EndpointService", "SharedResources", "open_endpoint"]

ENGINE_KIND = "engine"


@dataclass(frozen=True, slots=True)
class SharedResources:
    """What the endpoints of one process share."""

    session: aiohttp.ClientSession
    state: SettingsState
    sync: SettingsSync
    metrics: SidecarMetrics


class EndpointService:
    """One endpoint: its run queue, its records, its engine, its way out."""

    def __init__(
        self, settings: SidecarSettings, shared: SharedResources, alone: bool
    ) -> None:
        self.settings = settings
        self.connections = EntryConnections()
        self.models = ServedModels(asyncio.get_running_loop().time)
        self.cache = (
            EngineCache(shared.session, settings.endpoint_url)
            if settings.endpoint_kind == ENGINE_KIND
            else None
        )
        labels = {} if alone else {"endpoint": settings.endpoint}
        self._metrics = EndpointMetrics(shared.metrics, labels)
        self._state = shared.state
        self.handler = StageHandler(
            settings,
            shared.session,
            self._metrics,
            shared.sync,
            self.models,
            self.cache,
        )
        self.departure = DrainController(
            settings, self.handler, self.connections, self.give_records
        )
        self.port = 0

    async def announce(self) -> None:
        """Tell greeted entries of the load."""
        await self.connections.announce_load(self.handler.load())

    async def give_records(self, final: bool) -> None:
        """Hand the records of effects to peers."""
        await hand_over(
            self.handler.handovers(final),
            self.settings.endpoint,
            endpoints_of(self._state.tree),
            KeyRing(self.settings.handover_keys),
        )

    def refresh_metrics(self) -> None:
        """Set the gauges of this endpoint."""
        self._metrics.refresh(self.handler.load(), len(self.cache or ()))


async def open_endpoint(
    stack: AsyncExitStack,
    settings: SidecarSettings,
    shared: SharedResources,
    alone: bool,
) -> EndpointService:
    """Serve one endpoint until the stack closes; ``alone`` in its process or not."""
    part = EndpointService(settings, shared, alone)
    shared.state.listen(part.departure.settings_changed)
    if part.cache is not None:
        run_beside(stack, part.cache.follow_events())
        if settings.platform_url:
            await _follow_orders(stack, part, shared.state)
    host, port = split_address(settings.wire_address)
    part.port = await stack.enter_async_context(
        serve_sidecar(part.handler, host, port, part.connections)
    )
    return part


async def _follow_orders(
    stack: AsyncExitStack, part: EndpointService, state: SettingsState
) -> None:
    headers = {CALLER_HEADER: part.settings.endpoint}
    session = await stack.enter_async_context(aiohttp.ClientSession(headers=headers))
    orders = ModelReconciler(part.settings, session, part.models, part.announce)
    state.listen(orders.settings_changed)
    run_beside(stack, orders.run())
