"""Gateways, a store behind a relay for each, and endpoints, on loopback.

One of the relays is a thin link: a configuration that has grown fills it for seconds.
"""

import asyncio
import signal
from contextlib import AsyncExitStack, asynccontextmanager

from amaranthtally.standins.relay import RateLimitedLink, Relay
from tests.gateway.support import SEGMENTS, STREAM, open_gateway_cluster, route
from tests.soak.endpoints import Records, Script

# Gateways where nothing else is asked for.
FEW = 3
PLACES = ("cluj-a", "iasi-a")
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
    "engine": ("engine", 2),
}
# The gateway with a thin link to the store, and that link's rate in bytes a second.
THIN = "gateway-2"
THIN_BYTES_PER_S = 300_000.0
# Routes that a version brings in when the configuration grows, how often it does, and
# the length of their names: what does not repeat.
MORE_ROUTES = 400
MOST_GROWTHS = 3
NAME_BITS = 512
# Settings of a gateway: its grace in seconds, and how long over it is a violation.
GRACE_S = 6.0
OVER_S = 1.0
# Lines of a process that a violation shows.
LOG_LINES = 40


class SoakWorld:
    """What faults break and callers use; ``violations`` is what did not hold."""

    def __init__(self, world, stack, gateways):
        self.world = world
        self.names = tuple(f"gateway-{number}" for number in range(gateways))
        self.store = world.store
        self.records = Records()
        self.scripts = {}
        self.endpoints = {}
        self.relays = {}
        self.gateways = {}
        self.disturbed = set()
        self.violations = []
        self._stack = stack
        self._addresses = {}
        self._version = 0
        self._more_routes = []

    async def start(self):
        for pool, (kind, count) in ENDPOINTS.items():
            for number in range(count):
                await self._endpoint(f"{pool}-{number}", pool, kind, PLACES[number])
        self.configure()
        for name in self.names:
            link = RateLimitedLink(THIN_BYTES_PER_S) if name == THIN else None
            relay = Relay(self.store.address, link)
            await self._stack.enter_async_context(relay.serve())
            self.relays[name] = relay
            self._addresses[name] = [self.world.reserve_address() for _ in range(3)]
        await asyncio.gather(*(self.start_gateway(name) for name in self.names))
        for gateway in self.gateways.values():
            await gateway.wait_until_ready()

    async def _endpoint(self, name, pool, kind, place):
        script = self.scripts[name] = Script(self.records, kind)
        found = await self.world.endpoint(name, pool, script, place=place)
        self.endpoints[name] = (found, pool, place)

    def register(self, name, **record):
        found, pool, place = self.endpoints[name]
        self.store.put(f"servers/{name}", found.record(pool, place, **record))

    def configure(self):
        """Write a new version; return its number."""
        self._version += 1
        routes = (*ROUTES, *self._more_routes)
        self.world.configure(self._version, *routes, services=SERVICES)
        return self._version

    def grow(self, random):
        """Write a version with many routes more; return its number."""
        if len(self._more_routes) < MOST_GROWTHS * MORE_ROUTES:
            names = [f"{random.getrandbits(NAME_BITS):x}" for _ in range(MORE_ROUTES)]
            self._more_routes += [route(name, service="read") for name in names]
        return self.configure()

    async def start_gateway(self, name):
        caller, ready, peer = self._addresses[name]
        self.gateways[name] = await self.world.start_gateway(
            name,
            PLACES[self.names.index(name) % len(PLACES)],
            self.relays[name].address,
            caller_address=caller,
            ready_address=ready,
            peer_address=peer,
            stop_grace=GRACE_S,
        )

    async def stop_gateway(self, name):
        """Stop one as planned; it must end by itself within its grace."""
        process = self.gateways[name].process
        process.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S + OVER_S):
                code = await process.wait()
        except TimeoutError:
            process.send(signal.SIGABRT)
            await asyncio.sleep(1.0)
            last = "\n    ".join(list(process.lines)[-LOG_LINES:])
            self.violations.append(f"{name} still runs after its grace:\n    {last}")
            await process.kill()
            return
        if code != 0:
            self.violations.append(f"{name} ended with {code} on a planned stop")


@asynccontextmanager
async def open_soak(folder, gateways=FEW):
    """Yield a world in which every gateway is ready; all of it ends with it."""
    async with open_gateway_cluster(folder) as world, AsyncExitStack() as stack:
        soak = SoakWorld(world, stack, gateways)
        await soak.start()
        yield soak
