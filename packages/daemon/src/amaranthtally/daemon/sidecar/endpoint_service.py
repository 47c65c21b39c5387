"""The service of one endpoint; endpoints of one process share no other state."""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass

import aiohttp

from amaranthtally.daemon.connections import descriptor_limit
from amaranthtally.daemon.lifecycle import split_address
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
from amaranthtally.daemon.supervision import Supervisor
from amaranthtally.platform import CALLER_HEADER, bounded_session
from amaranthtally.policy import PEER_SHARE, most_connections
from amaranthtally.settings import SidecarSettings
from amaranthtally.wire import EntryConnections, serve_sidecar
from amaranthtally.wire.peer_listener import PeerLimits

__all__ = ["EndpointService", "SharedResources", "open_endpoint"]

ENGINE_KIND = "engine"


@dataclass(frozen=True, slots=True)
class SharedResources:
    """Resources shared by the endpoints of one process."""

    session: aiohttp.ClientSession
    state: SettingsState
    sync: SettingsSync
    metrics: SidecarMetrics
    supervisor: Supervisor


class EndpointService:
    """One endpoint: its call handler, engine state, connections and shutdown."""

    def __init__(
        self, settings: SidecarSettings, shared: SharedResources, is_only_endpoint: bool
    ) -> None:
        self.settings = settings
        self.connections = EntryConnections()
        self.models = ServedModels(asyncio.get_running_loop().time)
        self.cache = (
            EngineCache(shared.session, settings.endpoint_url)
            if settings.endpoint_kind == ENGINE_KIND
            else None
        )
        labels = {} if is_only_endpoint else {"endpoint": settings.endpoint}
        self._metrics = EndpointMetrics(shared.metrics, labels)
        self._state = shared.state
        self.handler = StageHandler(
            settings,
            shared.session,
            self._metrics,
            shared.sync,
            self.models,
            shared.supervisor,
            self.cache,
        )
        self.drain = DrainController(
            settings,
            self.handler,
            self.connections,
            self.hand_over_records,
            shared.supervisor,
        )
        self.port = 0
        self.reconciler: ModelReconciler | None = None

    def start(self, supervisor: Supervisor) -> None:
        """Start the background tasks; without them, calls are served on."""
        name = self.settings.endpoint
        if self.cache is not None:
            work = self.cache.follow_events
            supervisor.run(f"engine_events[{name}]", work, self.cache.clear)
        if self.reconciler is not None:
            # It plans from the engine's state, which it reads in each step.
            supervisor.run(f"model_reconciler[{name}]", self.reconciler.run)

    async def announce_load(self) -> None:
        """Announce the load to the connected entries."""
        await self.connections.announce_load(self.handler.load())

    async def hand_over_records(self, final: bool) -> None:
        """Hand the records of at-most-once calls to peers."""
        await hand_over(
            self.handler.handovers(final),
            self.settings.endpoint,
            endpoints_of(self._state.tree),
            KeyRing(self.settings.handover_keys),
        )

    def refresh_metrics(self) -> None:
        """Update the gauges of this endpoint."""
        self._metrics.refresh(self.handler.load(), len(self.cache or ()))


async def open_endpoint(
    stack: AsyncExitStack,
    settings: SidecarSettings,
    shared: SharedResources,
    is_only_endpoint: bool,
) -> EndpointService:
    """
    Serve one endpoint until the stack closes.

    ``is_only_endpoint`` omits the endpoint from the labels of the process's metrics.
    """
    service = EndpointService(settings, shared, is_only_endpoint)
    shared.state.add_listener(service.drain.settings_changed)
    if service.cache is not None and settings.platform_url:
        service.reconciler = await _open_reconciler(stack, service, shared.state)
    host, port = split_address(settings.wire_address)
    peer_limits = PeerLimits(most_connections(PEER_SHARE, descriptor_limit()))
    service.port = await stack.enter_async_context(
        serve_sidecar(service.handler, host, port, service.connections, peer_limits)
    )
    return service


async def _open_reconciler(
    stack: AsyncExitStack, service: EndpointService, state: SettingsState
) -> ModelReconciler:
    headers = {CALLER_HEADER: service.settings.endpoint}
    session = await stack.enter_async_context(bounded_session(headers=headers))
    reconciler = ModelReconciler(
        service.settings, session, service.models, service.announce_load
    )
    state.add_listener(reconciler.settings_changed)
    return reconciler
