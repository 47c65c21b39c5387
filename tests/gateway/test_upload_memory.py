"""Uploads that come in a burst, and what a gateway holds for them."""

import asyncio
from collections import Counter

import aiohttp
import pytest

from amaranthtally.adapter import headers as names
from bench.process_cost import memory_mb
from tests.gateway.fake_endpoint import (
    FakeEndpoint,
    complete_response,
    not_executed_response,
    parse_request,
)
from tests.gateway.support import configuration, route, run_with_cluster

MEMORY_MB = 300
BODY = bytes(4_194_304)
BURST = 40
# A gateway takes 16 new connections in 50 ms, and closes others unread.
CONNECTIONS = 8
OPEN_INTERVAL_S = 0.05
# Beside load the connections of several intervals come at once.
CONNECT_TRIES = 5
# Long enough that each caller of a batch needs a connection of its own.
OPEN_S = 0.3
WORK_S = 1.0
LATE_S = 1.5
SLOW_PART_BYTES = 131_072
SLOW_INTERVAL_S = 0.05
SAMPLE_INTERVAL_S = 0.01
DEADLINE_MS = 15_000
# The memory of a process that is smaller than the process, in megabytes: an eighth of
# it is left to callers, and one upload fits.
SMALL_MB = 64
# Uploads that a gateway of this memory lets in: as many as before they were held once.
ADMITTED = 36


def answer(request, body=b"done"):
    return [WORK_S if request.body else OPEN_S, complete_response(request, body)]


def echo(request):
    return answer(request, request.body or b"done")


def refuse_first():
    """Return a script that refuses each upload once, as not executed."""
    seen = set()

    def script(request):
        if not request.body or request.id in seen:
            return answer(request)
        seen.add(request.id)
        return [not_executed_response(request)]

    return script


class LateEndpoint(FakeEndpoint):
    """An endpoint that begins to read each large body late."""

    async def serve(self, reader, writer):
        try:
            while True:
                request = parse_request(await reader.readuntil(b"\r\n\r\n"))
                length = int(request.headers.get("content-length", 0))
                await asyncio.sleep(LATE_S if length else OPEN_S)
                request.body = await reader.readexactly(length)
                self.requests.append(request)
                writer.write(complete_response(request))
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()


def whole():
    return BODY


async def in_chunks():
    for start in range(0, len(BODY), SLOW_PART_BYTES):
        yield BODY[start : start + SLOW_PART_BYTES]


async def slowly():
    async for part in in_chunks():
        yield part
        await asyncio.sleep(SLOW_INTERVAL_S)


ONCE = "non_idempotent"
REPEATABLE = "idempotent"
CASES = {
    "length": (ONCE, answer, FakeEndpoint, whole, BURST),
    "chunks": (ONCE, answer, FakeEndpoint, in_chunks, BURST),
    "slow": (ONCE, answer, FakeEndpoint, slowly, BURST),
    "more": (ONCE, answer, FakeEndpoint, whole, 60),
    "repeatable": (REPEATABLE, answer, FakeEndpoint, whole, BURST),
    "sent-again": (ONCE, refuse_first(), FakeEndpoint, whole, BURST),
    "echo": (ONCE, echo, FakeEndpoint, whole, BURST),
    "repeatable-echo": (REPEATABLE, echo, FakeEndpoint, whole, BURST),
    "late-reader": (ONCE, answer, LateEndpoint, whole, BURST),
}


async def send(gateway, body, outcomes, **headers):
    """Send a request; count its status, or the error that its connection ended with."""
    headers = gateway.headers(**{names.DEADLINE_MS: str(DEADLINE_MS)}, **headers)
    try:
        async with gateway.session.post(
            f"{gateway.url}/order/", data=body, headers=headers
        ) as response:
            await response.read()
            outcomes[str(response.status)] += 1
    except (aiohttp.ClientError, OSError) as error:
        outcomes[type(error).__name__] += 1


async def open_connections(gateway, count):
    """Open connections that the gateway keeps, with a small request on each."""
    opened, calls = Counter(), []
    for number in range(count):
        calls.append(asyncio.create_task(open_one(gateway, opened)))
        if number % CONNECTIONS == CONNECTIONS - 1:
            await asyncio.sleep(OPEN_INTERVAL_S)
    await asyncio.gather(*calls)
    assert opened["200"] == count


async def open_one(gateway, opened):
    """Send a small request, again while its connection is closed unread."""
    outcomes = Counter()
    for _ in range(CONNECT_TRIES):
        await send(gateway, b"", outcomes)
        if outcomes["200"]:
            break
        await asyncio.sleep(OPEN_INTERVAL_S)
    opened.update(outcomes)


async def peak_memory(gateway, peaks):
    while True:
        peaks.append(memory_mb(gateway.process.pid))
        await asyncio.sleep(SAMPLE_INTERVAL_S)


@pytest.mark.parametrize("name", CASES)
def test_a_burst_of_uploads_leaves_a_gateway_within_its_memory(tmp_path, name):
    """Guards against bodies that are held twice: the platform ends the process."""
    kind, script, endpoint_type, body, count = CASES[name]

    async def check(cluster):
        endpoints = [
            await cluster.endpoint(f"e{n}", "order", script, endpoint_type, slots=64)
            for n in range(3)
        ]
        document = configuration(1, route("order", kind, timeoutMs=DEADLINE_MS))
        limits = {"maxBodyBytes": len(BODY), "headerTimeoutMs": 3000}
        cluster.store.put("op/config", document | {"limits": limits})
        gateway = await cluster.gateway(memory_mb=MEMORY_MB)
        await open_connections(gateway, count)
        peaks, outcomes = [], Counter()
        watch = asyncio.create_task(peak_memory(gateway, peaks))
        await asyncio.gather(*(send(gateway, body(), outcomes) for _ in range(count)))
        watch.cancel()
        print(f"peak {max(peaks):.0f} MB, {dict(outcomes)}")
        assert max(peaks) < MEMORY_MB
        # What is refused is refused before it is passed on.
        uploads = [r for e in endpoints for r in e.requests if r.body]
        assert len({r.id for r in uploads}) == outcomes["200"] >= ADMITTED

    run_with_cluster(tmp_path, check)


def test_uploads_that_are_refused_are_not_read_ahead(tmp_path):
    """Guards against a megabyte of each connection that is read and counted nowhere."""

    async def check(cluster):
        await cluster.endpoint("e", "order", answer, slots=64)
        cluster.configure(1, route("order", ONCE, timeoutMs=DEADLINE_MS))
        gateway = await cluster.gateway(memory_mb=SMALL_MB)
        await open_connections(gateway, BURST)
        before, peaks, outcomes = memory_mb(gateway.process.pid), [], Counter()
        watch = asyncio.create_task(peak_memory(gateway, peaks))
        await asyncio.gather(*(send(gateway, BODY, outcomes) for _ in range(BURST)))
        watch.cancel()
        print(f"before {before:.0f} MB, peak {max(peaks):.0f} MB, {dict(outcomes)}")
        assert outcomes["200"] == 1
        assert max(peaks) - before < SMALL_MB / 4

    run_with_cluster(tmp_path, check)
