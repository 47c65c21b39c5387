"""Cold endpoints in front of real gateways."""

import asyncio

from tests.gateway.support import call_until, respond_with, route, run_with_cluster

GATEWAYS = 3
RATE = 4.0
WINDOW_S = 1.0
# Requests that reach an endpoint in a window, from all gateways together.
ALLOWED = 1.5 * RATE * WINDOW_S + 5
# From when on the bound holds after a record says that an endpoint is cold, in seconds.
KNOWN_AFTER_S = 1.0
LOAD_S = 4.0
PAUSE_S = 0.02


def most_in_window(times):
    return max((sum(a <= t < a + WINDOW_S for t in times) for a in times), default=0)


def test_gateways_together_spare_a_cold_endpoint(tmp_path):
    """Guards against an endpoint that crashes under its first load after a return."""

    async def check(cluster):
        loop = asyncio.get_running_loop()
        arrivals = []

        def cold(request):
            arrivals.append(loop.time())
            return respond_with(b"")(request)

        endpoint = await cluster.endpoint("cold", "job", cold)
        await cluster.endpoint("warm", "job", respond_with(b""))
        services = [{"name": "job", "coldStartS": 3.0, "coldPerS": RATE}]
        cluster.configure(1, route("job"), services=services)
        gateways = [await cluster.gateway(f"g{n}") for n in range(GATEWAYS)]
        await call_until(gateways[0], loop.time() + 0.5, [], PAUSE_S)
        assert arrivals
        record = endpoint.record("job", coldLeftMs=30_000, sequence=2)
        cluster.store.put("servers/cold", record)
        for gateway in gateways:
            await gateway.wait_for_event("endpoint_changed", endpoint="cold")
        told_at = loop.time()
        statuses = []
        end = told_at + LOAD_S
        async with asyncio.TaskGroup() as tasks:
            for gateway in gateways:
                tasks.create_task(call_until(gateway, end, statuses, PAUSE_S))
        assert set(statuses) == {200}
        later = [at for at in arrivals if at >= told_at + KNOWN_AFTER_S]
        assert most_in_window(later) <= ALLOWED

    run_with_cluster(tmp_path, check)
