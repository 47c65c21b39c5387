"""Start, run and stop a sidecar."""

import asyncio
from contextlib import AsyncExitStack

import aiohttp
import capnp
from aiohttp import web

from amaranthtally.daemon.health import add_health_routes
from amaranthtally.daemon.lifecycle import (
    run_beside,
    serve_http,
    split_address,
    stop_on_signal,
)
from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.settings_state import SettingsState
from amaranthtally.daemon.settings_sync import SIDECAR_LINKS, SettingsSync
from amaranthtally.daemon.sidecar.departure import Departure
from amaranthtally.daemon.sidecar.engine_cache import EngineCache
from amaranthtally.daemon.sidecar.handler import StageHandler
from amaranthtally.daemon.sidecar.handover import endpoints_of, hand_over
from amaranthtally.daemon.sidecar.metrics import SidecarMetrics
from amaranthtally.daemon.sidecar.orders import ModelOrders
from amaranthtally.daemon.sidecar.served_models import ServedModels
from amaranthtally.daemon.signatures import KeyRing
from amaranthtally.platform import CALLER_HEADER
from amaranthtally.settings import SidecarSettings
from amaranthtally.wire import EntryConnections, serve_sidecar

__all__ = ["run_sidecar"]

HTTP_GRACE_S = 1.0
ENGINE_KIND = "engine"

log = get_logger()


async def run_sidecar(settings: SidecarSettings) -> None:
    """Serve entries until a stop signal, then finish what was accepted."""
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(capnp.kj_loop())
        stop = stack.enter_context(stop_on_signal())
        session = await stack.enter_async_context(_open_session())
        state = SettingsState()
        sync = SettingsSync(settings.endpoint, state, SIDECAR_LINKS)
        stack.push_async_callback(sync.close)
        run_beside(stack, sync.run())
        metrics = SidecarMetrics()
        cache = None
        if settings.endpoint_kind == ENGINE_KIND:
            cache = EngineCache(session, settings.endpoint_url)
            run_beside(stack, cache.follow())
        models = ServedModels(asyncio.get_running_loop().time)
        handler = StageHandler(settings, session, metrics, sync, models, cache)
        host, port = split_address(settings.wire_address)
        connections = EntryConnections()

        async def give_records(final: bool) -> None:
            await hand_over(
                handler.handovers(final),
                settings.endpoint,
                endpoints_of(state.tree),
                KeyRing(settings.handover_keys),
            )

        departure = Departure(settings, handler, connections, give_records)
        state.listen(departure.settings_changed)
        if settings.endpoint_kind == ENGINE_KIND and settings.platform_url:
            platform_session = await stack.enter_async_context(
                aiohttp.ClientSession(headers={CALLER_HEADER: settings.endpoint})
            )
            orders = ModelOrders(
                settings,
                platform_session,
                models,
                lambda: connections.announce(handler.load()),
            )
            state.listen(orders.settings_changed)
            run_beside(stack, orders.run())
        wire_port = await stack.enter_async_context(
            serve_sidecar(handler, host, port, connections)
        )
        app = web.Application()
        add_health_routes(
            app,
            lambda: not stop.is_set(),
            lambda: metrics.refresh(handler.load(), len(cache or ())),
        )
        http_port = await stack.enter_async_context(
            serve_http(app, settings.http_address, HTTP_GRACE_S)
        )
        log.info(
            "listening",
            role="sidecar",
            name=settings.endpoint,
            port=wire_port,
            http=http_port,
        )
        await stop.wait()
        log.info("sidecar_leaving", endpoint=settings.endpoint)
        if not await stop.run_until_forced(departure.leave(), settings.drain_limit):
            log.warning("sidecar_stop_forced", endpoint=settings.endpoint)
        # Without this every repeat of an effect that ran here would be answered
        # unknown from now on: nobody else knows what became of it.
        await give_records(True)
    log.info("sidecar_stopped", endpoint=settings.endpoint)


def _open_session() -> aiohttp.ClientSession:
    # The run queue bounds what runs at once; a second bound here would make
    # calls wait where the queue cannot see them.
    return aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
