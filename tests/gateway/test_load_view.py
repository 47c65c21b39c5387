"""Gateways that share what they know of the loads of endpoints."""

import asyncio

from amaranthtally.adapter import headers as names
from tests.gateway.fake_endpoint import complete_response
from tests.gateway.support import route, run_with_cluster

GATEWAYS = 3
SHARED_S = 3.0


def reporting(load):
    """Return the script of an endpoint that reports this load."""
    extra = {names.LOAD.replace("-", "_"): load}
    return lambda request: [complete_response(request, b"ok", **extra)]


async def gauges(gateway, port):
    """Return a gateway's state by name."""
    async with gateway.session.get(f"http://127.0.0.1:{port}/metrics") as response:
        lines = (await response.text()).splitlines()
    prefix = 'amaranthtally_gateway_state{name="'
    state = {}
    for line in lines:
        if line.startswith(prefix):
            name, value = line.removeprefix(prefix).split('"} ')
            state[name] = float(value)
    return state


def run_with_reports(tmp_path, load, check_states):
    """Call all gateways before an endpoint that reports a load, and check them."""

    async def check(cluster):
        await cluster.endpoint("reporting", "job", reporting(load))
        cluster.configure(1, route("job"))
        ports = [cluster.reserve_address().rpartition(":")[2] for _ in range(GATEWAYS)]
        gateways = [
            await cluster.gateway(f"g{n}", metrics_address=f"127.0.0.1:{port}")
            for n, port in enumerate(ports)
        ]
        end = asyncio.get_running_loop().time() + SHARED_S
        while asyncio.get_running_loop().time() < end:
            for gateway in gateways:
                status, _, _ = await gateway.call("/job/")
                assert status == 200
            await asyncio.sleep(0.05)
        states = [
            await gauges(gateway, port)
            for gateway, port in zip(gateways, ports, strict=True)
        ]
        check_states(states)
        if states[0]["load_view_pools"]:
            await gateways[0].wait_for_event("load_view_on", pool="job")

    run_with_cluster(tmp_path, check)


def test_gateways_exchange_loads_once_an_endpoint_reports_a_slowness(tmp_path):
    """Guards against a view that works in the policy alone."""

    def check(states):
        assert all(state["load_view_pools"] == 1 for state in states)
        assert all(state["load_view_senders"] >= 1 for state in states)
        assert all(state["load_view_failures"] == 0 for state in states)
        assert sum(state["load_view_sent_bytes"] for state in states) > 0

    run_with_reports(tmp_path, "1,0,8,200", check)


def test_gateways_send_nothing_where_no_endpoint_reports_a_slowness(tmp_path):
    """Guards against traffic in deployments that do not need the view."""

    def check(states):
        for state in states:
            assert state["load_view_pools"] == state["load_view_messages"] == 0

    run_with_reports(tmp_path, "1,0,8", check)
