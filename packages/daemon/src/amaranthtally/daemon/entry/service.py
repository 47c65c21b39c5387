"""Starts, runs and stops an entry."""

import secrets
from collections.abc import Callable, Mapping
from contextlib import AsyncExitStack
from dataclasses import dataclass
from random import Random

import capnp
from aiohttp import web

from amaranthtally.daemon.connections import (
    ConnectionTable,
    descriptor_limit,
    service_connections,
)
from amaranthtally.daemon.entry.admin import AdminApi, AdminServices, add_admin_routes
from amaranthtally.daemon.entry.audit import AuditReader
from amaranthtally.daemon.entry.binder import Binder
from amaranthtally.daemon.entry.callers import CallerApi, add_caller_routes
from amaranthtally.daemon.entry.change_store import ChangeStore
from amaranthtally.daemon.entry.claim_sweep import ClaimSweeper
from amaranthtally.daemon.entry.claims import ClaimStore
from amaranthtally.daemon.entry.committer import Committer
from amaranthtally.daemon.entry.drain import (
    EntryDrainController,
    close_connections_when_stopping,
)
from amaranthtally.daemon.entry.executor import Executor
from amaranthtally.daemon.entry.host_watch import poll_hosts, probe_endpoints
from amaranthtally.daemon.entry.initial_settings import load_from_peers
from amaranthtally.daemon.entry.log_follower import LogFollower
from amaranthtally.daemon.entry.membership import Membership
from amaranthtally.daemon.entry.metrics import EntryMetrics
from amaranthtally.daemon.entry.outcome_queries import OutcomeQuerier
from amaranthtally.daemon.entry.pipelines import PolicySettingsBuilder
from amaranthtally.daemon.entry.sidecar_connections import SidecarConnections
from amaranthtally.daemon.entry.snapshots import SnapshotStore
from amaranthtally.daemon.entry.tokens import TokenSigner
from amaranthtally.daemon.health import add_health_routes
from amaranthtally.daemon.lifecycle import (
    StopSignal,
    open_http,
    stop_on_signal,
)
from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.settings_state import SettingsState
from amaranthtally.daemon.settings_sync import ENTRY_LINKS, SettingsSync
from amaranthtally.daemon.signatures import KeyRing
from amaranthtally.daemon.supervision import Supervisor, open_supervisor
from amaranthtally.platform import (
    CALLER_HEADER,
    HostList,
    KeyValueClient,
    bounded_session,
    open_key_value,
)
from amaranthtally.policy import (
    CALLER_SHARE,
    ConnectionLimits,
    Planner,
    PolicySettings,
    most_connections,
)
from amaranthtally.settings import EntrySettings, SettingsView, Tree
from amaranthtally.settings.documents import Status
from amaranthtally.settings.models import Served
from amaranthtally.wire import Load

__all__ = ["run_entry"]

HTTP_GRACE_S = 5.0
SEED_BITS = 64
MAX_ADMIN_BODY_BYTES = 16 * 1024 * 1024

log = get_logger()


async def run_entry(settings: EntrySettings) -> None:
    """Serve callers until a stop signal, then complete the requests in flight."""
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(capnp.kj_loop())
        stop = stack.enter_context(stop_on_signal())
        drain_controller = await _open_entry(settings, stack, stop)
        await stop.wait()
        log.info("entry_leaving", in_flight=drain_controller.executor.in_flight)
        shutdown = drain_controller.shut_down(settings.drain_wait)
        if not await stop.run_until_forced(shutdown, settings.drain_limit):
            log.warning(
                "entry_stop_forced", in_flight=drain_controller.executor.in_flight
            )
            await drain_controller.abort()
    log.info("entry_stopped", entry=settings.name)


async def _open_entry(
    settings: EntrySettings, stack: AsyncExitStack, stop: StopSignal
) -> EntryDrainController:
    initial_settings = PolicySettings(0, settings.region, settings.data_centre)
    metrics = EntryMetrics()
    supervisor = stack.enter_context(open_supervisor())
    planner = Planner(initial_settings, Random(secrets.randbits(SEED_BITS)))
    executor = Executor(planner, initial_settings, metrics, supervisor)

    membership = Membership(executor)
    builder = PolicySettingsBuilder(settings.region, settings.data_centre)

    def on_change(tree: Tree) -> None:
        view = SettingsView(tree)
        policy_settings = builder.build(view)
        callers.settings_changed(view)
        executor.settings_changed(policy_settings)
        outcome_querier.settings_changed(policy_settings.endpoints)
        hosts = {e.id: e.host for e in policy_settings.endpoints.values()}
        membership.settings_changed(hosts, view.drained_hosts)

    loads: dict[str, Load] = {}

    def served_models() -> Served:
        return _served_models(loads, connections)

    settings_services = await _open_settings(settings, stack, served_models, supervisor)
    state = settings_services.state

    def on_load(endpoint: str, load: Load) -> None:
        loads[endpoint] = load
        membership.apply_load(endpoint, load)
        outcome_querier.note_load(endpoint, load)
        client = connections.connected_client(endpoint)
        if client is not None:
            settings_services.sync.note_revision(load.revision, client.changes_since)

    connections = SidecarConnections(
        settings.name,
        state,
        settings.connect_timeout,
        on_load,
        membership.note_unreachable,
        supervisor,
    )
    stack.push_async_callback(connections.close)
    outcome_querier = OutcomeQuerier(connections)
    executor.set_connections(connections, outcome_querier)
    binder = Binder(
        settings.region,
        ClaimStore(settings_services.key_value),
        TokenSigner(KeyRing(settings.token_keys)),
        outcome_querier,
    )
    callers = CallerApi(
        executor,
        binder,
        metrics,
        settings.region,
        settings.max_body_bytes,
        settings.stall_timeout,
        settings.prefix_blocks,
    )
    state.add_listener(on_change)
    session = await stack.enter_async_context(
        bounded_session(headers={CALLER_HEADER: settings.name})
    )
    sweeper = ClaimSweeper(settings_services.key_value, settings.claim_ttl, Random())
    hosts = HostList(session, settings.platform_url)
    stack.push_async_callback(supervisor.close)
    # Without its ticks, no deadline is enforced and no retry is sent.
    supervisor.run("decision_loop", executor.tick, is_vital=True)
    # Without these, requests are served on by the settings in force, and newer ones
    # come from sidecars.
    follower = settings_services.follower
    supervisor.run("log_follower", follower.follow, follower.distrust_connection)
    supervisor.run(
        "initial_load",
        lambda: load_from_peers(
            settings.peers, state, follower, settings.connect_timeout
        ),
        may_end=True,
    )
    sync = settings_services.sync
    supervisor.run("settings_sync", sync.run, sync.announce_anew)
    supervisor.run("host_poll", lambda: poll_hosts(hosts, membership))
    supervisor.run(
        "endpoint_probe",
        lambda: probe_endpoints(
            membership, connections, lambda: executor.endpoints, supervisor.spawn_call
        ),
    )
    supervisor.run("claim_sweep", sweeper.run)

    def ready() -> bool:
        return state.loaded.is_set() and not stop.is_set()

    def status() -> Status:
        return Status(
            entry=settings.name,
            host=settings.host,
            region=settings.region,
            revision=state.revision,
            ready=ready(),
            platform="connected" if settings_services.follower.connected else "lost",
            in_flight=executor.in_flight,
            endpoints=len(executor.endpoints),
            oldest_change=state.change_log.oldest,
            evacuated=sorted(SettingsView(state.tree).evacuated_data_centres),
        )

    app = web.Application(client_max_size=settings.max_body_bytes)
    add_caller_routes(app, callers)

    def refresh_metrics() -> None:
        metrics.refresh(executor.in_flight, connections.open_count)

    add_health_routes(app, ready, refresh_metrics, supervisor)
    app.on_response_prepare.append(close_connections_when_stopping(stop))
    most = most_connections(CALLER_SHARE, descriptor_limit())
    caller_limits = ConnectionLimits(connections=most)
    caller_table = ConnectionTable("callers", lambda: caller_limits)
    server = await stack.enter_async_context(
        open_http(app, settings.caller_address, HTTP_GRACE_S, caller_table, supervisor)
    )
    admin = AdminApi(
        AdminServices(
            state, settings_services.committer, settings_services.audit, status, loads
        ),
        settings.admin_keys,
    )
    admin_app = web.Application(
        middlewares=[admin.check_key], client_max_size=MAX_ADMIN_BODY_BYTES
    )
    add_admin_routes(admin_app, admin)
    admin_table = service_connections("administration")
    admin_listener = await stack.enter_async_context(
        open_http(
            admin_app, settings.admin_address, HTTP_GRACE_S, admin_table, supervisor
        )
    )
    log.info(
        "listening",
        role="entry",
        name=settings.name,
        port=server.port,
        admin=admin_listener.port,
    )
    return EntryDrainController(executor, callers, server)


def _served_models(
    loads: Mapping[str, Load], connections: SidecarConnections
) -> Served:
    # Leave out sidecars that are not connected: their last report may be outdated, and
    # a change must not be refused because of what was loaded an hour ago.
    return {
        endpoint: load.models.served
        for endpoint, load in loads.items()
        if load.models is not None
        and connections.connected_client(endpoint) is not None
    }


@dataclass(frozen=True, slots=True)
class _SettingsServices:
    """The objects that store, follow and change the settings of an entry."""

    key_value: KeyValueClient
    state: SettingsState
    follower: LogFollower
    committer: Committer
    audit: AuditReader
    sync: SettingsSync


async def _open_settings(
    settings: EntrySettings,
    stack: AsyncExitStack,
    served_models: Callable[[], Served],
    supervisor: Supervisor,
) -> _SettingsServices:
    key_value = await stack.enter_async_context(
        open_key_value(settings.platform_url, settings.name)
    )
    state = SettingsState()
    changes = ChangeStore(key_value)
    snapshots = SnapshotStore(key_value)
    follower = LogFollower(changes, snapshots, state)
    committer = Committer(
        changes, snapshots, state, follower, supervisor, served_models
    )
    stack.push_async_callback(committer.close)
    sync = SettingsSync(settings.name, state, ENTRY_LINKS, supervisor)
    stack.push_async_callback(sync.close)
    audit = AuditReader(changes, state)
    return _SettingsServices(key_value, state, follower, committer, audit, sync)
