"""What a gateway knows of the store and of its peers, and how it is kept up to date."""

from collections.abc import Callable
from math import inf
from random import Random

from amaranthtally.adapter.configuration import CONFIGURATION_KEY
from amaranthtally.adapter.evacuations import EVACUATIONS_PREFIX
from amaranthtally.adapter.servers import SERVERS_PREFIX
from amaranthtally.daemon.gateway.change_pusher import ChangePusher
from amaranthtally.daemon.gateway.change_receiver import ChangeReceiver
from amaranthtally.daemon.gateway.configuration_tracker import ConfigurationTracker
from amaranthtally.daemon.gateway.document_fetcher import DocumentFetcher
from amaranthtally.daemon.gateway.endpoint_record_tracker import EndpointRecordTracker
from amaranthtally.daemon.gateway.evacuation_tracker import EvacuationTracker
from amaranthtally.daemon.gateway.held_documents import HeldDocuments
from amaranthtally.daemon.gateway.listener_guard import ListenerGuard
from amaranthtally.daemon.gateway.membership import (
    ENTRIES_PREFIX,
    PeerRecordTracker,
    Registration,
)
from amaranthtally.daemon.gateway.origin_recorder import (
    ORIGINS_PREFIX,
    OriginRecorder,
)
from amaranthtally.daemon.gateway.peer_confirmation import PeerConfirmation
from amaranthtally.daemon.gateway.peer_connections import PeerConnections
from amaranthtally.daemon.gateway.prefix_listener import (
    PrefixDispatcher,
    PrefixListener,
)
from amaranthtally.daemon.gateway.prefix_watcher import PrefixWatcher
from amaranthtally.daemon.gateway.record_faults import RecordFaults
from amaranthtally.daemon.gateway.resumption import Evidence
from amaranthtally.daemon.gateway.return_greeter import ReturnGreeter
from amaranthtally.daemon.gateway.routing_state import RoutingState
from amaranthtally.daemon.gateway.seed_reader import SeedReader
from amaranthtally.daemon.gateway.state_freshness import (
    StateFreshness,
    StateKind,
    state_clock,
)
from amaranthtally.daemon.gateway.state_lag import LagReporter, RecordsLag
from amaranthtally.daemon.gateway.store_confirmation import ALL_KEYS, StoreConfirmation
from amaranthtally.daemon.gateway.store_follower import MAX_AGE_S, StoreFollower
from amaranthtally.daemon.gateway.store_replica import StoreReplica
from amaranthtally.daemon.gateway.store_sync import StoreSync
from amaranthtally.daemon.gateway.stream_origin_tracker import StreamOriginTracker
from amaranthtally.daemon.gateway.version_gossip import VersionGossip
from amaranthtally.daemon.gateway.version_recorder import (
    VERSIONS_PREFIX,
    VersionRecorder,
)
from amaranthtally.daemon.supervision import Supervisor
from amaranthtally.platform import StoreClient
from amaranthtally.policy import (
    CallKind,
    PeerDirectory,
    PeerRecord,
    RouteTable,
    WatcherSelection,
    ring_neighbours,
)
from amaranthtally.settings import GatewaySettings
from amaranthtally.wire.changes import ChangeBatch
from amaranthtally.wire.gateway_codec import GatewayStatus, Versions

__all__ = ["Coordination"]

# Stands for the routes in force, beside the prefixes of the records.
ROUTES = "routes"
# How long the caller of a stream whose origin nobody knows waits for an answer of the
# store, and then of the peers, in seconds: for the interval between two checks and the
# time-out of one.
CONFIRMATION_S = 0.6
# How long a version of the configuration that was heard of is waited for, in seconds.
# One takes at most some seconds over the slowest link. It may never come, if the
# gateway that held it has ended and the store has lost it.
AWAITED_S = 30.0


class Coordination:
    """
    Follows the store, by itself or through a watcher, and tells peers what it knows.

    ``on_peers`` is called after each change of the peers' records, and ``is_stopping``
    says whether this gateway stops.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        record: PeerRecord,
        client: StoreClient,
        connections: PeerConnections,
        routing_state: RoutingState,
        peers: PeerDirectory,
        origins: StreamOriginTracker,
        on_peers: Callable[[], None],
        supervisor: Supervisor,
        is_stopping: Callable[[], bool],
        random: Random,
        faults: RecordFaults,
        clock: Callable[[], float] = state_clock,
    ) -> None:
        self._faults = faults
        self._settings = settings
        self.freshness = StateFreshness(self._held_version, clock)
        self._peers = peers
        self._origins = origins
        self._supervisor = supervisor
        self._is_stopping = is_stopping
        self._neighbours: tuple[str, ...] = ()
        self._selection = WatcherSelection(
            settings.name, settings.data_centre, settings.regions
        )

        self._guard = ListenerGuard(faults, supervisor.spawn_call)
        self.configuration = ConfigurationTracker(
            self._with_push(routing_state), faults
        )
        self._records = EndpointRecordTracker(
            routing_state.directory,
            settings.regions,
            lambda: self._endpoints_changed(routing_state),
            faults,
            # Each one, as a version may come and go within a batch of changes.
            lambda endpoint: self.versions.note_endpoint(endpoint),
        )
        self._evacuations = EvacuationTracker(
            settings.regions, routing_state.evacuations_changed
        )
        self.versions = VersionRecorder(
            settings.name,
            client,
            lambda: _streaming_pools(routing_state.table),
            lambda: routing_state.directory.endpoints,
            lambda: self.store.is_connected,
            lambda item: self._replica.note_written(item),
            faults,
        )
        self._origin_recorder = OriginRecorder(
            settings.name,
            settings.data_centre,
            client,
            origins.entries,
            origins.records_read,
            lambda: self.versions.has_several,
            lambda: self.store.is_connected,
            faults,
        )
        peer_records = PeerRecordTracker(settings.name, peers, on_peers, faults)
        self._replica = self._new_replica(peer_records)
        self.documents = HeldDocuments(
            self.configuration,
            self._replica,
            lambda: self._records.settling_s,
        )
        self._records_lag = RecordsLag(lambda: self._replica.revision, clock)
        self._lag_reporter = LagReporter(
            {
                StateKind.CONFIGURATION.value: lambda: self.configuration.behind_s,
                StateKind.RECORDS.value: lambda: self.records_behind_s,
            },
            clock,
        )
        self._pusher = ChangePusher(
            connections,
            self._replica,
            lambda: self.documents.versions,
            supervisor.spawn_call,
        )
        registration = Registration(client, settings.name, record, random)
        self.store = self._new_store(
            client, connections, peer_records, registration, random
        )
        self._receiver = ChangeReceiver(
            connections,
            self._replica,
            DocumentFetcher(connections, self.documents, self.store),
            self.store,
            lambda: self._selection.followed,
            self._note_peer_versions,
            supervisor.spawn_call,
        )
        self._store_confirmation = StoreConfirmation(
            client, self._replica, supervisor.spawn_call
        )
        self._peer_confirmation = PeerConfirmation(
            connections,
            lambda: tuple(peers.alive),
            lambda: self.documents.versions,
            self._receiver.read_missing,
            supervisor.spawn_call,
        )
        self._gossip = VersionGossip(
            connections,
            self.documents,
            self._receiver.catch_up,
            self.store,
            self._peers_to_greet,
            random,
            self.freshness,
        )
        seeds = [seed for seed in settings.seeds if seed != record.address]
        self._greeter = ReturnGreeter(
            settings.name,
            settings.data_centre,
            connections,
            peers,
            seeds,
            lambda: self.documents.versions,
            lambda: self.store.is_connected,
            random,
        )
        self._seed_reader = SeedReader(
            connections, seeds, lambda: self.documents.versions, self._catch_up, random
        )

    @property
    def is_configuration_confirmed(self) -> bool:
        """
        Whether nothing says that the configuration in force may be out of date.

        While the store answers nobody, peers that hold no newer one are enough. A newer
        version that was heard of and never comes counts for a while only.
        """
        # What is held is not in force yet while a listener has failed to apply it.
        if self.needs_listing or 0.0 < self.configuration.behind_s <= AWAITED_S:
            return False
        freshness = self.freshness
        return (
            freshness.is_trusted(StateKind.CONFIGURATION, MAX_AGE_S)
            or freshness.peers_agree
        )

    @property
    def records_behind_s(self) -> float:
        """Seconds since a peer is known to hold records that are missing, or 0."""
        return self._records_lag.behind_s

    @property
    def follower_count(self) -> int:
        """Number of gateways that follow this one."""
        return self._pusher.follower_count

    @property
    def needs_listing(self) -> bool:
        """Whether a listener failed and lacks changes of the store."""
        return self._guard.needs_listing

    @property
    def changes_refused(self) -> int:
        """Number of batches of a watcher's changes that could not be applied."""
        return self._receiver.refused

    def start(self) -> None:
        """Start the background tasks."""
        self.store.start()
        # None of these is vital: what they learn or write only matters beside the
        # store, and a gateway whose callers are served is not taken out of service.
        run = self._supervisor.run
        run("state_lag", self._lag_reporter.run)
        run("version_gossip", self._gossip.run)
        run("return_greeter", self._greeter.run)
        run("seed_reader", self._seed_reader.run, may_end=True)
        run("version_recorder", self.versions.run, self.versions.observe_anew)
        origins = self._origin_recorder
        run("origin_recorder", origins.run, origins.write_anew)

    def entries_changed(self) -> None:
        """Elect watchers and neighbours among the entries that are alive now."""
        data_centres = {
            name: record.data_centre for name, record in self._peers.alive.items()
        }
        self._selection.replace_entries(data_centres)
        self._neighbours = ring_neighbours(
            self._settings.name, self._settings.data_centre, data_centres
        )
        self._origins.entries_changed(data_centres)
        self._origin_recorder.entries_changed(data_centres)
        self.versions.entries_changed(data_centres)
        self.store.entries_changed()

    async def confirm_records(self) -> Evidence:
        """
        Bring the records up to date, and return who has said that they are.

        The store knows all that any gateway does. Where it does not answer, all peers
        are asked instead.
        """
        asked_at = self.freshness.now()
        is_confirmed = await self._store_confirmation.confirm(CONFIRMATION_S)
        # What a listener failed on is held, but not in force.
        if self.needs_listing:
            return Evidence.NONE
        if is_confirmed:
            self.freshness.confirm(StateKind.RECORDS, asked_at)
            return Evidence.STORE
        if await self._peer_confirmation.confirm(CONFIRMATION_S):
            return Evidence.PEERS
        return Evidence.NONE

    def exchange_status(
        self, name: str, versions: Versions, follows: bool
    ) -> GatewayStatus:
        """Return this gateway's status; read what the peer has in a newer version."""
        # Followers would take what is not in force here for the newest that there is.
        watches = self.store.can_be_followed and not self.needs_listing
        if follows and watches:
            self._pusher.note_follower(name, versions)
        self._receiver.catch_up(name, versions)
        told = self.freshness.add_ages(self.documents.versions)
        if self.needs_listing:
            told = told._replace(configuration_age_s=inf)
        return GatewayStatus(told, self._is_stopping(), watches)

    def read_changes(self, after: int) -> ChangeBatch | None:
        """Return changes after a revision of the store; ``None`` if not kept."""
        return self._replica.changes_after(after)

    def push_received(self, name: str, batch: ChangeBatch, versions: Versions) -> bool:
        """Apply changes of a watcher; return whether this gateway follows it."""
        return self._receiver.push_received(name, batch, versions)

    def _new_replica(self, peer_records: PeerRecordTracker) -> StoreReplica:
        # Evacuations first: endpoints are not used before it is known where they lie.
        listeners: dict[str, PrefixListener] = {
            EVACUATIONS_PREFIX: self._evacuations,
            CONFIGURATION_KEY: self.configuration,
            SERVERS_PREFIX: self._records,
            ENTRIES_PREFIX: peer_records,
            VERSIONS_PREFIX: self.versions,
            ORIGINS_PREFIX: self._origin_recorder,
        }
        dispatcher = PrefixDispatcher(
            listeners,
            self._guard,
            lambda: self._replica.items,
            {SERVERS_PREFIX: self._records.changes_applied},
        )
        return StoreReplica(dispatcher, lambda: self._pusher.wake())

    def _new_store(
        self,
        client: StoreClient,
        connections: PeerConnections,
        peer_records: PeerRecordTracker,
        registration: Registration,
        random: Random,
    ) -> StoreSync:
        follower = StoreFollower(
            connections,
            self._selection,
            lambda: self.documents.versions,
            self._catch_up,
            lambda: watcher.note_reachable(),
            self.freshness,
            self._supervisor.spawn_call,
            random,
        )
        watcher = PrefixWatcher(
            client,
            ALL_KEYS,
            self._replica,
            self._records,
            follower,
            random,
            self.freshness,
        )
        return StoreSync(
            client,
            watcher,
            follower,
            self.configuration,
            self._records,
            peer_records,
            registration,
            self._supervisor,
            self.freshness,
        )

    def _held_version(self, kind: StateKind) -> int:
        if kind is StateKind.CONFIGURATION:
            return self.configuration.version
        return self._replica.revision

    def _note_peer_versions(self, peer: str, versions: Versions) -> None:
        self.documents.note_peer_versions(peer, versions)
        self._records_lag.note_version(versions.records)

    def _endpoints_changed(self, routing_state: RoutingState) -> None:
        # Each batch, as a version may come and go between two checks of the recorder.
        self.versions.endpoints_changed()
        routing_state.endpoints_changed()

    def _catch_up(self, peer: str, versions: Versions) -> None:
        self._receiver.catch_up(peer, versions)

    def _peers_to_greet(self) -> list[str]:
        # While the store answers, the watchers pass its changes on, and a few
        # neighbours are enough to find out what one of them has missed.
        if self.store.is_connected and self._neighbours:
            return list(self._neighbours)
        return list(self._peers.alive)

    def _with_push(self, routing_state: RoutingState) -> Callable[[RouteTable], None]:
        def apply(table: RouteTable) -> None:
            def put_in_force() -> None:
                routing_state.apply_table(table)

            self._guard.apply_all(ROUTES, table.version, put_in_force, put_in_force)
            self._pusher.wake()

        return apply


def _streaming_pools(table: RouteTable | None) -> frozenset[str]:
    """Return the pools whose endpoints send streams."""
    routes = table.routes if table else ()
    return frozenset(
        target.pool
        for route in routes
        if route.kind is CallKind.STREAMING
        for target in route.targets
    )
