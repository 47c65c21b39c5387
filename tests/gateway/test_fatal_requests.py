"""One request on which each endpoint ends, sent again to any of several gateways."""

import asyncio
from contextlib import AsyncExitStack

import aiohttp

from amaranthtally.adapter import headers as names
from tests.gateway.fatal_pool import FatalPool
from tests.gateway.support import STREAM, route, run_with_cluster

SHARED = "c0de"
OWN = "bad1"
ENDPOINTS = 6
GATEWAYS = 3
FATAL_BODY = b"the request that ends them"
# The request is kept away this long after the third end, in seconds.
BINDING_S = 4.0
PLAYED_S = 9.0
# How long its caller waits before it sends the request again, in seconds.
PAUSE_S = 0.4
MIN_SERVED_SHARE = 0.9


def prompt_of(own):
    return {names.PROMPT_PARTS: f"{SHARED}:100,a1:20,{own}:10"}


async def send_stream(gateway, body, headers):
    """Send a request; return whether it got a whole stream."""
    try:
        async with gateway.session.post(
            gateway.url + "/chat/", data=body, headers=gateway.headers(**headers)
        ) as response:
            await response.read()
            return response.status == 200
    except (aiohttp.ClientError, OSError):
        return False


async def send_again_and_again(gateways, body, headers, end):
    """Send one request under new ids until a time, each time to another gateway."""
    loop = asyncio.get_running_loop()
    tries = 0
    while loop.time() < end:
        await send_stream(gateways[tries % len(gateways)], body, headers)
        tries += 1
        await asyncio.sleep(PAUSE_S)


async def send_sound(gateway, first, has_prompt, end, outcomes):
    """Send requests that differ until a time; note when and whether each is served."""
    loop = asyncio.get_running_loop()
    serial = first

    async def send(serial):
        headers = prompt_of(f"{serial:x}") if has_prompt else {}
        started = loop.time()
        is_served = await send_stream(gateway, f"{serial}".encode(), headers)
        outcomes.append((started, is_served))

    async with asyncio.TaskGroup() as tasks:
        while loop.time() < end:
            serial += 1
            tasks.create_task(send(serial))
            await asyncio.sleep(0.1)


def check_kept_away(pool, outcomes):
    assert len(pool.ends) >= 3
    binding = pool.ends[2] + BINDING_S
    assert not [at for at in pool.fatal_arrivals if at > binding]
    served = [is_served for at, is_served in outcomes if at > pool.ends[2] + 1.0]
    assert len(served) >= 20
    assert sum(served) >= MIN_SERVED_SHARE * len(served)


def test_a_request_that_ends_endpoints_is_kept_away_under_new_ids_too(tmp_path):
    """Guards against one caller that sends what ends endpoints again and again."""

    async def play(cluster, has_prompt):
        async with AsyncExitStack() as stack:
            pool = FatalPool(cluster, stack, lambda r: r.body == FATAL_BODY)
            for _ in range(ENDPOINTS):
                await pool.start()
            cluster.configure(1, route("chat", **STREAM, type="streaming"))
            gateways = [await cluster.gateway(f"g{n}") for n in range(GATEWAYS)]
            end = asyncio.get_running_loop().time() + PLAYED_S
            outcomes = []
            headers = prompt_of(OWN) if has_prompt else {}
            await asyncio.gather(
                send_again_and_again(gateways, FATAL_BODY, headers, end),
                *(
                    send_sound(g, 1000 * n, has_prompt, end, outcomes)
                    for n, g in enumerate(gateways)
                ),
            )
            check_kept_away(pool, outcomes)

    for has_prompt in (True, False):
        run_with_cluster(tmp_path, lambda cluster, h=has_prompt: play(cluster, h))
