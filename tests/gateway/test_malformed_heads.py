"""A response with a malformed head is no answer, and a sound one passes unchanged."""

import asyncio
import json

import aiohttp
import pytest

from tests.gateway.fake_endpoint import (
    Close,
    complete_response,
    piece_script,
    response_head,
    sse_events,
)
from tests.gateway.malformed_heads import malformed_responses
from tests.gateway.support import (
    SEGMENTS,
    STREAM,
    open_gateway_cluster,
    piece_headers,
    respond_with,
    route,
    run_with_cluster,
)
from tests.support import run_async

CALLS_AT_A_TIME = 6
BODY = sse_events(1, 2)
HANDLES = json.dumps({"entries": [{"handle": "m/1"}]}).encode()
NAMES = tuple(malformed_responses([], BODY))
KINDS = {
    "plain": {"kind": "idempotent", "maxAttempts": 1},
    "once": {"kind": "non_idempotent", "maxAttempts": 2},
    "streaming": STREAM | {"maxAttempts": 1},
}
STAGES = {"phases": [{"service": "stage", "after": [], "sizeBytes": 1000}]}
BODILESS = (204, 304)
STATUSES = range(200, 600)


def script_of(name, body=BODY):
    def script(request):
        lines = response_head(request).strip().split(b"\r\n")[1:]
        return [malformed_responses(lines, body)[name], 0.02, Close]

    return script


async def answers(gateway, **headers):
    """Return the status for each name; 0 if the connection was closed instead."""
    at_a_time = asyncio.Semaphore(CALLS_AT_A_TIME)

    async def status(name):
        async with at_a_time:
            try:
                return (await gateway.call(f"/{name}/", **headers))[0]
            except aiohttp.ClientError:
                return 0

    return dict(
        zip(NAMES, await asyncio.gather(*(status(name) for name in NAMES)), strict=True)
    )


@pytest.mark.parametrize("stages", [{}, STAGES], ids=["direct", "staged"])
@pytest.mark.parametrize("kind", KINDS)
def test_a_malformed_head_gives_no_answer(tmp_path, kind, stages):
    """Guards against a status of 000, or a body of unknown end, taken for an answer."""

    async def run():
        async with open_gateway_cluster(tmp_path) as cluster:
            endpoints = [await cluster.endpoint(n, n, script_of(n)) for n in NAMES]
            await cluster.endpoint("stage", "stage", piece_script())
            services = [{"name": "stage", "segments": SEGMENTS}]
            options = KINDS[kind] | stages
            routes = [route(name, **options) for name in NAMES]
            cluster.configure(1, *routes, services=services)
            gateway = await cluster.gateway()
            headers = piece_headers("1") if stages else {}
            statuses = await answers(gateway, **headers)
            assert {n: s for n, s in statuses.items() if s != 502} == {}
            assert [len(endpoint.requests) for endpoint in endpoints] == [1] * len(
                NAMES
            )

    run_async(run())


def test_handles_are_not_read_behind_a_malformed_head(tmp_path):
    """Guards against results of a stage whose response nobody can trust."""

    async def check(cluster):
        for name in NAMES:
            await cluster.endpoint(name, name, script_of(name, HANDLES))
        await cluster.endpoint("engine", "engine", respond_with(BODY))
        services = [
            {"name": name, "segments": SEGMENTS | {"batch": 1}} for name in NAMES
        ]
        stages = {n: [{"service": n, "after": [], "sizeBytes": 1}] for n in NAMES}
        routes = [
            route(name, service="engine", phases=stages[name], timeoutMs=1500, **STREAM)
            for name in NAMES
        ]
        cluster.configure(1, *routes, services=services)
        gateway = await cluster.gateway()
        statuses = await answers(gateway, **piece_headers("1"))
        assert {n: s for n, s in statuses.items() if s < 500} == {}

    run_with_cluster(tmp_path, check)


@pytest.mark.parametrize("reason", [b"", b" ", b" Some reason"])
def test_every_sound_status_passes_with_its_body(tmp_path, reason):
    """Guards against a stricter reader that turns sound responses away."""

    def script(request):
        status = request.target.split("/")[2].encode()
        body = b"" if int(status) in BODILESS else b"body of " + status
        whole = complete_response(request, body, "STATUS", X_Own="\tin  order ")
        return [whole.replace(b" STATUS", b" " + status + reason)]

    async def check(cluster):
        await cluster.endpoint("e", "job", script)
        cluster.configure(1, route("job", maxAttempts=1))
        gateway = await cluster.gateway()
        for status in STATUSES:
            answer, headers, body = await gateway.call(f"/job/{status}")
            assert answer == status
            assert headers["X-Own"] == "in  order"
            assert body == (b"" if status in BODILESS else b"body of %d" % status)

    run_with_cluster(tmp_path, check)


def test_informational_heads_are_skipped(tmp_path):
    """Guards against a reader that takes the first head for the final one."""
    early = (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
    )

    async def check(cluster):
        script = lambda r: [early[:30], 0.01, early[30:] + complete_response(r)]  # noqa: E731
        await cluster.endpoint("e", "job", script)
        cluster.configure(1, route("job", maxAttempts=1))
        gateway = await cluster.gateway()
        for _ in range(2):
            status, _, body = await gateway.call("/job/")
            assert (status, body) == (200, b"ok")

    run_with_cluster(tmp_path, check)
