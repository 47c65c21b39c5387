"""Failures that joining the chunks of many streams into one message could cause."""

import asyncio

import msgspec
import pytest

from amaranthtally.wire import (
    CallId,
    ReplyMismatchError,
    StageCall,
    StageReply,
    Status,
    connect_sidecar,
    serve_sidecar,
)
from amaranthtally.wire.chunk_batcher import MAX_UNACKNOWLEDGED_CHARS, ChunkBatcher
from amaranthtally.wire.messages import StreamPart
from amaranthtally.wire.streams import OpenStreams
from tests.lifecycle.support import (
    CHUNKS,
    FakeSidecar,
    chunk_text,
    complete_text,
    fake_deployment,
    run_with_capnp,
)
from tests.support import parse_events, run_async

CALLERS = 8
FOREVER_S = 3600.0


class FailingSidecar(FakeSidecar):
    """A sidecar whose engine fails in each stream, a few chunks after a message."""

    async def run(self, call, on_chunk):
        self.calls.append(call)
        for offset in range(call.resume_offset, CHUNKS // 2):
            await on_chunk(offset, chunk_text(call, offset))
        return StageReply(call.id, Status.FAILED, reason="died", load=self.load())


def test_buffered_chunks_of_a_failed_engine_are_neither_lost_nor_duplicated():
    """
    Guards against lost or duplicated chunks in a resumed stream. An engine fails while
    chunks wait for the next message. If the entry received the failure first, it would
    resume the stream too early, and the buffered chunks would arrive later or never.
    Each chunk must arrive before the reply, so that the stream resumes where the engine
    stopped.
    """

    async def scenario():
        failing, working = FailingSidecar("fake-1"), FakeSidecar("fake-2")
        async with fake_deployment(failing, working, streams=True) as deployment:
            answers = await asyncio.gather(
                *(
                    deployment.call("echo", f"claim {n}", stream=True)
                    for n in range(CALLERS)
                )
            )
            for number, answer in enumerate(answers):
                events = parse_events(await answer.text())
                assert events[-1][0] == "done", events
                text = "".join(d["text"] for kind, d in events if kind == "chunk")
                assert text == complete_text(f"claim {number}")
                assert events[-1][1]["output"]["text"] == text
            failed = {call.id.request_id for call in failing.calls}
            assert failed
            resumed = [c for c in working.calls if c.id.request_id in failed]
            assert {c.resume_offset for c in resumed} == {CHUNKS // 2}

    run_with_capnp(scenario())


class DelayedEntry:
    """An entry that acknowledges received parts only after ``acknowledge`` is set."""

    def __init__(self):
        self.received = []
        self.acknowledge = asyncio.Event()

    async def send(self, parts):
        self.received.append([(p.stream, p.offset, tuple(p.texts)) for p in parts])
        await self.acknowledge.wait()


async def run_ready():
    """Run the event loop until every ready task has run."""
    for _ in range(10):
        await asyncio.sleep(0)


def call_id(number):
    return CallId(f"request-{number}", 0, 1)


def test_a_streams_first_chunk_is_sent_at_once_with_all_buffered_chunks():
    """
    Guards against a late first word and against other streams that stall. Chunks are
    buffered to share messages; the first chunk of a stream must not be.
    """

    async def scenario():
        entry = DelayedEntry()
        batcher = ChunkBatcher(entry.send, interval_s=FOREVER_S)
        with (
            batcher.open(1, call_id(1)) as first,
            batcher.open(2, call_id(2)) as second,
        ):
            await first.put(3, "a")
            await run_ready()
            await first.put(4, "b")
            await first.put(5, "c")
            await run_ready()
            assert entry.received == [[(1, 3, ("a",))]]
            await second.put(0, "x")
            await run_ready()
            assert entry.received[1:] == [[(1, 4, ("b", "c")), (2, 0, ("x",))]]

    run_async(scenario())


def test_a_stream_ends_after_its_last_chunks_were_acknowledged():
    """
    Guards against an answer that is taken for truncated and runs again. Its reply
    overtook the last chunks, which were still buffered or in transit.
    """

    async def scenario():
        entry = DelayedEntry()
        batcher = ChunkBatcher(entry.send, interval_s=FOREVER_S)
        with batcher.open(1, call_id(1)) as chunks:
            await chunks.put(0, "a")
            await run_ready()
            await chunks.put(1, "b")
            ending = asyncio.create_task(chunks.finish())
            await run_ready()
            assert entry.received == [[(1, 0, ("a",))], [(1, 1, ("b",))]]
            assert not ending.done()
            entry.acknowledge.set()
            await ending

    run_async(scenario())


@pytest.mark.parametrize("acknowledges", [False, True])
def test_a_sidecars_buffer_for_an_entry_is_bounded(acknowledges):
    """
    Guards against a sidecar that runs out of memory, which ends every stream on its
    engine. One entry stalls, and the chunks for its callers accumulate.
    """

    async def scenario():
        entry = DelayedEntry()
        if acknowledges:
            entry.acknowledge.set()
        batcher = ChunkBatcher(entry.send, interval_s=FOREVER_S)
        size = MAX_UNACKNOWLEDGED_CHARS // 4

        async def produce():
            with batcher.open(1, call_id(1)) as chunks:
                for offset in range(100):
                    await chunks.put(offset, "x" * size)

        producing = asyncio.create_task(produce())
        await run_ready()
        assert not producing.done()
        held = sum(map(len, [t for p in batcher._pending.values() for t in p.texts]))
        sent = sum(len(t) for parts in entry.received for _, _, ts in parts for t in ts)
        pending = held if acknowledges else held + sent
        assert pending <= MAX_UNACKNOWLEDGED_CHARS + size
        # Closing the connection must unblock the producer, or it would occupy its slot
        # at the engine for ever.
        batcher.close()
        await producing

    run_async(scenario())


def test_the_buffered_chunks_of_a_cancelled_stream_are_dropped():
    """
    Guards against chunks of a cancelled request that are still sent. They use up the
    buffer of the running streams until these stall.
    """

    async def scenario():
        entry = DelayedEntry()
        batcher = ChunkBatcher(entry.send, interval_s=FOREVER_S)
        with batcher.open(1, call_id(1)) as cancelled:
            await cancelled.put(0, "a")
            await run_ready()
            await cancelled.put(1, "b")
        await cancelled.put(2, "c")
        with batcher.open(2, call_id(2)) as chunks:
            await chunks.put(0, "x")
            await run_ready()
        assert entry.received == [[(1, 0, ("a",))], [(2, 0, ("x",))]]

    run_async(scenario())


def test_a_chunk_that_one_stream_rejects_does_not_affect_the_others():
    """
    Guards against a joined message that fails as a whole, so that all callers of an
    engine lose their streams. One chunk belonged to another request or caused an error
    at the entry.
    """
    streams = OpenStreams("sidecar")
    received = []

    def failing_handler(offset, texts):
        raise ValueError(offset)

    def handler(offset, texts):
        received.append((offset, *texts))

    with (
        streams.open(call_id(1), failing_handler) as first,
        streams.open(call_id(2), handler) as second,
        streams.open(call_id(3), handler) as third,
    ):
        streams.receive(StreamPart(first.number, call_id(1), 0, ["a"]))
        streams.receive(StreamPart(second.number, call_id(1), 0, ["b"]))
        streams.receive(StreamPart(third.number, call_id(3), 0, ["c"]))
        streams.receive(StreamPart(99, call_id(4), 0, ["d"]))
        assert received == [(0, "c")]
        with pytest.raises(Exception, match="handler of a chunk"):
            first.check()
        with pytest.raises(ReplyMismatchError):
            second.check()
        third.check()


class ManyStreams(FakeSidecar):
    """A sidecar whose streams yield to the event loop after each chunk."""

    async def run(self, call, on_chunk):
        for offset in range(call.resume_offset, CHUNKS):
            await on_chunk(offset, f"{call.id.request_id}:{offset} ")
            await asyncio.sleep(0)
        output = msgspec.json.encode({"chunks": CHUNKS})
        return StageReply(call.id, Status.FINISHED, output, load=self.load())


def test_joined_streams_arrive_complete_and_in_order_before_their_replies():
    """
    Guards against chunks that are lost or reach the wrong caller. Chunks of many
    streams share messages, of which several are in transit at once.
    """

    async def scenario():
        async with serve_sidecar(ManyStreams("fake-1"), "127.0.0.1", 0) as port:
            client = await connect_sidecar("127.0.0.1", port, 5.0)
            await client.hello("entry-1", 0, ManyStreams("source"))

            async def stream(number):
                received = []

                def on_chunk(offset, texts):
                    assert offset == len(received)
                    received.extend(texts)

                call = StageCall(call_id(number), "a", "echo", b"1", 5.0)
                await client.run(call, on_chunk)
                return received

            for number, received in enumerate(
                await asyncio.gather(*(stream(n) for n in range(40)))
            ):
                assert received == [f"request-{number}:{o} " for o in range(CHUNKS)]
            client.close()

    run_with_capnp(scenario())
