"""What operators see of endpoints that do not answer, and of routes not known."""

import asyncio

from tests.gateway.support import respond_with, route, run_with_cluster

PAUSE_S = 0.2
# Time in which an endpoint that is tried on must have been reported, in seconds.
REPORTED_S = 20.0


def test_an_endpoint_that_stays_unreachable_is_reported(tmp_path):
    """Guards against a minute of refused connections that shows nowhere."""

    async def test(cluster):
        address = cluster.reserve_address()
        record = {"service": "job", "address": address, "zone": "cluj-a", "slots": 2}
        cluster.store.put("servers/gone", record | {"state": "ready"})
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()

        async def call_on():
            while True:
                assert (await gateway.call("/job/"))[0] != 200
                await asyncio.sleep(PAUSE_S)

        calling = asyncio.create_task(call_on())
        event = "endpoint_unreachable_for"
        async with asyncio.timeout(REPORTED_S):
            line = await gateway.wait_for_event(event, endpoint="gone", pool="job")
        calling.cancel()
        assert "level=warning" in line
        assert f"address={address}" in line
        assert " records_age_s=" in line
        assert f"revision={cluster.store.items['servers/gone'].revision}" in line

    run_with_cluster(tmp_path, test)


def test_a_rejection_names_host_and_path_without_the_query(tmp_path):
    """Guards against rejections whose route can't be told, and against logged keys."""

    async def test(cluster):
        await cluster.endpoint("one", "job", respond_with(b"one"))
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        long = "/" + "x" * 500
        assert (await gateway.call("/new/?key=hidden"))[0] == 404
        assert (await gateway.call(long))[0] == 404
        await gateway.wait_for_event(
            "request_rejected", host="api.example", path="/new/", status="404"
        )
        assert not any(
            "hidden" in line or long in line for line in gateway.process.lines
        )

    run_with_cluster(tmp_path, test)
