"""A response that breaks off is no whole response, wherever it does."""

import asyncio
import json

import aiohttp
import pytest

from amaranthtally.adapter import headers as names
from tests.gateway.broken_responses import WHOLE, broken_responses
from tests.gateway.fake_endpoint import (
    Close,
    Reset,
    complete_response,
    piece_script,
    response_head,
    sse_events,
)
from tests.gateway.support import (
    SEGMENTS,
    STREAM,
    open_gateway_cluster,
    piece_headers,
    route,
)
from tests.support import run_async

CALLS_AT_A_TIME = 6
FIRST_SERVER_ERROR = 500
BODY = sse_events(1, 2)
PIECES = json.dumps({"entries": [{"handle": "m/1"}]}).encode()
KINDS = {
    "plain": {"kind": "idempotent", "maxAttempts": 1},
    "once": {"kind": "non_idempotent", "maxAttempts": 1},
    "streaming": STREAM | {"maxAttempts": 1},
}


def broken(request, name, body, signed=True):
    head = response_head(request, signed=signed).removesuffix(b"\r\n")
    return broken_responses(head.splitlines(keepends=True), body)[name]


NAMES = tuple(broken_responses([b"HTTP/1.1 200 OK\r\n"], BODY))


async def whole_answers(gateway, **headers):
    """Return the names of the responses that callers take for whole ones."""
    # A gateway may reset connections that come in larger numbers at a time.
    at_a_time = asyncio.Semaphore(CALLS_AT_A_TIME)

    async def is_whole(name):
        async with (
            at_a_time,
            gateway.session.post(
                f"{gateway.url}/{name}/", headers=gateway.headers(**headers)
            ) as response,
        ):
            try:
                await response.read()
            except aiohttp.ClientError:
                return False
            return response.status < FIRST_SERVER_ERROR

    answers = await asyncio.gather(*(is_whole(name) for name in NAMES))
    return tuple(n for n, is_whole in zip(NAMES, answers, strict=True) if is_whole)


def run_with_broken_endpoints(tmp_path, end, body, options, pool_of, check):
    """Run a gateway with a route and an endpoint for each place of a break."""

    async def run():
        async with open_gateway_cluster(tmp_path) as cluster:
            routes, services = [], []
            for name in NAMES:
                script = lambda r, n=name: [broken(r, n, body), 0.02, end]  # noqa: E731
                await cluster.endpoint(name, pool_of(name), script)
                routes.append(route(name, **options(name)))
                services.append({"name": name, "segments": SEGMENTS | {"batch": 1}})
            engine = lambda r: [complete_response(r, BODY)]  # noqa: E731
            await cluster.endpoint("engine", "engine", engine)
            await cluster.endpoint("sound", "sound", piece_script())
            services.append({"name": "sound", "segments": SEGMENTS})
            cluster.configure(1, *routes, services=services)
            await check(await cluster.gateway())

    run_async(run())


@pytest.mark.parametrize("end", [Close, Reset])
@pytest.mark.parametrize("kind", ["plain", "once", "streaming"])
def test_a_caller_gets_no_whole_answer(tmp_path, kind, end):
    """Guards against an answer that is cut off and framed as a whole one."""

    async def check(gateway):
        assert await whole_answers(gateway) == WHOLE

    run_with_broken_endpoints(
        tmp_path, end, BODY, lambda name: KINDS[kind], lambda name: name, check
    )


@pytest.mark.parametrize("end", [Close, Reset])
def test_an_engine_behind_stages_gives_no_whole_answer(tmp_path, end):
    """Guards against the same where the engine's inputs were computed before."""

    async def check(gateway):
        headers = piece_headers("1")
        assert await whole_answers(gateway, **headers) == WHOLE

    def options(name):
        stages = [{"service": "sound", "after": [], "sizeBytes": 1000}]
        return {"phases": stages, "service": name, "maxAttempts": 1, **STREAM}

    run_with_broken_endpoints(tmp_path, end, BODY, options, lambda name: name, check)


@pytest.mark.parametrize("end", [Close, Reset])
def test_pieces_of_a_call_that_breaks_off_have_no_results(tmp_path, end):
    """Guards against handles that are read from a response that is cut off."""

    async def check(gateway):
        headers = piece_headers("1") | {names.DEADLINE_MS: "1500"}
        assert await whole_answers(gateway, **headers) == WHOLE

    def options(name):
        stages = [{"service": name, "after": [], "sizeBytes": 1000}]
        return {"phases": stages, "service": "engine", **STREAM}

    run_with_broken_endpoints(tmp_path, end, PIECES, options, lambda name: name, check)
