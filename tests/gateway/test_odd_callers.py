"""Callers whose requests are out of the ordinary, beside sound requests."""

import asyncio

import pytest

from amaranthtally.adapter import headers as names
from tests.gateway.fake_endpoint import piece_script
from tests.gateway.support import (
    open_staged_pool,
    piece_headers,
    respond_with,
    route,
    run_with_cluster,
)

ANSWER_S = 4.0
ODD_HEADERS = {
    "pieces": piece_headers("300000"),
    "pieces_beyond_floats": piece_headers("1" + "0" * 400),
    "tokens_beyond_floats": {names.PROMPT_PARTS: "a:1" + "0" * 400},
}


@pytest.mark.parametrize("odd", ODD_HEADERS)
def test_a_header_out_of_range_is_refused_and_holds_up_nobody(tmp_path, odd):
    """Guards against a gateway that serves nobody any more after one odd header."""

    async def check(cluster):
        await open_staged_pool(cluster, piece_script())
        gateway = await cluster.gateway()
        async with asyncio.timeout(ANSWER_S):
            assert (await gateway.call("/ask/", **ODD_HEADERS[odd]))[0] == 400
            assert (await gateway.call("/ask/", **piece_headers("2")))[0] == 200

    run_with_cluster(tmp_path, check)


@pytest.mark.parametrize("path", ["/job/", "/empty/"])
def test_a_response_to_head_is_not_taken_for_the_next_one(tmp_path, path):
    """Guards against a body after the head, which the next response begins with."""

    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"answer"))
        cluster.configure(1, route("job"), route("empty"))
        gateway = await cluster.gateway()
        port = gateway.process.ports["port"]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for method, target in (("HEAD", path), ("GET", "/job/")):
            deadline = {names.DEADLINE_MS: "500"}
            writer.write(gateway.request_head(method, target, method, **deadline))
            async with asyncio.timeout(ANSWER_S):
                head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 ")
            assert f"{names.REQUEST_ID}: {method}\r\n".encode() in head
        assert await reader.readexactly(len(b"answer")) == b"answer"
        writer.close()

    run_with_cluster(tmp_path, check)
