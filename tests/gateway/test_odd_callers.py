"""Callers' headers with numbers that no request can mean, beside sound requests."""

import asyncio

import pytest

from amaranthtally.adapter import headers as names
from tests.gateway.fake_endpoint import piece_script
from tests.gateway.support import open_staged_pool, piece_headers, run_with_cluster

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
