"""A sidecar process whose endpoint sends broken responses."""

import asyncio

import capnp
import pytest
import tomli_w

from amaranthtally.standins.process import start_process
from amaranthtally.wire import (
    AtMostOnceTerms,
    CallId,
    StageCall,
    Status,
    connect_sidecar,
)
from bench.process_cost import memory_mb
from tests.gateway.fake_endpoint import (
    READ,
    Close,
    EarlyEndpoint,
    FakeEndpoint,
    Reset,
    open_endpoint,
)
from tests.gateway.malformed_heads import malformed_responses
from tests.support import run_async

CALLS = 24
# The bound on what all responses may take together, in megabytes, and some for the
# allocator and for what is still unread on the connections.
RESPONSE_MEMORY_MB = 32.0
MAX_GROWTH_MB = 2 * RESPONSE_MEMORY_MB + 16.0
DEADLINE_S = 4.0
OUTPUT = b'{"done": 1}'
BLOCK = b"x" * 65_536
HEAD = b"HTTP/1.1 200 OK\r\n"
SOUND = HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(OUTPUT), OUTPUT)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "length": (HEAD + b"Content-Length: 1000000000000\r\n\r\n", BLOCK),
    "close": (HEAD + b"\r\n", BLOCK),
    "chunks": (CHUNKED, b"10000\r\n" + BLOCK + b"\r\n"),
    "small chunks": (CHUNKED, b"1\r\nx\r\n" * 10_000),
    "head": (HEAD, b"X-Line: value\r\n" * 4000),
    "informational heads": (b"", b"HTTP/1.1 103 Early\r\n\r\n" * 3000),
    "zeros": (b"", bytes(65_536)),
}
BAD, GOOD = b"bad", b"good"


class Sidecar:
    """A client of the sidecar under test."""

    def __init__(self, client, process):
        self.client = client
        self.process = process
        self.serial = 0

    async def call(self, text, repeatable=True, input_bytes=0):
        self.serial += 1
        body = text + b"." * input_bytes
        load = await self.client.load()
        return await self.client.run(
            StageCall(
                id=CallId(f"r{self.serial}", 0, 1),
                account="account",
                stage_name="order",
                input=b'{"input": "%s", "previous": null}' % body,
                remaining_s=DEADLINE_S,
                repeatable=repeatable,
                terms=AtMostOnceTerms(load.incarnation, load.clock_s),
                call_key="" if repeatable else f"key-{self.serial}",
            ),
            None,
        )


def run_with_sidecar(tmp_path, script, test, endpoint_type=FakeEndpoint):
    """Run a test with a sidecar; its endpoint answers ``GOOD`` inputs soundly."""

    def answer(request):
        return [SOUND] if GOOD in request.body else script(request)

    async def run():
        async with (
            capnp.kj_loop(),
            open_endpoint("order", answer, endpoint_type) as endpoint,
        ):
            settings = {
                "endpoint": "order-1",
                "host": "host-1",
                "region": "north",
                "data_centre": "north-a",
                "wire_address": "127.0.0.1:0",
                "http_address": "127.0.0.1:0",
                "endpoint_url": f"http://{endpoint.address}",
                "endpoint_kind": "plain",
                "concurrency": CALLS + 1,
                "response_memory_mb": RESPONSE_MEMORY_MB,
            }
            path = tmp_path / "sidecar.toml"
            path.write_text(tomli_w.dumps(settings))
            process = await start_process(
                "sidecar", "amaranthtally.daemon.main", "sidecar", "--settings", path
            )
            try:
                port = process.ports["port"]
                client = await connect_sidecar("127.0.0.1", port, 2.0)
                await test(Sidecar(client, process), endpoint)
                client.close()
            finally:
                await process.kill()

    run_async(run())


@pytest.mark.parametrize("name", ENDLESS)
def test_responses_without_end_together_leave_the_memory(tmp_path, name):
    """Guards against endless bodies that end a host's sidecar and its other calls."""
    beginning, block = ENDLESS[name]

    def script(request):
        yield beginning
        while True:
            yield block

    async def check(sidecar, endpoint):
        assert (await sidecar.call(GOOD)).output == OUTPUT
        before = peak = memory_mb(sidecar.process.pid)
        calls = [asyncio.create_task(sidecar.call(BAD)) for _ in range(CALLS)]
        bad = asyncio.gather(*calls)
        while not bad.done():
            assert (await sidecar.call(GOOD)).output == OUTPUT
            peak = max(peak, memory_mb(sidecar.process.pid))
        assert {reply.status for reply in await bad} == {Status.FAILED}
        assert peak - before < MAX_GROWTH_MB

    run_with_sidecar(tmp_path, script, check)


MALFORMED = malformed_responses([], OUTPUT)


@pytest.mark.parametrize("repeatable", [True, False])
def test_a_malformed_head_gives_no_output(tmp_path, repeatable):
    """Guards against a status of 000 that ends a stage, and a second run of a call."""
    responses = iter(MALFORMED.values())

    def script(request):
        return [next(responses), 0.02, Close]

    async def check(sidecar, endpoint):
        replies = {name: await sidecar.call(BAD, repeatable) for name in MALFORMED}
        expected = Status.FAILED if repeatable else Status.UNKNOWN
        statuses = {name: reply.status for name, reply in replies.items()}
        assert {n: s for n, s in statuses.items() if s is not expected} == {}
        assert len(endpoint.requests) == len(MALFORMED)

    run_with_sidecar(tmp_path, script, check)


UPLOAD_BYTES = 900_000
EARLY = {
    "close": HEAD + b"\r\n" + OUTPUT,
    "length": SOUND[:-1],
    "chunks": CHUNKED + b"8\r\n" + OUTPUT[:8],
}


@pytest.mark.parametrize("pause_s", [0.0, 0.3])
@pytest.mark.parametrize("name", EARLY)
def test_a_part_of_an_early_response_gives_no_output(tmp_path, name, pause_s):
    """Guards against a part that is taken for whole as an upload is still written."""

    async def check(sidecar, endpoint):
        reply = await sidecar.call(BAD, repeatable=False, input_bytes=UPLOAD_BYTES)
        assert reply.status is Status.UNKNOWN
        assert len(endpoint.requests) == 1

    def script(request):
        return [EARLY[name], pause_s, Reset]

    run_with_sidecar(tmp_path, script, check, EarlyEndpoint)


def test_a_whole_early_response_gives_its_output(tmp_path):
    """Guards against a reader that takes every early response for a broken one."""

    async def check(sidecar, endpoint):
        reply = await sidecar.call(BAD, repeatable=False, input_bytes=UPLOAD_BYTES)
        assert (reply.status, reply.output) == (Status.FINISHED, OUTPUT)

    run_with_sidecar(tmp_path, lambda r: [SOUND, READ, Close], check, EarlyEndpoint)
