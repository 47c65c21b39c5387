"""Prompts with a part on which each endpoint ends, behind several gateways."""

import asyncio
from contextlib import AsyncExitStack, suppress

from amaranthtally.adapter import headers as names
from tests.gateway.fake_endpoint import (
    STREAM_END,
    Close,
    FakeEndpoint,
    http_chunk,
    sse_events,
    stream_response_head,
)
from tests.gateway.support import STREAM, route, run_with_cluster

FATAL = "bad1"
SHARED = "c0de"
ENDPOINTS = 6
GATEWAYS = 3
# How long an endpoint is down after its end, and how much later its record goes.
DOWN_S = 0.6
RECORD_LAG_S = 0.3
# From when on the fatal part is kept away after the fifth end, or the last if there are
# fewer, in seconds.
BINDING_S = 4.0
# Most requests with the part that reach endpoints later than that.
ALLOWED = 3


class FatalPool:
    """Endpoints that end as soon as they begin to answer the fatal part."""

    def __init__(self, cluster, stack):
        self.cluster = cluster
        self.stack = stack
        self.serial = 0
        self.ends = []
        self.fatal_arrivals = []
        self.running = {}

    async def start(self):
        self.serial += 1
        name = f"i-{self.serial}"
        endpoint = FakeEndpoint(name, lambda request: self.script(name, request))
        server = await asyncio.start_server(self.serve(name, endpoint), "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        endpoint.address = f"{host}:{port}"
        self.running[name] = (server, set())
        self.stack.callback(server.close)
        self.cluster.store.put(f"servers/{name}", endpoint.record("chat"))

    def serve(self, name, endpoint):
        async def serve(reader, writer):
            if name in self.running:
                self.running[name][1].add(writer)
            with suppress(ConnectionError, asyncio.IncompleteReadError):
                await endpoint.serve(reader, writer)

        return serve

    def script(self, name, request):
        parts = request.headers[names.PROMPT_PARTS.lower()].split(",")
        ids = [part.split(":")[0] for part in parts]
        if FATAL not in ids[:-1]:
            events = http_chunk(sse_events(1)), 0.05, http_chunk(sse_events(2))
            return [stream_response_head(request), *events, STREAM_END]
        self.fatal_arrivals.append(asyncio.get_running_loop().time())
        end = asyncio.create_task(self.end(name))
        self.stack.callback(end.cancel)
        return [stream_response_head(request), 0.05, Close]

    async def end(self, name):
        await asyncio.sleep(0.02)
        if name not in self.running:
            return
        self.ends.append(asyncio.get_running_loop().time())
        server, writers = self.running.pop(name)
        server.close()
        for writer in writers:
            writer.transport.abort()
        await asyncio.sleep(RECORD_LAG_S)
        self.cluster.store.remove(f"servers/{name}")
        await asyncio.sleep(DOWN_S - RECORD_LAG_S)
        await self.start()


def prompt(serial, fatal=False):
    middle = FATAL if fatal else f"a{serial % 4}"
    return f"{SHARED}:100,{middle}:20,{serial:x}:10"


def test_a_restarted_gateway_keeps_the_part_away_at_once(tmp_path):
    """Guards against endpoints that end each time that a gateway is killed."""

    async def check(cluster):
        async with AsyncExitStack() as stack:
            pool = FatalPool(cluster, stack)
            for _ in range(ENDPOINTS):
                await pool.start()
            cluster.configure(1, route("chat", **STREAM, type="streaming"))
            address = cluster.reserve_address()
            first = await cluster.gateway("g0")
            second = await cluster.gateway("g1", peer_address=address)
            await first.wait_for_event("peer_connected", peer="g1")
            loop = asyncio.get_running_loop()
            await send_all(first, 0.3, loop.time() + 4.0, 0, True, [])
            await second.wait_for_event("prompt_part_blocked")
            await second.process.kill()
            before = len(pool.fatal_arrivals)
            second = await cluster.gateway("g1", peer_address=address)
            await second.wait_for_event("notices_read", peer="g0")
            await send_all(second, 0.05, loop.time() + 1.0, 5000, True, [])
            assert len(pool.fatal_arrivals) == before

    run_with_cluster(tmp_path, check)


async def send_all(gateway, pause_s, end, first, fatal, outcomes):
    """Send streams until a time; note which were complete at the first attempt."""
    loop = asyncio.get_running_loop()
    serial = first
    calls = []

    async def send(serial):
        headers = {names.PROMPT_PARTS: prompt(serial, fatal)}
        started = loop.time()
        try:
            status, _, whole = await gateway.stream("/chat/", **headers)
        except OSError:
            status, whole = 0, False
        outcomes.append((started, status == 200 and whole))

    while loop.time() < end:
        serial += 1
        calls.append(asyncio.create_task(send(serial)))
        await asyncio.sleep(pause_s)
    await asyncio.gather(*calls)


def test_a_part_on_which_endpoints_end_is_kept_away_from_the_others(tmp_path):
    """Guards against one kind of request that ends all endpoints, one by one."""

    async def check(cluster):
        async with AsyncExitStack() as stack:
            pool = FatalPool(cluster, stack)
            for _ in range(ENDPOINTS):
                await pool.start()
            cluster.configure(1, route("chat", **STREAM, type="streaming"))
            gateways = [await cluster.gateway(f"g{n}") for n in range(GATEWAYS)]
            loop = asyncio.get_running_loop()
            end = loop.time() + 12.0
            sound, fatal = [], []
            await asyncio.gather(
                *(
                    send_all(g, pause_s, end, 1000 * n, is_fatal, outcomes)
                    for n, g in enumerate(gateways)
                    for pause_s, is_fatal, outcomes in (
                        (0.1, False, sound),
                        (0.5, True, fatal),
                    )
                )
            )
            assert pool.ends
            binding = pool.ends[:5][-1] + BINDING_S
            later = [at for at in pool.fatal_arrivals if at > binding]
            assert len(later) <= ALLOWED
            assert len(pool.ends) <= 5 + 2 * ENDPOINTS
            served = [is_served for at, is_served in sound if at > binding]
            assert len(served) >= 20
            assert sum(served) >= 0.9 * len(served)

    run_with_cluster(tmp_path, check)
