"""Endpoints that answer an upload before they have read it."""

import aiohttp
import pytest

from tests.gateway.fake_endpoint import (
    READ,
    Close,
    EarlyEndpoint,
    Reset,
    complete_response,
    http_chunk,
    response_head,
    sse_events,
)
from tests.gateway.support import STREAM, route, run_with_cluster

UPLOAD = b"u" * 900_000
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
