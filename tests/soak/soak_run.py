"""
The deployment of a soak run on loopback: a store, gateways and endpoints.

Each gateway is connected to the store by a relay of its own. One relay has a limited
rate, so that a large configuration takes seconds.
"""

import asyncio
import signal
import time
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager
from dataclasses import dataclass
from math import inf

from amaranthtally.standins.relay import RateLimitedLink, Relay
from tests.gateway.support import SEGMENTS, STREAM, open_gateway_cluster, route
from tests.soak.endpoints import EndpointScript, RunRecords

DEFAULT_GATEWAYS = 3
# Number of gateways that the others ask at their start if the store does not answer.
SEEDS = 3
DATA_CENTRES = ("cluj-a", "iasi-a")
STAGES = [
    {"service": "first", "after": [], "sizeBytes": 1000},
    {"service": "second", "after": [0], "sizeBytes": 1000},
]
SERVICES = [{"name": name, "segments": SEGMENTS} for name in ("first", "second")]
ROUTES = (
    route("order", "non_idempotent", timeoutMs=3000),
    route("read", timeoutMs=3000),
    route("ask", phases=STAGES, service="engine", resumable=True, **STREAM),
)
ENDPOINTS = {
    "order": ("work", 2),
    "read": ("work", 2),
    "first": ("pieces", 2),
    "second": ("pieces", 2),
    "engine": ("engine", 4),
}
# Versions of the endpoints of a pool, in order: each data centre has engines of both.
VERSIONS = ("v1", "v1", "v2", "v2")
# The gateway with a rate-limited link to the store, and the rate in bytes per second.
RATE_LIMITED_GATEWAY = "gateway-2"
LINK_BYTES_PER_S = 300_000.0
# Number of routes that a larger version adds, the largest number of such additions, and
# the size of the routes' names in bits. The names are random, so that they do not
# compress.
ADDITIONAL_ROUTES = 400
MAX_GROWTHS = 3
ROUTE_NAME_BITS = 512
# Grace time of a gateway for a planned stop, and its tolerance, in seconds.
GRACE_S = 6.0
GRACE_TOLERANCE_S = 1.0
# Number of last log lines of the process that a violation includes.
LOG_LINES = 40
# How long a gateway is not in touch after a disturbance of it has ended, in seconds.
RETURN_S = 4.0


@dataclass
class _Disturbance:
    """A time in which one gateway, or each one without a name, is not in touch."""

    name: str
    begun: float
    ended: float = inf


class SoakRun:
    """
    The processes and endpoints of a soak run, and the violations of its guarantees.

    ``faulted`` holds the names of the gateways that have a process fault.
    """

    def __init__(self, cluster, stack, gateways, has_checked_changes=False):
        self.cluster = cluster
        self.names = tuple(f"gateway-{number}" for number in range(gateways))
        self.store = cluster.store
        self.records = RunRecords()
        self.scripts = {}
        self.endpoints = {}
        self.relays = {}
        self.gateways = {}
        self.faulted = set()
        # When the last process fault of each gateway ended.
        self.last_fault_at = {}
        # When the last fault of the store, or of a gateway's link to it, ended.
        self.store_fault_at = 0.0
        # The gateway to which each request was sent, by its id.
        self.sent_to = {}
        self.violations = []
        # Relays that only silences use, before those of other faults, by gateway.
        self.silent_links = {}
        self.silenced = set()
        # Keys of the entries that cannot be used.
        self.odd_keys = []
        # Calls to added routes at gateways in touch, and seconds after endpoints left
        # in which these were in touch.
        self.checked = {"routes": 0, "seconds without an endpoint": 0}
        self.has_checked_changes = has_checked_changes
        self._disturbances = []
        self._stack = stack
        self._addresses = {}
        self._version = 0
        self._additional_routes = []
        self._services = SERVICES

    async def start(self):
        for pool, (kind, count) in ENDPOINTS.items():
            for number in range(count):
                await self._start_endpoint(f"{pool}-{number}", pool, kind, number)
        self.configure()
        for name in self.names:
            link = (
                RateLimitedLink(LINK_BYTES_PER_S)
                if name == RATE_LIMITED_GATEWAY
                else None
            )
            relay = Relay(self.store.address, link)
            await self._stack.enter_async_context(relay.serve())
            self.relays[name] = relay
            if self.has_checked_changes:
                self.silent_links[name] = Relay(relay.address)
                await self._stack.enter_async_context(self.silent_links[name].serve())
            self._addresses[name] = [self.cluster.reserve_address() for _ in range(3)]
        await asyncio.gather(*(self.start_gateway(name) for name in self.names))
        for gateway in self.gateways.values():
            await gateway.wait_until_ready()

    async def _start_endpoint(self, name, pool, kind, number):
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        version = VERSIONS[number]
        script = self.scripts[name] = EndpointScript(self.records, kind, version)
        endpoint = await self.cluster.endpoint(
            name, pool, script, data_centre=data_centre, version=version
        )
        self.endpoints[name] = (endpoint, pool, data_centre, version)

    def register(self, name, **record):
        endpoint, pool, data_centre, version = self.endpoints[name]
        self.store.put(
            f"servers/{name}",
            endpoint.record(pool, data_centre, version=version, **record),
        )

    def configure(self):
        """Write a new version of the configuration; return its number."""
        self._version += 1
        routes = (*ROUTES, *self._additional_routes)
        self.cluster.configure(self._version, *routes, services=self._services)
        return self._version

    def configure_places(self, routes, services):
        """Write a version with these routes and services beside the others."""
        self._additional_routes += routes
        self._services = [*SERVICES, *services]
        return self.configure()

    def add_route(self, added):
        """Write a version with one more route; return its number."""
        self._additional_routes.append(added)
        return self.configure()

    @contextmanager
    def disturbed(self, name=""):
        """Count a gateway as not in touch within this context, or all of them."""
        disturbance = _Disturbance(name, time.monotonic())
        self._disturbances.append(disturbance)
        try:
            yield
        finally:
            disturbance.ended = time.monotonic()

    def is_in_touch(self, name, at):
        """Whether a gateway was undisturbed at a time and ``RETURN_S`` before it."""
        return not any(
            disturbance.name in ("", name)
            and disturbance.begun <= at < disturbance.ended + RETURN_S
            for disturbance in self._disturbances
        )

    def write_larger_version(self, random):
        """
        Write a version with ``ADDITIONAL_ROUTES`` more routes; return its number.

        The configuration grows at most ``MAX_GROWTHS`` times. It does not where changes
        are checked: a large one takes longer over the rate-limited link than a small
        change may.
        """
        if self.has_checked_changes:
            return self.configure()
        if len(self._additional_routes) < MAX_GROWTHS * ADDITIONAL_ROUTES:
            names = [
                f"{random.getrandbits(ROUTE_NAME_BITS):x}"
                for _ in range(ADDITIONAL_ROUTES)
            ]
            self._additional_routes += [route(name, service="read") for name in names]
        return self.configure()

    async def start_gateway(self, name):
        caller, ready, peer = self._addresses[name]
        self.gateways[name] = await self.cluster.start_gateway(
            name,
            DATA_CENTRES[self.names.index(name) % len(DATA_CENTRES)],
            self.silent_links.get(name, self.relays[name]).address,
            caller_address=caller,
            ready_address=ready,
            peer_address=peer,
            stop_grace=GRACE_S,
            seeds=[self._addresses[seed][2] for seed in self.names[:SEEDS]],
        )

    async def stop_gateway(self, name):
        """Stop a gateway; it must exit with code 0 within its grace time."""
        process = self.gateways[name].process
        process.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S + GRACE_TOLERANCE_S):
                code = await process.wait()
        except TimeoutError:
            process.send(signal.SIGABRT)
            await asyncio.sleep(1.0)
            last_lines = "\n    ".join(list(process.lines)[-LOG_LINES:])
            self.violations.append(
                f"{name} still runs after its grace time:\n    {last_lines}"
            )
            await process.kill()
            return
        if code != 0:
            self.violations.append(f"{name} exited with code {code} on a planned stop")


@asynccontextmanager
async def open_soak(
    folder, gateways=DEFAULT_GATEWAYS, has_checked_changes=False, module=""
):
    """Yield a soak run with every gateway ready; end its processes on exit."""
    async with open_gateway_cluster(folder) as cluster, AsyncExitStack() as stack:
        cluster.daemon_module = module or cluster.daemon_module
        run = SoakRun(cluster, stack, gateways, has_checked_changes)
        await run.start()
        yield run
