"""
A fleet of gateways and their store in one process, without network, on virtual time.

The gateways run the product's own coordination. Their calls to the store and to each
other take the usual time, and fail as the tests say.
"""

import asyncio
from contextlib import contextmanager
from random import Random
from types import SimpleNamespace

from amaranthtally.daemon.gateway.coordination import Coordination
from amaranthtally.daemon.gateway.peer_updater import PeerUpdater
from amaranthtally.daemon.gateway.record_faults import RecordFaults
from amaranthtally.daemon.gateway.routing_state import RoutingState
from amaranthtally.daemon.gateway.stream_origin_tracker import StreamOriginTracker
from amaranthtally.daemon.supervision import Supervisor
from amaranthtally.policy import PeerDirectory, PeerRecord
from amaranthtally.settings import GatewaySettings
from amaranthtally.wire import PeerLostError
from amaranthtally.wire.gateway_codec import Greeter
from tests.gateway.support import configuration, route
from tests.load.store_model import StoreModel, StoreModelClient
from tests.support.virtual_time import run_on_virtual_time

REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
DATA_CENTRES = tuple(REGIONS)
SEEDS = ["10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1"]
NEAR_S = 0.001
FAR_S = 0.024
PEER_TIMEOUT_S = 0.8
# Time after which a new fleet has elected its watchers and holds its state, in seconds.
SETTLED_S = 12.0


def address_of(name):
    number = int(name.rpartition("-")[2])
    return f"10.0.{number // 256}.{number % 256}:1"


NAMES_OF_SEEDS = {address_of(f"entry-{n}"): f"entry-{n}" for n in range(len(SEEDS))}


class FleetConnections:
    """The connections of one gateway to the others of its fleet."""

    def __init__(self, fleet, name):
        self._fleet = fleet
        self._name = name
        self._greeter = Greeter(PeerRecord("", ""))
        self._addresses = {}
        self.called = set()
        self.copy_calls = 0
        self.questions = 0

    is_answered = True

    def set_own_record(self, record):
        self._greeter = Greeter(record)

    def note_leaving(self):
        self._greeter = Greeter(self._greeter.record, is_leaving=True)

    def set_addresses(self, addresses):
        self._addresses = dict(addresses)

    async def exchange_status(self, peer, versions, follows=False):
        member = await self._reach(peer)
        return member.exchange_status(self._name, self._greeter, versions, follows)

    async def read_part(self, peer, request):
        return (await self._reach(peer)).coordination.documents.read_part(request)

    async def read_changes(self, peer, after):
        return (await self._reach(peer)).coordination.read_changes(after)

    async def push_changes(self, peer, batch, versions):
        if self._name in self._fleet.push_losers:
            raise PeerLostError(peer, "lost")
        member = await self._reach(peer)
        return member.coordination.push_received(self._name, batch, versions)

    async def copy_origins(self, peer, entries):
        member = await self._reach(peer)
        self.copy_calls += 1
        member.origins.copies_received(entries)

    async def find_origin(self, peer, request_id):
        self.questions += 1
        return (await self._reach(peer)).origins.find_held(request_id)

    async def _reach(self, peer):
        peer = NAMES_OF_SEEDS.get(peer, peer)
        self.called.add(peer)
        if peer not in self._addresses and address_of(peer) not in SEEDS:
            raise PeerLostError(peer, "no address is known")
        member = self._fleet.members.get(peer)
        if member is None:
            await asyncio.sleep(NEAR_S)
            raise PeerLostError(peer, "refused")
        if self._fleet.is_parted(self._name, peer):
            await asyncio.sleep(PEER_TIMEOUT_S)
            raise PeerLostError(peer, "no reply before the time-out")
        near = REGIONS[member.data_centre] == REGIONS[self._greeter.record.data_centre]
        await asyncio.sleep(NEAR_S if near else FAR_S)
        return member


class Member:
    """A running gateway of the fleet."""

    def __init__(self, fleet, name, data_centre):
        self.name = name
        self.data_centre = data_centre
        self.connections = FleetConnections(fleet, name)
        self.peers = PeerDirectory()
        self._supervisor = Supervisor(Random(name))
        settings = GatewaySettings(
            name=name,
            host="host",
            region=REGIONS[data_centre],
            data_centre=data_centre,
            caller_address="127.0.0.1:0",
            ready_address="127.0.0.1:0",
            peer_address="127.0.0.1:0",
            store_address="127.0.0.1:0",
            regions=REGIONS,
            seeds=SEEDS,
        )
        record = PeerRecord(address_of(name), data_centre)
        self.connections.set_own_record(record)
        self.routing_state = RoutingState(settings, lambda changed: None)
        self.is_leaving = False
        self.faults = RecordFaults()
        self._updater = PeerUpdater(
            self.peers,
            self.connections,
            SimpleNamespace(peers_changed=lambda peers: None),
            self.routing_state,
            lambda: self.coordination.entries_changed(),
        )
        self.origins = StreamOriginTracker(
            name, data_centre, self.connections, self._supervisor.spawn_call
        )
        self.coordination = Coordination(
            settings,
            record,
            StoreModelClient(fleet.store, name),
            self.connections,
            self.routing_state,
            self.peers,
            self.origins,
            self._updater.apply_live_peers,
            self._supervisor,
            lambda: self.is_leaving,
            Random(name),
            self.faults,
            asyncio.get_running_loop().time,
        )
        self.coordination.start()
        self._supervisor.run("peer_prober", self._updater.prober.run)

    @property
    def version(self):
        return self.coordination.configuration.version

    @property
    def endpoints(self):
        return set(self.routing_state.directory.endpoints)

    @property
    def is_watching(self):
        return self.coordination.store.is_watching

    def exchange_status(self, name, greeter, versions, follows):
        self._updater.greeting_received(name, greeter)
        return self.coordination.exchange_status(name, versions, follows)

    @property
    def is_complete(self):
        """Whether it can serve callers."""
        return self.routing_state.is_complete

    def leave(self):
        """Begin a planned stop, as the process does on its signal."""
        self.is_leaving = True
        self.connections.note_leaving()
        self.origins.leave()
        self._supervisor.spawn_call(self.coordination.store.deregister())

    def kill(self):
        for task in self._supervisor.running:
            task.cancel()


class Fleet:
    """Gateways by name, spread over the data centres, and their store."""

    def __init__(self, size):
        self.store = StoreModel()
        self.members = {}
        self.push_losers = set()
        self.parted = ()
        self._version = 0
        self._size = 0
        self._expiry = asyncio.create_task(self.store.expire_leases())
        self.configure()
        self.add(size)

    def add(self, count):
        """Start further gateways, all at once."""
        for _ in range(count):
            name = f"entry-{self._size}"
            self._size += 1
            self.start(name)

    def start(self, name):
        number = int(name.rpartition("-")[2])
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.members[name] = Member(self, name, data_centre)

    def kill(self, name):
        self.members.pop(name).kill()

    def freeze(self, name):
        """Let a gateway hear nothing, neither from the store nor from its peers."""
        self.store.cut.add(name)
        self.parted = ({name},)

    @property
    def version(self):
        return self._version

    def is_parted(self, one, other):
        return any((one in group) != (other in group) for group in self.parted)

    def watchers(self):
        return [name for name, member in self.members.items() if member.is_watching]

    def configure(self):
        """Write the next version of the configuration, and an endpoint with it."""
        self._version += 1
        self.store.put("op/config", configuration(self._version, route("job")))
        self.store.put(f"servers/{self._version}", endpoint_record(self._version))
        self.store.remove(f"servers/{self._version - 1}")

    def late(self, names=None):
        """Return the gateways without the newest configuration and endpoints."""
        expected = {str(self._version)}
        return [
            name
            for name, member in self.members.items()
            if (names is None or name in names)
            and (member.version != self._version or member.endpoints != expected)
        ]

    async def time_until_known(self, limit_s, names=None):
        """Return the time until every gateway knows the newest state, in seconds."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        while self.late(names):
            assert loop.time() - started < limit_s, self.late(names)
            await asyncio.sleep(0.01)
        return loop.time() - started

    def close(self):
        self._expiry.cancel()
        for member in self.members.values():
            member.kill()


@contextmanager
def open_fleet(size):
    fleet = Fleet(size)
    try:
        yield fleet
    finally:
        fleet.close()


def run_with_fleet(size, check):
    """Await `check` with a fleet of `size` gateways that all hold the newest state."""

    async def run():
        with open_fleet(size) as fleet:
            await asyncio.sleep(SETTLED_S)
            assert not fleet.late()
            await check(fleet)

    run_on_virtual_time(run())


def endpoint_record(number):
    return {
        "service": "job",
        "address": f"10.0.0.1:{number}",
        "zone": "a1",
        "slots": 4,
        "state": "ready",
        "born": 1,
    }
