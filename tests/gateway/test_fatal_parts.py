"""Prompts with a part on which each endpoint ends, behind several gateways."""

import asyncio
from contextlib import AsyncExitStack

from amaranthtally.adapter import headers as names
from tests.gateway.fatal_pool import FatalPool
from tests.gateway.support import STREAM, route, run_with_cluster

FATAL = "bad1"
SHARED = "c0de"
ENDPOINTS = 6
GATEWAYS = 3
PLAYED_S = 12.0
# From when on the fatal part is kept away after the fifth end, or the last if there are
# fewer, in seconds.
BINDING_S = 4.0
# Most requests with the part that reach endpoints later than that.
ALLOWED = 3


def has_fatal_part(request):
    parts = request.headers[names.PROMPT_PARTS.lower()].split(",")
    return FATAL in [part.split(":")[0] for part in parts[:-1]]


def prompt(serial, fatal=False):
    middle = FATAL if fatal else f"a{serial % 4}"
    return f"{SHARED}:100,{middle}:20,{serial:x}:10"


def test_a_restarted_gateway_keeps_the_part_away_at_once(tmp_path):
    """Guards against endpoints that end each time that a gateway is killed."""

    async def check(cluster):
        async with AsyncExitStack() as stack:
            pool = FatalPool(cluster, stack, has_fatal_part)
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


async def play_fatal_part(gateways):
    """Send sound and fatal streams to all gateways; return when each was served."""
    end = asyncio.get_running_loop().time() + PLAYED_S
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
    return sound


def check_kept_away(pool, sound):
    """Check the users' bounds on a fatal part, and that sound streams are served."""
    assert pool.ends
    binding = pool.ends[:5][-1] + BINDING_S
    assert len([at for at in pool.fatal_arrivals if at > binding]) <= ALLOWED
    served = [is_served for at, is_served in sound if at > binding]
    assert len(served) >= 20
    assert sum(served) >= 0.9 * len(served)


def test_a_part_on_which_endpoints_end_is_kept_away_from_the_others(tmp_path):
    """Guards against one kind of request that ends all endpoints, one by one."""

    async def check(cluster):
        async with AsyncExitStack() as stack:
            pool = FatalPool(cluster, stack, has_fatal_part)
            for _ in range(ENDPOINTS):
                await pool.start()
            cluster.configure(1, route("chat", **STREAM, type="streaming"))
            gateways = [await cluster.gateway(f"g{n}") for n in range(GATEWAYS)]
            sound = await play_fatal_part(gateways)
            check_kept_away(pool, sound)
            assert len(pool.ends) <= 5 + 2 * ENDPOINTS

    run_with_cluster(tmp_path, check)
