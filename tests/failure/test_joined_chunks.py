"""What joining the chunks of many streams into one message could break."""

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
    fake_deployment,
    run_wire,
    whole_text,
)
from tests.support import parse_events, run_async

CALLERS = 8
FOREVER_S = 3600.0


class DyingSidecar(FakeSidecar):
    """Its engine dies in each stream, a few chunks after the last message."""

    async def run(self, call, on_chunk):
        self.calls.append(call)
        for offset in range(call.resume_offset, CHUNKS // 2):
            await on_chunk(offset, chunk_text(call, offset))
        return StageReply(call.id, Status.FAILED, reason="died", load=self.load())


def test_chunks_held_back_when_an_engine_dies_are_neither_lost_nor_doubled():
    """
    A repair procedure lacks a step, or has one twice. The engine dies while chunks
    wait for the next message; the entry hears of the failure first, resumes the
    stream at what it has, and the held chunks come later or never. Each chunk must
    come before the reply, so that the resume begins where the engine stopped.
    """

    async def scenario():
        bad, good = DyingSidecar("fake-1"), FakeSidecar("fake-2")
        async with fake_deployment(bad, good, streams=True) as deployment:
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
                assert text == whole_text(f"claim {number}")
                assert events[-1][1]["output"]["text"] == text
            failed = {call.id.request_id for call in bad.calls}
            assert failed
            resumed = [c for c in good.calls if c.id.request_id in failed]
            assert {c.resume_offset for c in resumed} == {CHUNKS // 2}

    run_wire(scenario())


class HeldEntry:
    """Takes parts, and acknowledges them when told to."""

    def __init__(self):
        self.taken = []
        self.let_go = asyncio.Event()

    async def send(self, parts):
        self.taken.append([(p.stream, p.offset, tuple(p.texts)) for p in parts])
        await self.let_go.wait()


async def run_ready():
    """Let every task that can run do so."""
    for _ in range(10):
        await asyncio.sleep(0)


def call_id(number):
    return CallId(f"request-{number}", 0, 1)


def test_a_first_chunk_waits_for_nobody_and_takes_the_held_ones_along():
    """
    The first word of a tag suggestion appears late, or another tester's words stand
    still. Chunks are held back to share messages; a first one must not be.
    """

    async def scenario():
        entry = HeldEntry()
        batcher = ChunkBatcher(entry.send, interval_s=FOREVER_S)
        with batcher.open(1, call_id(1)) as one, batcher.open(2, call_id(2)) as two:
            await one.put(3, "a")
            await run_ready()
            await one.put(4, "b")
            await one.put(5, "c")
            await run_ready()
            assert entry.taken == [[(1, 3, ("a",))]]
            await two.put(0, "x")
            await run_ready()
            assert entry.taken[1:] == [[(1, 4, ("b", "c")), (2, 0, ("x",))]]

    run_async(scenario())


def test_a_stream_ends_after_its_last_chunks_were_taken():
    """
    An answer counts as cut off and runs twice. The reply overtook the last chunks,
    which were still held back, or on their way.
    """

    async def scenario():
        entry = HeldEntry()
        batcher = ChunkBatcher(entry.send, interval_s=FOREVER_S)
        with batcher.open(1, call_id(1)) as chunks:
            await chunks.put(0, "a")
            await run_ready()
            await chunks.put(1, "b")
            ending = asyncio.create_task(chunks.finish())
            await run_ready()
            assert entry.taken == [[(1, 0, ("a",))], [(1, 1, ("b",))]]
            assert not ending.done()
            entry.let_go.set()
            await ending

    run_async(scenario())


@pytest.mark.parametrize("acknowledges", [False, True])
def test_what_a_sidecar_holds_for_an_entry_is_bounded(acknowledges):
    """
    A sidecar is killed for its memory, and every stream on its engine ends. One
    entry stands still, and the engine's words for its callers pile up.
    """

    async def scenario():
        entry = HeldEntry()
        if acknowledges:
            entry.let_go.set()
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
        sent = sum(len(t) for parts in entry.taken for _, _, ts in parts for t in ts)
        waiting = held if acknowledges else held + sent
        assert waiting <= MAX_UNACKNOWLEDGED_CHARS + size
        # The end of the connection must let the producer go, or its engine's place
        # would be held for ever.
        batcher.close()
        await producing

    run_async(scenario())


def test_a_cancelled_stream_takes_its_held_chunks_along():
    """
    Words of a request that was given up come after all, and fill the share of the
    ones that go on until they stand still.
    """

    async def scenario():
        entry = HeldEntry()
        batcher = ChunkBatcher(entry.send, interval_s=FOREVER_S)
        with batcher.open(1, call_id(1)) as gone:
            await gone.put(0, "a")
            await run_ready()
            await gone.put(1, "b")
        await gone.put(2, "c")
        with batcher.open(2, call_id(2)) as chunks:
            await chunks.put(0, "x")
            await run_ready()
        assert entry.taken == [[(1, 0, ("a",))], [(2, 0, ("x",))]]

    run_async(scenario())


def test_a_chunk_that_one_stream_cannot_take_spares_the_others():
    """
    Every caller of an engine loses the stream at once. One request's chunk was
    foreign or met a fault at the entry, and the joined message failed as a whole.
    """
    streams = OpenStreams("sidecar")
    taken = []

    def broken(offset, texts):
        raise ValueError(offset)

    def take(offset, texts):
        taken.append((offset, *texts))

    with (
        streams.open(call_id(1), broken) as one,
        streams.open(call_id(2), take) as two,
        streams.open(call_id(3), take) as three,
    ):
        streams.receive(StreamPart(one.number, call_id(1), 0, ["a"]))
        streams.receive(StreamPart(two.number, call_id(1), 0, ["b"]))
        streams.receive(StreamPart(three.number, call_id(3), 0, ["c"]))
        streams.receive(StreamPart(99, call_id(4), 0, ["d"]))
        assert taken == [(0, "c")]
        with pytest.raises(Exception, match="handler of a chunk"):
            one.check()
        with pytest.raises(ReplyMismatchError):
            two.check()
        three.check()


class ManyStreams(FakeSidecar):
    """Streams on one connection, each chunk after a turn of the loop."""

    async def run(self, call, on_chunk):
        for offset in range(call.resume_offset, CHUNKS):
            await on_chunk(offset, f"{call.id.request_id}:{offset} ")
            await asyncio.sleep(0)
        output = msgspec.json.encode({"chunks": CHUNKS})
        return StageReply(call.id, Status.FINISHED, output, load=self.load())


def test_joined_streams_arrive_whole_and_in_order_before_their_replies():
    """
    Two mechanics read each other's words, or a step is missing. Chunks of many
    streams share messages, of which several are on the way at once.
    """

    async def scenario():
        async with serve_sidecar(ManyStreams("fake-1"), "127.0.0.1", 0) as port:
            client = await connect_sidecar("127.0.0.1", port, 5.0)
            await client.hello("entry-1", 0, ManyStreams("source"))

            async def stream(number):
                found = []

                def take(offset, texts):
                    assert offset == len(found)
                    found.extend(texts)

                call = StageCall(call_id(number), "a", "echo", b"1", 5.0)
                await client.run(call, take)
                return found

            for number, found in enumerate(
                await asyncio.gather(*(stream(n) for n in range(40)))
            ):
                assert found == [f"request-{number}:{o} " for o in range(CHUNKS)]
            client.close()

    run_wire(scenario())
