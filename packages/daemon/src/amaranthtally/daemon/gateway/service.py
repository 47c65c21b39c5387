"""Start, run and stop a gateway."""

import asyncio
import secrets
import signal
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from random import Random

from aiohttp import web

from amaranthtally.adapter.callers import READY_PATH
from amaranthtally.daemon.gateway.arrivals import ArrivalBuilder
from amaranthtally.daemon.gateway.beliefs import Beliefs
from amaranthtally.daemon.gateway.endpoint_calls import endpoint_session
from amaranthtally.daemon.gateway.executor import GatewayExecutor
from amaranthtally.daemon.gateway.front import Front
from amaranthtally.daemon.gateway.metrics import GatewayMetrics
from amaranthtally.daemon.gateway.store_follower import (
    RecordFollower,
    follow_configuration,
    follow_endpoints,
)
from amaranthtally.daemon.lifecycle import run_beside, split_address, stop_on_signal
from amaranthtally.daemon.logs import get_logger
from amaranthtally.platform import open_store
from amaranthtally.policy import AffinityRouter, Parts, Planner
from amaranthtally.settings import (
    GatewaySettings,
    SettingsFileError,
    load_gateway_settings,
)

__all__ = ["run_gateway"]

SEED_BITS = 64
BACKLOG = 1024
MOST_HEADER_BYTES = 16_384
# The balancer asks once a second and lets go after two misses, in seconds.
BALANCER_S = 2.3
# What is left of the grace for closing down, in seconds.
LAST_S = 0.6
POLL_S = 0.05

log = get_logger()


async def run_gateway(settings: GatewaySettings, path: Path) -> None:
    """Serve callers until a stop signal, then finish what is in flight."""
    loop = asyncio.get_running_loop()
    async with AsyncExitStack() as stack:
        stop = stack.enter_context(stop_on_signal())
        loop.add_signal_handler(signal.SIGHUP, _reload, path)
        session = await stack.enter_async_context(endpoint_session())
        store = await stack.enter_async_context(open_store(settings.store_address))

        beliefs = Beliefs(settings, lambda found: executor.settings_changed(found))
        start = beliefs.start()
        planner = Planner(
            start,
            Random(secrets.randbits(SEED_BITS)),
            Parts(router=AffinityRouter),
        )
        executor = GatewayExecutor(planner, start, session)
        metrics = GatewayMetrics()
        front = Front(
            executor,
            ArrivalBuilder(Random(secrets.randbits(SEED_BITS))),
            metrics,
            lambda: beliefs.table,
            stop.is_set,
        )
        records = RecordFollower(
            beliefs.directory, settings.regions, beliefs.endpoints_changed
        )
        random = Random(secrets.randbits(SEED_BITS))
        for work in (
            follow_configuration(store, beliefs.take_table, random).follow(),
            follow_endpoints(store, records, random).follow(),
            executor.tick(),
        ):
            run_beside(stack, work)

        async def ready(request: web.BaseRequest) -> web.Response:
            if request.path != READY_PATH:
                return web.Response(status=404, text="unknown path\n")
            if beliefs.is_complete and not stop.is_set():
                return web.Response(text="ready\n")
            return web.Response(status=503, text="not ready: starting or stopping\n")

        await stack.enter_async_context(
            _serve(web.Server(ready), settings.ready_address)
        )
        callers = web.Server(
            front.handle,
            handler_cancellation=True,
            auto_decompress=False,
            max_line_size=MOST_HEADER_BYTES,
            max_field_size=MOST_HEADER_BYTES,
        )
        listener = await stack.enter_async_context(
            _serve(callers, settings.caller_address)
        )
        log.info("listening", role="gateway", name=settings.name)
        await stop.wait()
        log.info("gateway_leaving", in_flight=executor.in_flight)
        work = _leave(listener, front, callers)
        limit_s = settings.stop_grace - LAST_S
        if not await stop.run_until_forced(work, limit_s):
            log.warning("gateway_stop_forced", in_flight=executor.in_flight)
    log.info("gateway_stopped", name=settings.name)


async def _leave(
    listener: asyncio.AbstractServer, front: Front, callers: web.Server
) -> None:
    """
    Serve on until the balancer has let go, then finish every response.

    Kept connections end with their next response; those that stay idle are closed
    last, when nothing is in flight.
    """
    await asyncio.sleep(BALANCER_S)
    listener.close()
    while front.open_responses:
        await asyncio.sleep(POLL_S)
    callers.pre_shutdown()


@asynccontextmanager
async def _serve(server: web.Server, address: str) -> AsyncIterator[asyncio.Server]:
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, host, port, backlog=BACKLOG)
    try:
        yield listener
    finally:
        listener.close()
        await server.shutdown(0)


def _reload(path: Path) -> None:
    """Read the settings anew; those that can't be read leave the old ones in force."""
    try:
        load_gateway_settings(path)
    except SettingsFileError as error:
        log.error("settings_not_reloaded", cause=str(error))
        return
    log.info("settings_reloaded", path=str(path))
