"""Gateways that report the work of accounts to each other under overload."""

import asyncio

from tests.gateway.fake_endpoint import piece_script, sse_events
from tests.gateway.support import (
    SEGMENTS,
    STREAM,
    piece_headers,
    respond_with,
    route,
    run_with_cluster,
)
from tests.gateway.test_configuration import unused_port

# One piece a call of 0.4 s: a few tens of requests at once are too many for 4 s.
CALL_S = 0.4
SLOW = {**SEGMENTS, "batch": 1, "callMs": 1000 * CALL_S}
REQUESTS = 60
# Pause between requests, in seconds: a gateway that is late closes new connections.
PAUSE_S = 0.02


def slow_script():
    """Return a script that completes every piece, after the time of a call."""
    script = piece_script()
    return lambda request: [
        CALL_S if isinstance(part, float) else part for part in script(request)
    ]


async def metrics_of(gateway, port):
    async with gateway.session.get(f"http://127.0.0.1:{port}/metrics") as response:
        return await response.text()


async def has_heard(gateway, port):
    wanted = (
        'usage_reports_total{outcome="received"}',
        'gateway_state{name="fair_share_senders"} 1',
    )
    text = await metrics_of(gateway, port)
    return all(line in text for line in wanted)


def test_overload_at_one_gateway_is_known_at_the_other(tmp_path):
    """Guards against accounts that get a share at each gateway they connect to."""

    async def check(cluster):
        await cluster.endpoint("first", "first", slow_script())
        await cluster.endpoint("engine", "engine", respond_with(sse_events(1)))
        stages = [{"service": "first", "after": [], "sizeBytes": 1000}]
        cluster.configure(
            1,
            route("ask", phases=stages, service="engine", **STREAM),
            services=[{"name": "first", "segments": SLOW}],
        )
        ports = [unused_port(), unused_port()]
        gateways = [
            await cluster.gateway(
                f"g{n}", fair_shares=True, metrics_address=f"127.0.0.1:{port}"
            )
            for n, port in enumerate(ports)
        ]
        calls = []
        for _ in range(REQUESTS):
            call = gateways[0].call("/ask/", **piece_headers("1"))
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(PAUSE_S)
        async with asyncio.timeout(10.0):
            line = await gateways[0].wait_for_event(
                "fair_shares_changed", resource="stages", is_short="true"
            )
            assert "level_s=" in line
            while not await has_heard(gateways[1], ports[1]):
                await asyncio.sleep(0.05)
        statuses = {status for status, _, _ in await asyncio.gather(*calls)}
        assert statuses == {200, 503}

    run_with_cluster(tmp_path, check)
