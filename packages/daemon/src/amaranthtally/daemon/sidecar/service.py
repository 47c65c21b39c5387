"""Start, run and stop a sidecar."""

import asyncio
from collections.abc import Sequence
from contextlib import AsyncExitStack
from math import inf

import aiohttp
import capnp
from aiohttp import web

from amaranthtally.daemon.connections import service_connections
from amaranthtally.daemon.health import add_health_routes
from amaranthtally.daemon.lifecycle import (
    StopSignal,
    open_http,
    stop_on_signal,
)
from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.settings_state import SettingsState
from amaranthtally.daemon.settings_sync import SIDECAR_LINKS, SettingsSync
from amaranthtally.daemon.sidecar.endpoint_service import (
    EndpointService,
    SharedResources,
    open_endpoint,
)
from amaranthtally.daemon.sidecar.metrics import SidecarMetrics
from amaranthtally.daemon.supervision import Supervisor, open_supervisor
from amaranthtally.platform import Reception, bounded_session
from amaranthtally.policy import DEFAULT_STAGE_LIMITS
from amaranthtally.settings import SidecarSettings

__all__ = ["open_endpoint_session", "run_sidecar"]

HTTP_GRACE_S = 1.0
BYTES_PER_MB = 1_000_000

log = get_logger()


async def run_sidecar(endpoints: Sequence[SidecarSettings]) -> None:
    """Serve the endpoints of a host until a stop signal, then finish accepted calls."""
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(capnp.kj_loop())
        stop = stack.enter_context(stop_on_signal())
        shared = await _open_shared(stack, endpoints)
        is_only_endpoint = len(endpoints) == 1
        services = [
            await open_endpoint(stack, settings, shared, is_only_endpoint)
            for settings in endpoints
        ]
        stack.push_async_callback(shared.supervisor.close)
        sync = shared.sync
        shared.supervisor.run("settings_sync", sync.run, sync.announce_anew)
        for service in services:
            service.start(shared.supervisor)
        http_port = await _serve_health(stack, stop, services, shared.supervisor)
        for service in services:
            log.info(
                "listening",
                role="sidecar",
                name=service.settings.endpoint,
                port=service.port,
                http=http_port,
            )
        await stop.wait()
        await asyncio.gather(*(_shut_down(stop, service) for service in services))
    for settings in endpoints:
        log.info("sidecar_stopped", endpoint=settings.endpoint)


async def _open_shared(
    stack: AsyncExitStack, endpoints: Sequence[SidecarSettings]
) -> SharedResources:
    names = [settings.endpoint for settings in endpoints]
    # All endpoints of a file have the same.
    memory_mb = endpoints[0].response_memory_mb
    session = await stack.enter_async_context(open_endpoint_session(memory_mb))
    state = SettingsState()
    supervisor = stack.enter_context(open_supervisor())
    sync = SettingsSync(names[0], state, SIDECAR_LINKS, supervisor, names[1:])
    stack.push_async_callback(sync.close)
    return SharedResources(session, state, sync, SidecarMetrics(), supervisor)


async def _serve_health(
    stack: AsyncExitStack,
    stop: StopSignal,
    services: list[EndpointService],
    supervisor: Supervisor,
) -> int:
    def refresh() -> None:
        for service in services:
            service.refresh_metrics()

    app = web.Application()
    add_health_routes(app, lambda: not stop.is_set(), refresh, supervisor)
    address = services[0].settings.http_address
    table = service_connections("health")
    listener = await stack.enter_async_context(
        open_http(app, address, HTTP_GRACE_S, table, supervisor)
    )
    return listener.port


async def _shut_down(stop: StopSignal, service: EndpointService) -> None:
    settings = service.settings
    log.info("sidecar_leaving", endpoint=settings.endpoint)
    work = service.drain.shut_down()
    if not await stop.run_until_forced(work, settings.drain_limit):
        log.warning("sidecar_stop_forced", endpoint=settings.endpoint)
    # Only this process knows the outcomes of the at-most-once calls that ran here.
    # Without the handover every repeat of them would be answered with ``unknown``.
    await service.hand_over_records(True)


def open_endpoint_session(
    response_memory_mb: float = inf,
) -> aiohttp.ClientSession:
    """
    Return a session for calls to the endpoint beside this process.

    Its responses may take ``response_memory_mb`` megabytes together.

    Endpoints may answer twice or late and name no call in their responses: each call
    has a connection of its own, so that its response is its own. The run queue limits
    the concurrency; a limit here would delay calls without its knowledge.
    """
    return bounded_session(
        DEFAULT_STAGE_LIMITS.whole,
        Reception(response_memory_mb * BYTES_PER_MB),
        connector_options={"limit": 0, "force_close": True},
    )
