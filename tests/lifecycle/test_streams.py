"""Each stream is whole and its own, or ends in an explicit error."""

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
from amaranthtally.daemon.lifecycle import serve_http
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

STREAMS = 8
TOKENS = 100
TOKEN_TIME_S = 0.02
FAULT_AFTER_S = 0.4
STREAM_BYTES = 2_000


def slow_engines():
    """Return the plan with engines that take about two seconds for a stream."""
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
def test_a_stream_goes_on_elsewhere_at_its_offset(fault):
    """
    A mechanic's repair procedure stops in the middle, or skips a step, or repeats
    one. The engine dies, freezes or cuts the connection while it streams, or its
    sidecar does, and another one has to go on at the word that comes next.
    """

    async def scenario():
        async with open_deployment(slow_engines(), servers=2) as deployment:
            whole = await deployment.call("assessment", "baler", deadline_ms=20_000)
            text = (await whole.json())["output"]["text"]
            assert len(text.split()) == TOKENS
            bad, good = deployment.pool("assessment")
            before = len(await deployment.records(bad.service))
            calls = [
                asyncio.create_task(
                    deployment.call(
                        "assessment", "baler", stream=True, deadline_ms=20_000
                    )
                )
                for _ in range(STREAMS)
            ]
            while len(await deployment.records(bad.service)) <= before:
                await asyncio.sleep(TOKEN_TIME_S)
            await asyncio.sleep(FAULT_AFTER_S)
            await fault(bad, deployment)
            if fault is cut_engine:
                calls += [
                    asyncio.create_task(
                        deployment.call("assessment", "baler", stream=True)
                    )
                    for _ in range(STREAMS)
                ]
            for answer in await asyncio.gather(*calls):
                events = parse_events(await answer.text())
                assert events[-1][0] == "done", events[-1]
                parts = [data["text"] for kind, data in events if kind == "chunk"]
                assert "".join(parts) == text
                assert events[-1][1]["output"]["text"] == text
            resumed = [
                r["resume_offset"] for r in await deployment.records(good.service)
            ]
            assert any(0 < offset < TOKENS for offset in resumed)

    run_async(scenario())


def test_a_stream_outlives_a_link_that_fails():
    """
    A mechanic's repair procedure stops in the middle: the link to the engine's host
    drops packets without a word, stands still, or breaks. Both ends are sound, and
    the connection looks open; the stream has to go on at another engine.
    """

    async def scenario():
        async with (
            open_deployment(slow_engines(), servers=2) as deployment,
            open_relays(deployment, "assessment") as relays,
        ):
            whole = await deployment.call("assessment", "baler", deadline_ms=20_000)
            text = (await whole.json())["output"]["text"]
            link = relays[deployment.pool("assessment")[0].id]
            for fault in LinkFault:
                carried = link.carried
                calls = [
                    asyncio.create_task(
                        deployment.call(
                            "assessment", "baler", stream=True, deadline_ms=20_000
                        )
                    )
                    for _ in range(STREAMS)
                ]
                while link.carried < carried + STREAM_BYTES:
                    await asyncio.sleep(0.01)
                link.fail(fault)
                for answer in await asyncio.gather(*calls):
                    events = parse_events(await answer.text())
                    assert events[-1][0] == "done"
                    parts = "".join(d["text"] for k, d in events if k == "chunk")
                    assert parts == text
                link.heal()

    run_async(scenario())


def test_a_stream_that_cannot_go_on_ends_in_an_error():
    """
    A caller takes half a repair procedure for the whole. Every engine cuts its
    streams; the chunks stop and the connection closes as after a whole answer.
    """

    async def scenario():
        async with open_deployment(slow_engines(), servers=1) as deployment:
            (engine,) = deployment.pool("assessment")
            await deployment.set_knobs(engine.service, cut_after_tokens=2)
            answer = await deployment.call("assessment", "combine", stream=True)
            kind, data = parse_events(await answer.text())[-1]
            assert kind == "error"
            assert data["outcome"] == "unknown"
            whole = await deployment.call("assessment", "combine")
            assert whole.status == 502

    run_async(scenario())


class EndlessSidecar(FakeSidecar):
    """Streams long chunks without end."""

    async def run(self, call, on_chunk):
        self.calls.append(call)
        offset = call.resume_offset
        while True:
            await on_chunk(offset, "word " * 10_000)
            offset += 1


def test_a_stream_without_end_takes_a_bounded_share_of_memory():
    """
    The entry of every caller runs out of memory. An engine that never ends its
    answer fills the queue of a caller who reads nothing.
    """

    async def scenario():
        endless = EndlessSidecar("fake-1")
        async with fake_deployment(endless, streams=True) as deployment:
            answer = await deployment.call("echo", "claim", stream=True)
            events = parse_events(await answer.text())
            assert events[-1][0] == "error"
            parts = [data["text"] for kind, data in events if kind == "chunk"]
            assert 0 < len("".join(parts)) <= MAX_TEXT_BYTES
            assert len(endless.calls) == 1

    run_with_capnp(scenario())


class LongSidecar(FakeSidecar):
    """Streams more than the sockets between an entry and its caller hold."""

    async def run(self, call, on_chunk):
        self.calls.append(call)
        for offset in range(16):
            await on_chunk(offset, "word " * 12_000)
        output = msgspec.json.encode({"chunks": 16})
        return StageReply(call.id, Status.FINISHED, output, load=self.load())


def test_a_caller_that_reads_nothing_holds_up_nobody():
    """
    One tester closes the lid of a laptop in the middle of a stream; others wait for
    the engine that it holds, and the entry can't be stopped for ten minutes.
    """

    async def scenario():
        long = LongSidecar("fake-1")
        options = {"entry_overrides": {"stall_timeout": 1.0}}
        async with fake_deployment(long, streams=True, **options) as deployment:
            port = deployment.entries[0].ports["port"]
            body = b'{"input": "claim", "stream": true}'
            with socket.socket() as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                caller.connect(("127.0.0.1", port))
                caller.sendall(request_head(deployment, len(body)) + body)
                while not long.calls:
                    await asyncio.sleep(0.02)
                other = await deployment.call("echo", "claim", stream=True)
                assert parse_events(await other.text())[-1][0] == "done"
                assert await deployment.entries[0].stop() == 0
                assert not log_lines(deployment.entries[0], "entry_stop_forced")

    run_with_capnp(scenario())


def test_a_stream_to_a_caller_that_stands_still_ends():
    """
    An entry can't be stopped for ten minutes. A caller opened a stream and reads
    nothing; its response stays open for as long as the connection does.
    """

    async def scenario():
        ended = asyncio.get_running_loop().create_future()

        async def handle(request):
            stream = EventStream(request, stall_timeout_s=0.5)
            await stream.open()
            try:
                for _ in range(400):
                    await stream.send("chunk", b"x" * 65_536)
            except ConnectionResetError as error:
                ended.set_result(str(error))
                raise

        app = web.Application()
        app.router.add_get("/", handle)
        async with serve_http(app, "127.0.0.1:0", 0.1) as port:
            with socket.socket() as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                caller.connect(("127.0.0.1", port))
                caller.sendall(b"GET / HTTP/1.1\r\nHost: entry\r\n\r\n")
                assert await ended == "the caller reads nothing"

    run_async(scenario())


def request_head(deployment, length):
    """Return the head of a caller's request."""
    key = deployment.plan.accounts[0].key
    return (
        "POST /v1/pipelines/echo/requests HTTP/1.1\r\nHost: entry\r\n"
        f"Authorization: Bearer {key}\r\nContent-Length: {length}\r\n\r\n"
    ).encode()


def test_chunks_count_once_in_order_and_from_one_text():
    """
    A procedure reads as a mixture of two. A stream is hedged, and the second
    engine words it differently: its chunks would follow the first engine's.
    """
    text = StreamText()
    assert text.add(0, "check ") is ChunkOutcome.APPENDED
    assert text.add(2, "line ") is ChunkOutcome.DROPPED
    assert text.add(0, "check ") is ChunkOutcome.DROPPED
    assert text.add(0, "drain ") is ChunkOutcome.DIVERGENT
    assert text.add(1, "the ") is ChunkOutcome.APPENDED
    assert text.add(2, "x" * MAX_TEXT_BYTES) is ChunkOutcome.TOO_LONG
    assert str(text) == "check the "
