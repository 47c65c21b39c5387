"""Each stream is complete and unmixed, or ends in an explicit error."""

import asyncio
import signal
import socket

import msgspec
import pytest
from aiohttp import web

from amaranthtally.daemon.entry.event_stream import EventStream
from amaranthtally.daemon.entry.stream_text import (
    MAX_TEXT_BYTES,
    ChunkOutcome,
    StreamText,
)
from amaranthtally.standins.deployment import open_deployment
from amaranthtally.standins.relay import LinkFault, open_relays
from amaranthtally.wire import StageReply, Status
from tests.lifecycle.support import (
    FakeSidecar,
    fake_deployment,
    log_lines,
    run_with_capnp,
)
from tests.support import parse_events, plan, run_async
from tests.support.http import serve_http

STREAMS = 8
TOKENS = 100
TOKEN_TIME_S = 0.02
FAULT_AFTER_S = 0.4
STREAM_BYTES = 2_000


def slow_engine_plan():
    """Return the plan with engines that take about two seconds for each stream."""
    pools = [
        msgspec.structs.replace(
            pool, knobs={"token_time": TOKEN_TIME_S, "tokens": TOKENS}
        )
        if pool.kind == "engine"
        else pool
        for pool in plan().pools
    ]
    return msgspec.structs.replace(plan(), pools=pools)


async def kill_engine(pair, deployment):
    pair.service.send(signal.SIGKILL)


async def freeze_engine(pair, deployment):
    pair.service.send(signal.SIGSTOP)


async def kill_sidecar(pair, deployment):
    pair.sidecar.send(signal.SIGKILL)


async def freeze_sidecar(pair, deployment):
    pair.sidecar.send(signal.SIGSTOP)


async def pause_sidecar(pair, deployment):
    pair.sidecar.send(signal.SIGSTOP)
    await asyncio.sleep(2.0)
    pair.sidecar.send(signal.SIGCONT)


async def cut_engine(pair, deployment):
    await deployment.set_knobs(pair.service, cut_after_tokens=3)


FAULTS = [
    kill_engine,
    freeze_engine,
    kill_sidecar,
    freeze_sidecar,
    pause_sidecar,
    cut_engine,
]


@pytest.mark.parametrize("fault", FAULTS)
def test_a_stream_resumes_at_its_offset_on_another_endpoint(fault):
    """
    A stream would stop in the middle, skip words or repeat them, when its engine or
    sidecar dies, freezes or closes the connection. Another engine must resume the
    stream at the next word.
    """

    async def scenario():
        async with open_deployment(slow_engine_plan(), servers=2) as deployment:
            complete = await deployment.call("assessment", "baler", deadline_ms=20_000)
            text = (await complete.json())["output"]["text"]
            assert len(text.split()) == TOKENS
            faulty, healthy = deployment.pool("assessment")
            before = len(await deployment.records(faulty.service))
            calls = [
                asyncio.create_task(
                    deployment.call(
                        "assessment", "baler", stream=True, deadline_ms=20_000
                    )
                )
                for _ in range(STREAMS)
            ]
            while len(await deployment.records(faulty.service)) <= before:
                await asyncio.sleep(TOKEN_TIME_S)
            await asyncio.sleep(FAULT_AFTER_S)
            await fault(faulty, deployment)
            if fault is cut_engine:
                calls += [
                    asyncio.create_task(
                        deployment.call("assessment", "baler", stream=True)
                    )
                    for _ in range(STREAMS)
                ]
            for response in await asyncio.gather(*calls):
                events = parse_events(await response.text())
                assert events[-1][0] == "done", events[-1]
                texts = [data["text"] for kind, data in events if kind == "chunk"]
                assert "".join(texts) == text
                assert events[-1][1]["output"]["text"] == text
            resumed = [
                r["resume_offset"] for r in await deployment.records(healthy.service)
            ]
            assert any(0 < offset < TOKENS for offset in resumed)

    run_async(scenario())


def test_a_stream_survives_a_link_failure():
    """
    A stream would stop in the middle when the link to the engine's host silently drops
    packets, stalls or breaks. Both ends are healthy and the connection seems open, but
    the stream must resume at another engine.
    """

    async def scenario():
        async with (
            open_deployment(slow_engine_plan(), servers=2) as deployment,
            open_relays(deployment, "assessment") as relays,
        ):
            complete = await deployment.call("assessment", "baler", deadline_ms=20_000)
            text = (await complete.json())["output"]["text"]
            link = relays[deployment.pool("assessment")[0].id]
            for fault in LinkFault:
                previous_bytes = link.forwarded_reply_bytes
                calls = [
                    asyncio.create_task(
                        deployment.call(
                            "assessment", "baler", stream=True, deadline_ms=20_000
                        )
                    )
                    for _ in range(STREAMS)
                ]
                while link.forwarded_reply_bytes < previous_bytes + STREAM_BYTES:
                    await asyncio.sleep(0.01)
                link.fail(fault)
                for response in await asyncio.gather(*calls):
                    events = parse_events(await response.text())
                    assert events[-1][0] == "done"
                    texts = "".join(d["text"] for k, d in events if k == "chunk")
                    assert texts == text
                link.clear_fault()

    run_async(scenario())


def test_a_stream_that_cannot_be_resumed_ends_in_an_error():
    """
    A caller would take part of a text for the complete one: every engine cuts its
    streams off, and the connection would close as after a complete response.
    """

    async def scenario():
        async with open_deployment(slow_engine_plan(), servers=1) as deployment:
            (engine,) = deployment.pool("assessment")
            await deployment.set_knobs(engine.service, cut_after_tokens=2)
            response = await deployment.call("assessment", "combine", stream=True)
            kind, data = parse_events(await response.text())[-1]
            assert kind == "error"
            assert data["outcome"] == "unknown"
            complete = await deployment.call("assessment", "combine")
            assert complete.status == 502

    run_async(scenario())


class EndlessSidecar(FakeSidecar):
    """Streams long chunks without end."""

    async def run(self, call, on_chunk):
        self.calls.append(call)
        offset = call.resume_offset
        while True:
            await on_chunk(offset, "word " * 10_000)
            offset += 1


def test_an_endless_stream_uses_bounded_memory():
    """
    An entry would run out of memory when an engine never ends its output: its text
    accumulates for a caller that does not read it.
    """

    async def scenario():
        sidecar = EndlessSidecar("fake-1")
        async with fake_deployment(sidecar, streams=True) as deployment:
            response = await deployment.call("echo", "claim", stream=True)
            events = parse_events(await response.text())
            assert events[-1][0] == "error"
            texts = [data["text"] for kind, data in events if kind == "chunk"]
            assert 0 < len("".join(texts)) <= MAX_TEXT_BYTES
            assert len(sidecar.calls) == 1

    run_with_capnp(scenario())


class LongSidecar(FakeSidecar):
    """Streams more data than the socket buffers between entry and caller can hold."""

    async def run(self, call, on_chunk):
        self.calls.append(call)
        for offset in range(16):
            await on_chunk(offset, "word " * 12_000)
        output = msgspec.json.encode({"chunks": 16})
        return StageReply(call.id, Status.FINISHED, output, load=self.load())


def test_a_stalled_caller_delays_no_other_caller():
    """
    A caller that stops reading in the middle of a stream would block the engine for
    other callers, and the entry could not be stopped for ten minutes.
    """

    async def scenario():
        sidecar = LongSidecar("fake-1")
        options = {"entry_overrides": {"stall_timeout": 1.0}}
        async with fake_deployment(sidecar, streams=True, **options) as deployment:
            port = deployment.entries[0].ports["port"]
            body = b'{"input": "claim", "stream": true}'
            with socket.socket() as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                caller.connect(("127.0.0.1", port))
                caller.sendall(request_head(deployment, len(body)) + body)
                while not sidecar.calls:
                    await asyncio.sleep(0.02)
                other_response = await deployment.call("echo", "claim", stream=True)
                assert parse_events(await other_response.text())[-1][0] == "done"
                assert await deployment.entries[0].stop() == 0
                assert not log_lines(deployment.entries[0], "entry_stop_forced")

    run_with_capnp(scenario())


def test_a_stream_to_a_stalled_caller_ends():
    """
    An entry could not be stopped for ten minutes: a caller opens a stream and reads
    nothing, and the response would stay open as long as the connection.
    """

    async def scenario():
        error_text = asyncio.get_running_loop().create_future()

        async def handle(request):
            stream = EventStream(request, stall_timeout_s=0.5)
            await stream.open()
            try:
                for _ in range(400):
                    await stream.send("chunk", b"x" * 65_536)
            except ConnectionResetError as error:
                error_text.set_result(str(error))
                raise

        app = web.Application()
        app.router.add_get("/", handle)
        async with serve_http(app, "127.0.0.1:0", 0.1) as port:
            with socket.socket() as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                caller.connect(("127.0.0.1", port))
                caller.sendall(b"GET / HTTP/1.1\r\nHost: entry\r\n\r\n")
                assert await error_text == "the caller reads nothing"

    run_async(scenario())


def request_head(deployment, length):
    """Return the request line and the headers of a request."""
    key = deployment.plan.accounts[0].key
    return (
        "POST /v1/pipelines/echo/requests HTTP/1.1\r\nHost: entry\r\n"
        f"Authorization: Bearer {key}\r\nContent-Length: {length}\r\n\r\n"
    ).encode()


def test_chunks_are_appended_once_in_order_and_from_one_text():
    """
    A text would be a mixture of two: a stream is hedged, and the second engine
    generates a different text, whose chunks would be appended to the first engine's.
    """
    text = StreamText()
    assert text.add(0, "check ") is ChunkOutcome.APPENDED
    assert text.add(2, "line ") is ChunkOutcome.DROPPED
    assert text.add(0, "check ") is ChunkOutcome.DROPPED
    assert text.add(0, "drain ") is ChunkOutcome.DIVERGENT
    assert text.add(1, "the ") is ChunkOutcome.APPENDED
    assert text.add(2, "x" * MAX_TEXT_BYTES) is ChunkOutcome.TOO_LONG
    assert str(text) == "check the "
