"""Starts, runs and stops a gateway process."""

import secrets
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from pathlib import Path
from random import Random

import capnp
from aiohttp import web

from amaranthtally.adapter.callers import READY_PATH
from amaranthtally.adapter.messages import CallerRequest
from amaranthtally.daemon.connections import (
    Admission,
    ConnectionTable,
    build_connection,
    descriptor_limit,
    listen_http,
    service_connections,
)
from amaranthtally.daemon.gateway.arrivals import ArrivalBuilder
from amaranthtally.daemon.gateway.caller_handler import CallerHandler, RoutingEvidence
from amaranthtally.daemon.gateway.caller_memory import BYTES_PER_MB, EntryMemory
from amaranthtally.daemon.gateway.connection_gate import ConnectionGate
from amaranthtally.daemon.gateway.coordination import Coordination
from amaranthtally.daemon.gateway.drain import GatewayDrainController
from amaranthtally.daemon.gateway.endpoint_exchange import (
    EndpointSessions,
    endpoint_sessions,
)
from amaranthtally.daemon.gateway.executor import GatewayExecutor
from amaranthtally.daemon.gateway.live_call import LiveCall
from amaranthtally.daemon.gateway.metrics import (
    GatewayMetrics,
    GatewayState,
)
from amaranthtally.daemon.gateway.notice_reader import NoticeReader
from amaranthtally.daemon.gateway.peer_connections import PeerConnections
from amaranthtally.daemon.gateway.peer_handler import PeerHandler
from amaranthtally.daemon.gateway.peer_updater import PeerUpdater
from amaranthtally.daemon.gateway.resumption import RESUME_WINDOW_S, StreamResumption
from amaranthtally.daemon.gateway.routing_state import RoutingState
from amaranthtally.daemon.gateway.state_freshness import StateKind
from amaranthtally.daemon.gateway.stream_origin_tracker import StreamOriginTracker
from amaranthtally.daemon.gateway.transfer_reporter import TransferReporter
from amaranthtally.daemon.health import metrics_response, readiness_response
from amaranthtally.daemon.lifecycle import (
    ReloadSignal,
    StopSignal,
    split_address,
    stop_on_signal,
)
from amaranthtally.daemon.log_writer import BoundedWriter
from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.supervision import Supervisor, open_supervisor
from amaranthtally.platform import Reception, open_store
from amaranthtally.policy import (
    CALLER_SHARE,
    GATEWAY_COMPONENTS,
    PEER_SHARE,
    CallerLimits,
    ConnectionLimits,
    PeerDirectory,
    PeerRecord,
    Planner,
    PolicySettings,
    ResponseLimits,
    Route,
    build_response_limits,
    caller_connection_limits,
    most_connections,
)
from amaranthtally.settings import (
    GatewaySettings,
    SettingsFileError,
    load_gateway_settings,
)
from amaranthtally.wire.gateway_server import serve_gateway
from amaranthtally.wire.peer_listener import PeerLimits

__all__ = ["run_gateway"]

SEED_BITS = 64
# How long to wait for open connections when the process ends, in seconds. aiohttp takes
# 0 as no limit: a single caller with an idle open connection then kept the process
# running to the end of its grace period, until it was killed, and delayed its restart.
CLOSE_TIMEOUT_S = 0.1

log = get_logger()


async def run_gateway(
    settings: GatewaySettings,
    path: Path,
    writer: BoundedWriter,
    reloads: ReloadSignal,
) -> None:
    """Serve callers until a stop signal, then finish the requests in flight."""
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(capnp.kj_loop())
        stack.enter_context(reloads.handled_by(lambda: _reload(path)))
        stop = stack.enter_context(stop_on_signal())
        drain = await _start(settings, stack, stop, writer)
        await stop.wait()
        log.info("gateway_leaving", in_flight=drain.in_flight)
        if not await stop.run_until_forced(drain.shut_down(), drain.limit_s):
            await drain.abort()
    log.info("gateway_stopped", name=settings.name)


async def _start(
    settings: GatewaySettings,
    stack: AsyncExitStack,
    stop: StopSignal,
    writer: BoundedWriter,
) -> GatewayDrainController:
    metrics = GatewayMetrics()
    reception = Reception()
    sessions = await stack.enter_async_context(endpoint_sessions(reception))
    client = await stack.enter_async_context(
        open_store(settings.store_address, TransferReporter(metrics).record)
    )
    random = Random(secrets.randbits(SEED_BITS))
    supervisor = stack.enter_context(open_supervisor())

    limits = build_response_limits()
    memory = EntryMemory(settings.memory_mb, reception=reception)

    def settings_changed(changed: PolicySettings) -> None:
        if routing_state.table is not None:
            limits.configure(routing_state.table.limits.body_bytes)
        executor.settings_changed(changed)

    routing_state = RoutingState(settings, settings_changed)
    executor = _new_executor(
        routing_state,
        random,
        sessions,
        metrics,
        lambda call: _note_origin(origins, call),
        limits,
        supervisor,
        lambda: coordination.freshness.log_fields,
    )
    connections = PeerConnections(settings.name, supervisor, executor, settings.seeds)
    origins = StreamOriginTracker(
        settings.name, settings.data_centre, connections, supervisor.spawn_call
    )
    stack.callback(connections.close)
    executor.set_peer_connections(connections)

    host, port = split_address(settings.peer_address)
    peers = PeerDirectory()
    peer_updater = PeerUpdater(
        peers,
        connections,
        executor,
        routing_state,
        lambda: coordination.entries_changed(),
    )

    # The handler exists before the port is known, and the record contains the port.
    handler = PeerHandler(
        executor, lambda: coordination, peer_updater.greeting_received, origins
    )
    peer_limits = PeerLimits(most_connections(PEER_SHARE, descriptor_limit()))
    port = await stack.enter_async_context(
        serve_gateway(handler, host, port, peer_limits)
    )
    record = PeerRecord(f"{host}:{port}", settings.data_centre)
    connections.set_own_record(record)
    coordination = Coordination(
        settings,
        record,
        client,
        connections,
        routing_state,
        peers,
        origins,
        peer_updater.apply_live_peers,
        supervisor,
        stop.is_set,
        random,
        metrics.record_faults,
    )
    reader = NoticeReader(
        lambda: tuple(peers.alive),
        [executor.rate_limits.read_from, executor.prompts.read_from],
        random,
    )

    configuration = coordination.configuration
    freshness = coordination.freshness
    gate = ConnectionGate()
    stack.push_async_callback(supervisor.close)
    coordination.start()
    _start_tasks(
        supervisor, executor, connections, peer_updater, reader, writer, memory, gate
    )
    configuration = coordination.configuration

    def state() -> GatewayState:
        view = executor.loads.view
        shares = executor.usage.state
        return GatewayState(
            in_flight=executor.in_flight,
            pieces_waiting=executor.pieces_waiting,
            peers=len(peers.alive),
            endpoints=len(routing_state.directory.endpoints),
            endpoints_missing=routing_state.directory.missing,
            configuration=configuration.version,
            configuration_heard=configuration.newest_known,
            configuration_behind_s=configuration.behind_s,
            records=coordination.documents.versions.records,
            store_connected=coordination.store.is_connected,
            store_watched=coordination.store.is_watching,
            configuration_age_s=freshness.age_s(StateKind.CONFIGURATION),
            records_age_s=freshness.age_s(StateKind.RECORDS),
            records_behind_s=coordination.records_behind_s,
            tasks_failed=supervisor.failure_count,
            followers=coordination.follower_count,
            changes_refused=coordination.changes_refused,
            stream_origins=origins.count,
            connections_closed_unread=gate.closed,
            rate_limits=executor.rate_limits.count,
            prompt_parts_blocked=executor.prompts.blocked_count,
            endpoints_backing_off=executor.signals.backing_off,
            endpoints_cold=executor.signals.cold,
            data_centres_evacuated=len(routing_state.evacuated),
            requests_blocked=executor.prompts.blocked_requests,
            results_reserved=executor.moves.reserved,
            pieces_moving=executor.moves.moving,
            pieces_dropped=executor.moves.dropped,
            log_lines_lost=writer.dropped,
            load_view_pools=len(view.active_pools),
            load_view_senders=view.senders,
            load_view_messages=view.counters.messages,
            load_view_sent_bytes=view.counters.sent_bytes,
            load_view_failures=view.counters.failures,
            load_view_rejected=view.counters.rejected,
            fair_share_accounts=shares.accounts,
            fair_share_senders=shares.senders,
            fair_share_overloaded=shares.is_overloaded,
            fair_share_engines_s=shares.engines_level_s,
            fair_share_stages_s=shares.stages_level_s,
            memory_held_bytes=memory.budget.used,
            memory_limit_bytes=memory.budget.limit if memory.is_limited else 0,
            requests_ended_for_memory=memory.ended,
        )

    arrivals = ArrivalBuilder(Random(random.getrandbits(SEED_BITS)))
    resumption = StreamResumption(
        origins,
        coordination.versions,
        coordination.confirm_records,
        partial(_route_of, routing_state),
        metrics,
        lambda: freshness.log_fields,
    )
    caller_handler = CallerHandler(
        executor,
        arrivals,
        metrics,
        resumption,
        lambda: routing_state.table,
        lambda: RoutingEvidence(
            configuration.version,
            coordination.documents.versions.records,
            **freshness.log_fields,
            is_confirmed=coordination.is_configuration_confirmed,
        ),
        stop.is_set,
        supervisor.report_error,
        memory,
    )
    caller_server = web.Server(caller_handler.handle, handler_cancellation=True)
    await _serve_metrics(settings, stack, metrics, state, supervisor)
    ready_port = await _serve_readiness(
        settings, stack, lambda: routing_state.is_complete, stop, supervisor
    )
    caller_port = await stack.enter_async_context(
        _serve(
            caller_server,
            settings.caller_address,
            _caller_connections(settings, routing_state),
            supervisor,
            gate.guard,
        )
    )
    ports = {"port": caller_port, "ready": ready_port, "peers": port}
    log.info("listening", role="gateway", name=settings.name, **ports)
    return GatewayDrainController(
        executor,
        caller_handler,
        caller_server,
        peers,
        (connections.note_leaving, executor.stop_running_jobs, origins.leave),
        coordination.store.deregister,
        supervisor,
        settings.stop_grace,
    )


def _start_tasks(
    supervisor: Supervisor,
    executor: GatewayExecutor,
    connections: PeerConnections,
    peer_updater: PeerUpdater,
    reader: NoticeReader,
    writer: BoundedWriter,
    memory: EntryMemory,
    gate: ConnectionGate,
) -> None:
    """Start the background tasks that don't belong to the coordination."""
    # Without its ticks, no deadline is enforced and no retry is sent.
    supervisor.run("decision_loop", executor.tick, is_vital=True)
    # Without its checks, the gate closes all connections after the first few.
    supervisor.run("connection_gate", gate.run, gate.reset_estimate, is_vital=True)
    # Without these, requests are still served, if less well.
    supervisor.run("notice_reader", reader.run, may_end=True)
    prober = peer_updater.prober
    supervisor.run("peer_prober", prober.run, prober.wake)
    supervisor.run(
        "peer_heartbeat",
        lambda: connections.run_heartbeat(lambda: executor.peers_to_probe),
    )
    supervisor.run("log_flush", writer.flush_periodically)
    supervisor.run("memory_limit", memory.run, may_end=not memory.is_limited)


def _new_executor(
    routing_state: RoutingState,
    random: Random,
    sessions: EndpointSessions,
    metrics: GatewayMetrics,
    on_stream_began: Callable[[LiveCall], None],
    limits: ResponseLimits,
    supervisor: Supervisor,
    ages: Callable[[], Mapping[str, float]],
) -> GatewayExecutor:
    initial = routing_state.initial_settings()
    planner_random = Random(random.getrandbits(SEED_BITS))
    planner = Planner(initial, planner_random, GATEWAY_COMPONENTS)
    return GatewayExecutor(
        planner,
        initial,
        sessions,
        metrics,
        on_stream_began,
        limits,
        supervisor,
        ages,
    )


def _note_origin(origins: StreamOriginTracker, call: LiveCall) -> None:
    """Note where a stream began, for as long as its caller may take it up."""
    if call.origin is not None and call.route.is_resumable:
        expires_at = call.arrival.deadline + RESUME_WINDOW_S
        origins.note(call.id, call.origin, expires_at)


def _route_of(routing_state: RoutingState, caller: CallerRequest) -> Route | None:
    table = routing_state.table
    return table.match(caller.host, caller.path) if table else None


async def _serve_metrics(
    settings: GatewaySettings,
    stack: AsyncExitStack,
    metrics: GatewayMetrics,
    state: Callable[[], GatewayState],
    supervisor: Supervisor,
) -> None:
    if settings.metrics_address:
        metrics_server = web.Server(_metrics_handler(metrics, state))
        table = service_connections("metrics")
        await stack.enter_async_context(
            _serve(metrics_server, settings.metrics_address, table, supervisor)
        )


async def _serve_readiness(
    settings: GatewaySettings,
    stack: AsyncExitStack,
    is_complete: Callable[[], bool],
    stop: StopSignal,
    supervisor: Supervisor,
) -> int:
    ready_server = web.Server(_readiness_handler(is_complete, stop, supervisor))
    table = service_connections("readiness")
    return await stack.enter_async_context(
        _serve(ready_server, settings.ready_address, table, supervisor)
    )


def _caller_connections(
    settings: GatewaySettings, routing_state: RoutingState
) -> ConnectionTable:
    most = most_connections(
        CALLER_SHARE, descriptor_limit(), settings.memory_mb * BYTES_PER_MB
    )

    def limits() -> ConnectionLimits:
        table = routing_state.table
        caller_limits = table.limits if table is not None else CallerLimits()
        return caller_connection_limits(caller_limits, most)

    return ConnectionTable("callers", limits)


def _metrics_handler(
    metrics: GatewayMetrics, state: Callable[[], GatewayState]
) -> Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]:
    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        metrics.refresh(state())
        return metrics_response(request)

    return handle


def _readiness_handler(
    is_complete: Callable[[], bool], stop: StopSignal, supervisor: Supervisor
) -> Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]:
    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        if request.path != READY_PATH:
            return web.Response(status=404, text="unknown path\n")
        is_serving = is_complete() and not stop.is_set()
        return readiness_response(is_serving, supervisor)

    return handle


@asynccontextmanager
async def _serve(
    server: web.Server,
    address: str,
    table: ConnectionTable,
    supervisor: Supervisor,
    admit: Admission = build_connection,
) -> AsyncIterator[int]:
    """Serve at an address; yield the bound port. ``admit`` may take no connections."""
    host, port = split_address(address)
    # Without its checks, connections that wait for their clients stay open.
    supervisor.run(f"connections_{table.name}", table.run)
    try:
        async with listen_http(
            server, host, port, table, admit, decompresses=False
        ) as listener:
            yield listener.port
    finally:
        await server.shutdown(CLOSE_TIMEOUT_S)


def _reload(path: Path) -> None:
    """Reload the settings file; keep the old settings if it cannot be read."""
    try:
        load_gateway_settings(path)
    except SettingsFileError as error:
        log.error("settings_not_reloaded", cause=str(error))
        return
    log.info("settings_reloaded", path=str(path))
