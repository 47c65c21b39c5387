"""Endpoints that send bytes without end to a gateway."""

import asyncio

import pytest

from bench.process_cost import memory_mb
from tests.gateway.fake_endpoint import (
    complete_response,
    piece_script,
    response_head,
    sse_events,
    stream_response_head,
)
from tests.gateway.support import (
    SEGMENTS,
    STREAM,
    piece_headers,
    respond_with,
    route,
    run_with_cluster,
)

# Twice the bound on a response's body, which is joined from its parts, and some for
# the allocator, in megabytes.
MAX_GROWTH_MB = 45.0
# A gateway closes the connection within this time, in seconds; on a busy machine it
# takes longer to receive as much as a bound allows.
CLOSE_S = 3.0
BLOCK = b"x" * 65_536


def endless(beginning, block=BLOCK):
    """Return a script that never ends a response."""

    def script(request):
        yield beginning(request)
        while True:
            yield block

    return script


def unfinished_head(request):
    return response_head(request)[:-2]


HEADS = {
    "head": endless(unfinished_head, b"X-Line: value\r\n" * 1000),
    "informational heads": endless(lambda r: b"", b"HTTP/1.1 103 Early\r\n\r\n" * 1000),
    "body": endless(response_head),
    "body of a large length": endless(lambda r: response_head(r, length=10**12)),
}


async def wait_until_closed(endpoint):
    async with asyncio.timeout(CLOSE_S):
        for request in endpoint.requests:
            await request.closed.wait()


@pytest.mark.parametrize("name", HEADS)
def test_a_request_is_repeated_elsewhere_and_the_memory_is_bounded(tmp_path, name):
    """Guards against an endpoint that ends a gateway, or holds up its callers."""

    async def check(cluster):
        bad = await cluster.endpoint("bad", "job", HEADS[name])
        await cluster.endpoint("good", "job", respond_with(b"job"))
        await cluster.endpoint("other", "other", respond_with(b"other"))
        cluster.configure(1, route("job"), route("other"))
        gateway = await cluster.gateway()
        before = memory_mb(gateway.process.pid)
        peak = before
        async with asyncio.timeout(20.0):
            while not bad.requests:
                answers = [gateway.call(path) for path in ("/job/", "/other/")]
                for status, _, body in await asyncio.gather(*answers):
                    assert status == 200
                    assert body in (b"job", b"other")
                peak = max(peak, memory_mb(gateway.process.pid))
        await wait_until_closed(bad)
        assert peak - before < MAX_GROWTH_MB
        async with asyncio.timeout(CLOSE_S):
            await gateway.wait_for_event(
                "attempt_ended", endpoint="bad", fate="over_limit"
            )

    run_with_cluster(tmp_path, check)


def test_what_may_not_be_repeated_is_unknown(tmp_path):
    """Guards against a second run, and against saying that nothing was run."""

    async def check(cluster):
        bad = await cluster.endpoint("bad", "job", HEADS["body"])
        cluster.configure(1, route("job", "non_idempotent"))
        gateway = await cluster.gateway()
        status, _, _ = await gateway.call("/job/")
        assert status == 502
        assert len(bad.requests) == 1
        await wait_until_closed(bad)

    run_with_cluster(tmp_path, check)


def test_a_stream_of_no_events_is_begun_elsewhere(tmp_path):
    """Guards against an event without end that fills the memory."""

    async def check(cluster):
        script = endless(stream_response_head, b"%x\r\n%s\r\n" % (len(BLOCK), BLOCK))
        bad = await cluster.endpoint("bad", "ask", script)
        good = await cluster.endpoint(
            "good", "ask", lambda r: [complete_response(r, sse_events(1))]
        )
        cluster.configure(1, route("ask", resumable=True, **STREAM))
        gateway = await cluster.gateway()
        async with asyncio.timeout(20.0):
            while not bad.requests:
                status, body, complete = await gateway.stream("/ask/")
                assert (status, body, complete) == (200, sse_events(1), True)
        assert good.requests
        await wait_until_closed(bad)

    run_with_cluster(tmp_path, check)


def test_pieces_are_computed_elsewhere(tmp_path):
    """Guards against a stage whose call never ends."""

    async def check(cluster):
        bad = await cluster.endpoint("bad", "first", HEADS["body"])
        await cluster.endpoint("good", "first", piece_script())
        text = sse_events(1)
        await cluster.endpoint(
            "engine", "engine", lambda r: [complete_response(r, text)]
        )
        stages = [{"service": "first", "after": [], "sizeBytes": 1000}]
        services = [{"name": "first", "segments": SEGMENTS | {"batch": 1}}]
        ask = route("ask", phases=stages, service="engine", **STREAM)
        cluster.configure(1, ask, services=services)
        gateway = await cluster.gateway()
        async with asyncio.timeout(20.0):
            while not bad.requests:
                answer = await gateway.call("/ask/", **piece_headers("2"))
                assert answer[0] == 200
        await wait_until_closed(bad)
        await gateway.wait_for_event("pieces_ended", endpoint="bad", fate="over_limit")

    run_with_cluster(tmp_path, check)
