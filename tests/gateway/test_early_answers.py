"""Endpoints that answer an upload before they have read it."""

import aiohttp
import pytest

from tests.gateway.fake_endpoint import (
    READ,
    Close,
    EarlyEndpoint,
    HalfClose,
    Reset,
    complete_response,
    http_chunk,
    piece_script,
    response_head,
    sse_events,
)
from tests.gateway.support import (
    SEGMENTS,
    STREAM,
    piece_headers,
    route,
    run_with_cluster,
)

UPLOAD = b"u" * 900_000
# More than both sides' sockets hold while the endpoint does not read.
LARGE_UPLOAD = b"u" * 4_194_304
CHUNK_BYTES = 65_536
RESET_S = 1.0
BODY = sse_events(*range(1, 200))
PART = BODY[: len(BODY) // 2]
KINDS = {
    "plain": {"kind": "idempotent", "maxAttempts": 2},
    "once": {"kind": "non_idempotent", "maxAttempts": 2},
    "streaming": STREAM | {"maxAttempts": 1},
}
CUT = {
    "close": lambda r: response_head(r) + PART,
    "whole-close": lambda r: response_head(r) + BODY,
    "length": lambda r: response_head(r, length=len(BODY)) + PART,
    "chunks": lambda r: (
        response_head(r, Transfer_Encoding="chunked") + http_chunk(PART)
    ),
}
ENDS = {"at once": [Reset], "soon": [0.05, Reset], "late": [0.5, Reset]}


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("cut", CUT)
def test_a_part_of_an_early_answer_is_no_answer(tmp_path, cut, end, kind):
    """Guards against a 200 whose rest was lost as the upload was being written."""

    async def check(cluster):
        script = lambda r: [CUT[cut](r), *ENDS[end]]  # noqa: E731
        endpoint = await cluster.endpoint("e", "job", script, EarlyEndpoint)
        cluster.configure(1, route("job", **KINDS[kind]))
        gateway = await cluster.gateway()
        headers = gateway.headers()
        async with gateway.session.post(
            f"{gateway.url}/job/", data=UPLOAD, headers=headers
        ) as response:
            try:
                await response.read()
                is_whole = True
            except aiohttp.ClientError:
                is_whole = False
            if kind == "streaming" and response.status == 200:
                assert not is_whole
            else:
                assert (response.status, is_whole) == (502, True)
        assert len(endpoint.requests) <= (2 if kind == "plain" else 1)

    run_with_cluster(tmp_path, check)


@pytest.mark.parametrize("status", ["200 OK", "413 Content Too Large"])
@pytest.mark.parametrize("kind", KINDS)
def test_a_whole_early_answer_passes(tmp_path, kind, status):
    """Guards against a reader that takes every early answer for a broken one."""

    async def check(cluster):
        script = lambda r: [complete_response(r, BODY, status), READ, Close]  # noqa: E731
        await cluster.endpoint("e", "job", script, EarlyEndpoint)
        cluster.configure(1, route("job", **KINDS[kind]))
        gateway = await cluster.gateway()
        answer = await gateway.call("/job/", body=UPLOAD)
        assert (answer[0], answer[2]) == (int(status[:3]), BODY)

    run_with_cluster(tmp_path, check)


@pytest.mark.parametrize("kind", ["plain", "once"])
def test_a_part_is_no_answer_while_the_gateway_still_holds_the_upload(tmp_path, kind):
    """Guards against a 200 without a length that ends in order before its upload."""

    async def check(cluster):
        script = lambda r: [response_head(r) + PART, HalfClose, RESET_S, Reset]  # noqa: E731
        await cluster.endpoint("e", "job", script, EarlyEndpoint)
        cluster.configure(1, route("job", **KINDS[kind] | {"maxAttempts": 1}))
        gateway = await cluster.gateway()
        assert (await gateway.call("/job/", body=LARGE_UPLOAD))[0] == 502

    run_with_cluster(tmp_path, check)


async def in_chunks():
    for start in range(0, len(UPLOAD), CHUNK_BYTES):
        yield UPLOAD[start : start + CHUNK_BYTES]


@pytest.mark.parametrize("is_staged", [False, True])
@pytest.mark.parametrize("cut", CUT)
def test_a_part_of_an_early_answer_to_chunks_is_no_answer(tmp_path, cut, is_staged):
    """Guards against the same for uploads in chunks, and behind stages."""

    async def check(cluster):
        script = lambda r: [CUT[cut](r), 0.05, Reset]  # noqa: E731
        await cluster.endpoint("e", "job", script, EarlyEndpoint)
        await cluster.endpoint("stage", "stage", piece_script())
        stages = {"phases": [{"service": "stage", "after": [], "sizeBytes": 1000}]}
        kind = STREAM | stages if is_staged else KINDS["once"]
        services = [{"name": "stage", "segments": SEGMENTS}]
        cluster.configure(
            1, route("job", **kind | {"maxAttempts": 1}), services=services
        )
        gateway = await cluster.gateway()
        headers = gateway.headers(**(piece_headers("1") if is_staged else {}))
        url = f"{gateway.url}/job/"
        async with gateway.session.post(
            url, data=in_chunks(), headers=headers
        ) as response:
            try:
                await response.read()
                assert response.status == 502
            except aiohttp.ClientError:
                assert is_staged

    run_with_cluster(tmp_path, check)


def test_a_caller_that_expects_100_continue_gets_it(tmp_path):
    """Guards against 408 for an upload whose caller awaits 100 Continue."""

    async def check(cluster):
        endpoint = await cluster.endpoint(
            "e", "job", lambda r: [complete_response(r, BODY)]
        )
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        for data in (UPLOAD, in_chunks()):
            async with gateway.session.post(
                f"{gateway.url}/job/",
                data=data,
                headers=gateway.headers(),
                expect100=True,
            ) as response:
                assert (response.status, await response.read()) == (200, BODY)
        assert [request.body for request in endpoint.requests] == [UPLOAD, UPLOAD]
        assert not any("expect" in request.headers for request in endpoint.requests)

    run_with_cluster(tmp_path, check)
