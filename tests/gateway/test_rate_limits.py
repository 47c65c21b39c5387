"""Endpoints that name a rate limit, behind several gateways."""

import asyncio

from amaranthtally.adapter import headers as names
from tests.gateway.fake_endpoint import complete_response
from tests.gateway.support import respond_with, route, run_with_cluster

LIMIT = 1.0
# Within which time all gateways keep to a limit after it was first named, in seconds.
BINDING_S = 1.0
WINDOW_S = 4.0
GATEWAYS = 3
# Pause between requests at each gateway, in seconds.
PAUSE_S = 0.08


def limited_script(times, limit=lambda: LIMIT):
    """Return the script of an endpoint that notes arrivals and names a limit."""

    def script(request):
        times.append(asyncio.get_running_loop().time())
        named = limit()
        header = names.RATE_LIMIT.replace("-", "_")
        extra = {} if named is None else {header: named}
        return [complete_response(request, b"ok", **extra)]

    return script


async def call_until(gateway, end, statuses):
    loop = asyncio.get_running_loop()
    while loop.time() < end:
        status, _, _ = await gateway.call("/job/")
        statuses.append(status)
        await asyncio.sleep(PAUSE_S)


def test_all_gateways_together_keep_to_the_limit_of_an_endpoint(tmp_path):
    """Guards against gateways that send an endpoint in need far more than it takes."""

    async def check(cluster):
        times, statuses = [], []
        await cluster.endpoint("limited", "job", limited_script(times))
        await cluster.endpoint("other", "job", respond_with(b"ok"))
        cluster.configure(1, route("job"))
        gateways = [await cluster.gateway(f"g{n}") for n in range(GATEWAYS)]
        loop = asyncio.get_running_loop()
        end = loop.time() + BINDING_S + 2 * WINDOW_S
        calls = [call_until(gateway, end, statuses) for gateway in gateways]
        await asyncio.gather(*calls)
        bound = [at for at in times if at >= times[0] + BINDING_S]
        for first in bound:
            window = [at for at in bound if first <= at < first + WINDOW_S]
            assert len(window) <= LIMIT * WINDOW_S + 1.0 + 0.1 * LIMIT * WINDOW_S
        assert len(bound) >= LIMIT * WINDOW_S / 2
        assert set(statuses) == {200}

    run_with_cluster(tmp_path, check)


def test_an_endpoint_that_names_no_limit_any_more_gets_its_share_again(tmp_path):
    """Guards against an endpoint that is spared long after it has recovered."""

    async def check(cluster):
        times, statuses, named = [], [], [LIMIT]
        script = limited_script(times, lambda: named[0])
        await cluster.endpoint("limited", "job", script)
        await cluster.endpoint("other", "job", respond_with(b"ok"))
        cluster.configure(1, route("job"))
        gateways = [await cluster.gateway(f"g{n}") for n in range(GATEWAYS)]
        loop = asyncio.get_running_loop()
        calls = [
            call_until(gateway, loop.time() + WINDOW_S, statuses)
            for gateway in gateways
        ]
        await asyncio.gather(*calls)
        before = len(times)
        named[0] = None
        calls = [
            call_until(gateway, loop.time() + 2 * WINDOW_S, statuses)
            for gateway in gateways
        ]
        await asyncio.gather(*calls)
        assert len(times) - before >= len(statuses) / 8
        assert set(statuses) == {200}

    run_with_cluster(tmp_path, check)
