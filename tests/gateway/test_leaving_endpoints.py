"""Endpoints that say in their responses that they leave, and not in their records."""

import asyncio

import pytest

from amaranthtally.adapter import headers as names
from tests.gateway.fake_endpoint import (
    STREAM_END,
    complete_response,
    http_chunk,
    piece_script,
    response_head,
    sse_events,
)
from tests.gateway.support import (
    STREAM,
    call_until,
    open_staged_pool,
    piece_headers,
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
        await call_until(gateway, end, statuses, PAUSE_S)
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
        await call_until(gateway, loop.time() + 1.0, statuses, PAUSE_S)
        if change == "gone_and_back":
            cluster.store.remove("servers/leaving")
            await asyncio.sleep(0.3)
        cluster.store.put("servers/leaving", leaving.record("job", sequence=2))
        await call_until(gateway, loop.time() + 2.0, statuses, PAUSE_S)
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
        await call_until(gateway, loop.time() + 0.5, statuses, PAUSE_S)
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

        await open_staged_pool(cluster, script)
        gateway = await cluster.gateway()
        end = asyncio.get_running_loop().time() + PLAYED_S
        headers = piece_headers("1")
        await call_until(gateway, end, statuses, PAUSE_S, "/ask/", **headers)
        check_left(arrivals, statuses)

    run_with_cluster(tmp_path, check)


def test_the_head_of_a_stream_counts_and_the_stream_goes_on(tmp_path):
    """Guards against streams at an endpoint that leaves, and streams that are cut."""

    async def check(cluster):
        begun = []

        def stream(request, **extra):
            extra |= {"Transfer_Encoding": "chunked"}
            chunks = (http_chunk(sse_events(number)) for number in (1, 2, 3))
            first, *others = chunks
            pauses = [step for chunk in others for step in (0.3, chunk)]
            return [response_head(request, **extra), first, *pauses, STREAM_END]

        def leaving(request):
            begun.append(request.id)
            return stream(request, **LEAVING)

        await cluster.endpoint("leaving", "chat", leaving)
        cluster.configure(1, route("chat", **STREAM, type="streaming"))
        gateway = await cluster.gateway()
        running = asyncio.create_task(gateway.stream("/chat/"))
        await gateway.wait_for_event("endpoint_leaves", endpoint="leaving")
        await cluster.endpoint("other", "chat", stream)
        await asyncio.sleep(0.3)
        after = [await gateway.stream("/chat/") for _ in range(3)]
        expected = (200, sse_events(1, 2, 3), True)
        assert [await running, *after] == [expected] * 4
        assert len(begun) == 1

    run_with_cluster(tmp_path, check)


def test_another_endpoint_at_the_same_address_gets_requests(tmp_path):
    """Guards against an address that is avoided for the one that has left it."""

    async def check(cluster):
        arrivals = []
        endpoint = await cluster.endpoint("leaving", "job", leaving_script(arrivals))
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        await gateway.call("/job/")
        endpoint.script = respond_with(b"ok")
        cluster.store.remove("servers/leaving")
        cluster.store.put("servers/next", endpoint.record("job"))
        await asyncio.sleep(0.5)
        assert (await gateway.call("/job/"))[0] == 200

    run_with_cluster(tmp_path, check)
