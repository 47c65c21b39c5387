"""Start, run and stop a gateway."""

import asyncio
import secrets
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from random import Random

import aiohttp
import capnp
from aiohttp import web

from amaranthtally.adapter.callers import READY_PATH
from amaranthtally.daemon.gateway.arrivals import ArrivalBuilder
from amaranthtally.daemon.gateway.belief_copy import BeliefCopy
from amaranthtally.daemon.gateway.belief_exchange import BeliefExchange
from amaranthtally.daemon.gateway.beliefs import Beliefs
from amaranthtally.daemon.gateway.configuration_follower import ConfigurationFollower
from amaranthtally.daemon.gateway.endpoint_calls import endpoint_session
from amaranthtally.daemon.gateway.executor import GatewayExecutor
from amaranthtally.daemon.gateway.front import Front
from amaranthtally.daemon.gateway.membership import (
    EntryReader,
    Registration,
)
from amaranthtally.daemon.gateway.metrics import (
    GatewayMetrics,
    GatewayState,
)
from amaranthtally.daemon.gateway.peer_changes import PeerChanges
from amaranthtally.daemon.gateway.peer_handler import PeerHandler
from amaranthtally.daemon.gateway.peer_links import UNREACHABLE, PeerLinks
from amaranthtally.daemon.gateway.record_follower import RecordFollower
from amaranthtally.daemon.gateway.store_links import StoreLinks
from amaranthtally.daemon.gateway.store_transfers import StoreTransfers
from amaranthtally.daemon.health import answer_scrape
from amaranthtally.daemon.lifecycle import (
    ReloadSignal,
    StopSignal,
    run_beside,
    split_address,
    stop_on_signal,
)
from amaranthtally.daemon.log_writer import BoundedWriter
from amaranthtally.daemon.logs import get_logger
from amaranthtally.platform import open_store
from amaranthtally.policy import (
    GATEWAY_COMPONENTS,
    PeerDirectory,
    PeerRecord,
    Planner,
)
from amaranthtally.settings import (
    GatewaySettings,
    SettingsFileError,
    load_gateway_settings,
)
from amaranthtally.wire.gateway_codec import Versions
from amaranthtally.wire.gateway_peer import serve_gateway

__all__ = ["run_gateway"]

SEED_BITS = 64
BACKLOG = 1024
# Callers' idle connections are closed after this, in seconds: twice the longest that
# operators have let callers keep one. Each holds one of some four thousand descriptors.
KEPT_S = 30.0
MOST_HEADER_BYTES = 16_384
# The balancer asks once a second and lets go after two misses, in seconds.
BALANCER_S = 2.3
# What is left of the grace for closing down, in seconds.
LAST_S = 0.5
# What is left of the grace when requests that were not sent are refused, in seconds:
# their callers have time to come back elsewhere, and what was sent by then is done.
REFUSE_S = 3.5
POLL_S = 0.05
# How long a connection is waited for as the process ends, in seconds. The library takes
# 0 for no limit: one caller that keeps its connection open and sends nothing then held
# the process to the end of its grace, until it was killed and only then started anew.
CLOSE_S = 0.1

log = get_logger()


async def run_gateway(
    settings: GatewaySettings,
    path: Path,
    lines: BoundedWriter,
    reloads: ReloadSignal,
) -> None:
    """Serve callers until a stop signal, then finish what is in flight."""
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(capnp.kj_loop())
        stack.enter_context(reloads.taken_by(lambda: _reload(path)))
        stop = stack.enter_context(stop_on_signal())
        parts = await _open(settings, stack, stop, lines)
        log.info("listening", role="gateway", name=settings.name, **parts.ports)
        await stop.wait()
        log.info("gateway_leaving", in_flight=parts.executor.in_flight)
        work = _leave(parts, settings.stop_grace)
        limit_s = settings.stop_grace - LAST_S
        if not await stop.run_until_forced(work, limit_s):
            log.warning("gateway_stop_forced", in_flight=parts.executor.in_flight)
    log.info("gateway_stopped", name=settings.name)


@dataclass(frozen=True, slots=True)
class _Parts:
    """What a gateway needs to leave."""

    executor: GatewayExecutor
    links: PeerLinks
    front: Front
    callers: web.Server
    store: StoreLinks
    ports: Mapping[str, int]


async def _open(
    settings: GatewaySettings,
    stack: AsyncExitStack,
    stop: StopSignal,
    lines: BoundedWriter,
) -> _Parts:
    metrics = GatewayMetrics()
    session = await stack.enter_async_context(endpoint_session())
    client = await stack.enter_async_context(
        open_store(settings.store_address, StoreTransfers(metrics).ended)
    )
    random = Random(secrets.randbits(SEED_BITS))

    beliefs = Beliefs(settings, lambda found: executor.settings_changed(found))
    executor = _new_executor(beliefs, random, session, metrics)
    links = PeerLinks(settings.name, executor.spawn, executor)
    stack.callback(links.close)
    executor.connect(links)

    configuration = ConfigurationFollower(beliefs.take_table)
    records = RecordFollower(
        beliefs.directory, settings.regions, beliefs.endpoints_changed
    )
    peers = PeerDirectory()
    peer_changes = PeerChanges(peers, links, executor, beliefs)

    def bring(peer: str, theirs: Versions) -> None:
        executor.spawn(copy.bring(peer, theirs))

    handler = PeerHandler(
        executor, configuration, records, peer_changes.greeted, bring, stop.is_set
    )
    host, port = split_address(settings.peer_address)
    port = await stack.enter_async_context(serve_gateway(handler, host, port))
    record = PeerRecord(f"{host}:{port}", settings.data_centre)
    links.introduce_as(record)

    store = StoreLinks(
        client,
        configuration,
        records,
        EntryReader(settings.name, peers, peer_changes.changed),
        Registration(client, settings.name, record, random),
        random,
    )
    copy = BeliefCopy(links, handler, store)
    exchange = BeliefExchange(
        links, handler, bring, store, lambda: list(peers.alive), random
    )
    for work in [
        *store.work(),
        exchange.run(),
        peer_changes.checks.run(),
        executor.tick(),
        links.watch(lambda: executor.peers_to_check),
        lines.keep_draining(),
    ]:
        run_beside(stack, work)

    def state() -> GatewayState:
        return GatewayState(
            in_flight=executor.in_flight,
            pieces_waiting=executor.pieces_waiting,
            peers=len(peers.alive),
            endpoints=len(beliefs.directory.endpoints),
            endpoints_missing=beliefs.directory.missing,
            configuration=configuration.version,
            configuration_heard=configuration.heard,
            configuration_behind_s=configuration.behind_s,
            records=records.at,
            store_connected=store.is_connected,
            log_lines_lost=lines.dropped,
        )

    arrivals = ArrivalBuilder(Random(random.getrandbits(SEED_BITS)))
    front = Front(executor, arrivals, metrics, lambda: beliefs.table, stop.is_set)
    callers = _new_caller_server(front)
    await _serve_operators(settings, stack, metrics, state)
    ready = await _serve_balancer(settings, stack, lambda: beliefs.is_complete, stop)
    front_port = await stack.enter_async_context(
        _serve(callers, settings.caller_address)
    )
    ports = {"port": front_port, "ready": ready, "peers": port}
    return _Parts(executor, links, front, callers, store, ports)


def _new_executor(
    beliefs: Beliefs,
    random: Random,
    session: aiohttp.ClientSession,
    metrics: GatewayMetrics,
) -> GatewayExecutor:
    start = beliefs.start()
    drawn = Random(random.getrandbits(SEED_BITS))
    planner = Planner(start, drawn, GATEWAY_COMPONENTS)
    return GatewayExecutor(planner, start, session, metrics)


def _new_caller_server(front: Front) -> web.Server:
    return web.Server(
        front.handle,
        handler_cancellation=True,
        keepalive_timeout=KEPT_S,
        auto_decompress=False,
        max_line_size=MOST_HEADER_BYTES,
        max_field_size=MOST_HEADER_BYTES,
    )


async def _serve_operators(
    settings: GatewaySettings,
    stack: AsyncExitStack,
    metrics: GatewayMetrics,
    state: Callable[[], GatewayState],
) -> None:
    if settings.metrics_address:
        scrapes = web.Server(_answer_scrapes(metrics, state))
        await stack.enter_async_context(_serve(scrapes, settings.metrics_address))


async def _serve_balancer(
    settings: GatewaySettings,
    stack: AsyncExitStack,
    is_complete: Callable[[], bool],
    stop: StopSignal,
) -> int:
    balancer = web.Server(_answer_balancer(is_complete, stop))
    return await stack.enter_async_context(_serve(balancer, settings.ready_address))


def _answer_scrapes(
    metrics: GatewayMetrics, state: Callable[[], GatewayState]
) -> Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]:
    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        metrics.refresh(state())
        return answer_scrape(request)

    return answer


def _answer_balancer(
    is_complete: Callable[[], bool], stop: StopSignal
) -> Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]:
    async def answer(request: web.BaseRequest) -> web.StreamResponse:
        if request.path != READY_PATH:
            return web.Response(status=404, text="unknown path\n")
        if is_complete() and not stop.is_set():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready: starting or stopping\n")

    return answer


async def _leave(parts: _Parts, grace_s: float) -> None:
    """
    Serve on until the balancer has let go, then finish every response.

    Peers learn at once that this gateway makes no more pieces for them. The listener
    stays open to the end: where others of the data centre are down, the balancer
    still sends callers here, and a refusal that says so is worth more to them than a
    connection that fails. Kept connections end with their next response; what was
    sent to no endpoint is refused truthfully before the grace is over.
    """
    parts.links.introduce_as(UNREACHABLE)
    parts.executor.leave()
    await asyncio.gather(parts.store.leave(), asyncio.sleep(BALANCER_S))
    parts.front.close()
    refuse_at = asyncio.get_running_loop().time() + grace_s - BALANCER_S - REFUSE_S
    while parts.front.open_responses or parts.executor.in_flight:
        if asyncio.get_running_loop().time() >= refuse_at:
            parts.executor.refuse_unsent()
        await asyncio.sleep(POLL_S)
    parts.callers.pre_shutdown()


@asynccontextmanager
async def _serve(server: web.Server, address: str) -> AsyncIterator[int]:
    """Serve at an address and yield the bound port."""
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, host, port, backlog=BACKLOG)
    try:
        yield listener.sockets[0].getsockname()[1]
    finally:
        listener.close()
        await server.shutdown(CLOSE_S)


def _reload(path: Path) -> None:
    """Read the settings anew; those that can't be read leave the old ones in force."""
    try:
        load_gateway_settings(path)
    except SettingsFileError as error:
        log.error("settings_not_reloaded", cause=str(error))
        return
    log.info("settings_reloaded", path=str(path))
