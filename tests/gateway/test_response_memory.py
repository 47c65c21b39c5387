"""Endpoints that send without end to many callers of one gateway at once."""

import asyncio

import aiohttp
import pytest

from bench.process_cost import memory_mb
from tests.gateway.fake_endpoint import (
    http_chunk,
    piece_script,
    response_head,
    sse_events,
    stream_response_head,
)
from tests.gateway.support import (
    SEGMENTS,
    STREAM,
    Gateway,
    open_gateway_cluster,
    piece_headers,
    respond_with,
    route,
)
from tests.support import run_async

ENDPOINTS = 8
CALLERS = 48
# The setting of the gateway, in megabytes; unbounded, the responses take far more.
MEMORY_MB = 300
# How long the callers go on, in seconds, and the pause between the other calls.
CROWD_S = 3.0
PAUSE_S = 0.1
BLOCK = b"x" * 65_536


def no_head(request):
    return b""


def chunked_head(request):
    return response_head(request, Transfer_Encoding="chunked")


ENDLESS = {
    "body": (response_head, BLOCK),
    "chunks": (chunked_head, http_chunk(BLOCK)),
    "small chunks": (chunked_head, http_chunk(b"x") * 10_000),
    "chunk sizes": (chunked_head, b"0" * 65_536),
    "chunk extensions": (chunked_head, b"1;" + b"e" * 65_536),
    "trailers": (lambda r: chunked_head(r) + b"0\r\n", b"X-Line: value\r\n" * 4000),
    "events": (stream_response_head, http_chunk(sse_events(1, 2)) * 2000),
    "large events": (stream_response_head, http_chunk(b"data: " + BLOCK + b"\n\n")),
    "zeros": (no_head, bytes(65_536)),
    "status line": (lambda r: b"HTTP/1.1 200 ", BLOCK),
    "header lines": (lambda r: response_head(r)[:-2], b"X-Line: value\r\n" * 4000),
    "informational heads": (no_head, b"HTTP/1.1 103 Early\r\n\r\n" * 3000),
}
STAGES = {"phases": [{"service": "stage", "after": [], "sizeBytes": 1000}]}
KINDS = {
    "plain": {"kind": "non_idempotent", "maxAttempts": 1},
    "streaming": STREAM | {"maxAttempts": 1},
    "staged": STREAM | STAGES | {"maxAttempts": 1},
}
CASES = [(name, kind) for name in ENDLESS for kind in ("plain", "streaming")]
CASES += [(name, "staged") for name in ("body", "small chunks", "events")]


class Crowd:
    """Callers that call a pool of bad endpoints again and again."""

    def __init__(self, gateway, headers):
        self.gateway = gateway
        self.headers = headers
        self.loop = asyncio.get_running_loop()
        self.end = self.loop.time() + CROWD_S
        self.answers = 0
        self.calls = [asyncio.create_task(self._call()) for _ in range(CALLERS)]

    @property
    def is_over(self):
        return self.loop.time() > self.end

    async def _call(self):
        while not self.is_over:
            try:
                await self.gateway.stream("/bad/", **self.headers)
                self.answers += 1
            except aiohttp.ClientError:
                await asyncio.sleep(PAUSE_S)

    async def stop(self):
        for call in self.calls:
            call.cancel()
        await asyncio.gather(*self.calls, return_exceptions=True)


def run_beside_crowd(tmp_path, name, kind, check):
    """Run a check while a crowd calls endpoints whose responses never end."""
    beginning, block = ENDLESS[name]

    def script(request):
        yield beginning(request)
        while True:
            yield block

    async def run():
        async with open_gateway_cluster(tmp_path) as cluster:
            for number in range(ENDPOINTS):
                await cluster.endpoint(f"bad-{number}", "bad", script, slots=64)
            await cluster.endpoint("stage", "stage", piece_script(), slots=64)
            await cluster.endpoint("good", "good", respond_with(b"good"))
            services = [{"name": "stage", "segments": SEGMENTS | {"slots": 64}}]
            bad = route("bad", **KINDS[kind])
            cluster.configure(1, bad, route("good"), services=services)
            gateway = await cluster.gateway(memory_mb=MEMORY_MB)
            headers = piece_headers("1") if kind == "staged" else {}
            async with aiohttp.ClientSession() as session:
                other = Gateway(gateway.process, session)
                # A crowd's connections come faster than a gateway takes new ones.
                assert (await other.call("/good/", request_id="first"))[0] == 200
                crowd = Crowd(gateway, headers)
                try:
                    await check(other, crowd)
                finally:
                    await crowd.stop()

    run_async(run())


@pytest.mark.parametrize(("name", "kind"), CASES)
def test_responses_without_end_leave_the_memory_and_the_time(tmp_path, name, kind):
    """Guards against responses, each within its bound, that end a gateway together."""

    async def check(gateway, crowd):
        peak, statuses = 0.0, []
        while not crowd.is_over:
            number = f"other-{len(statuses)}"
            status, _, _ = await gateway.call("/good/", request_id=number)
            statuses.append(status)
            peak = max(peak, memory_mb(gateway.process.pid))
            await asyncio.sleep(PAUSE_S)
        print(f"peak {peak:.0f} MB, {len(statuses)} answers")
        assert set(statuses) == {200}
        assert peak < MEMORY_MB

    run_beside_crowd(tmp_path, name, kind, check)
