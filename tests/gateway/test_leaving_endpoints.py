"""Endpoints that say in their responses that they leave, and not in their records."""

import asyncio

import pytest

from amaranthtally.adapter import headers as names
from tests.gateway.fake_endpoint import complete_response, piece_script, sse_events
from tests.gateway.support import (
    SEGMENTS,
    STREAM,
    respond_with,
    route,
    run_with_cluster,
)

LEAVING = {names.LEAVING.replace("-", "_"): "1"}
# Time after such a response from which nothing may reach the endpoint, in seconds; the
# users allow 2.5.
BINDING_S = 1.0
PLAYED_S = 5.0
PAUSE_S = 0.03


def leaving_script(arrivals):
    def script(request):
        arrivals.append(asyncio.get_running_loop().time())
        return [complete_response(request, b"ok", **LEAVING)]

    return script


async def call_until(gateway, end, statuses, path="/job/", **headers):
    loop = asyncio.get_running_loop()

    async def call():
        status, _, _ = await gateway.call(path, **headers)
        statuses.append(status)

    async with asyncio.TaskGroup() as tasks:
        while loop.time() < end:
            tasks.create_task(call())
            await asyncio.sleep(PAUSE_S)


def check_left(arrivals, statuses):
    assert arrivals
    assert not [at for at in arrivals if at > arrivals[0] + BINDING_S]
    assert set(statuses) == {200}


def test_an_endpoint_that_says_that_it_leaves_gets_nothing_more(tmp_path):
    """Guards against requests that are cut off with an endpoint of a late record."""

    async def check(cluster):
        arrivals, statuses = [], []
        await cluster.endpoint("leaving", "job", leaving_script(arrivals))
        await cluster.endpoint("other", "job", respond_with(b"ok"))
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        end = asyncio.get_running_loop().time() + PLAYED_S
        await call_until(gateway, end, statuses)
        check_left(arrivals, statuses)
        await gateway.wait_for_event("endpoint_leaves", endpoint="leaving")

    run_with_cluster(tmp_path, check)


@pytest.mark.parametrize("change", ["gone_and_back", "rewritten"])
def test_it_gets_nothing_more_though_its_record_says_ready_again(tmp_path, change):
    """Guards against a store that is behind, or back after an outage."""

    async def check(cluster):
        arrivals, statuses = [], []
        leaving = await cluster.endpoint("leaving", "job", leaving_script(arrivals))
        await cluster.endpoint("other", "job", respond_with(b"ok"))
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        loop = asyncio.get_running_loop()
        await call_until(gateway, loop.time() + 1.0, statuses)
        if change == "gone_and_back":
            cluster.store.remove("servers/leaving")
            await asyncio.sleep(0.3)
        cluster.store.put("servers/leaving", leaving.record("job", sequence=2))
        await call_until(gateway, loop.time() + 2.0, statuses)
        check_left(arrivals, statuses)

    run_with_cluster(tmp_path, check)


def test_another_start_under_the_same_id_gets_requests(tmp_path):
    """Guards against an endpoint that is left out for what it was before."""

    async def check(cluster):
        arrivals, statuses = [], []
        leaving = await cluster.endpoint("leaving", "job", leaving_script(arrivals))
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        await gateway.call("/job/")
        leaving.script = respond_with(b"ok")
        cluster.store.put("servers/leaving", leaving.record("job", born=7))
        loop = asyncio.get_running_loop()
        await asyncio.sleep(0.5)
        await call_until(gateway, loop.time() + 0.5, statuses)
        assert set(statuses) == {200}

    run_with_cluster(tmp_path, check)


def test_calls_with_pieces_stop_too(tmp_path):
    """Guards against results that are lost with an endpoint that leaves."""

    async def check(cluster):
        arrivals, statuses, works = [], [], piece_script()

        def script(request):
            arrivals.append(asyncio.get_running_loop().time())
            *waits, response = works(request)
            head, _, body = response.partition(b"\r\n")
            header = f"{names.LEAVING}: 1\r\n".encode()
            return [*waits, head + b"\r\n" + header + body]

        await cluster.endpoint("leaving", "first", script)
        await cluster.endpoint("other", "first", piece_script())
        text = sse_events(1)
        await cluster.endpoint(
            "engine", "engine", lambda r: [complete_response(r, text)]
        )
        stages = [{"service": "first", "after": [], "sizeBytes": 1000}]
        services = [{"name": "first", "segments": SEGMENTS | {"batch": 1}}]
        ask = route("ask", phases=stages, service="engine", **STREAM)
        cluster.configure(1, ask, services=services)
        gateway = await cluster.gateway()
        end = asyncio.get_running_loop().time() + PLAYED_S
        headers = {names.CHUNK_COUNTS: "1", names.CHUNK_KEY: "input"}
        await call_until(gateway, end, statuses, "/ask/", **headers)
        check_left(arrivals, statuses)

    run_with_cluster(tmp_path, check)
