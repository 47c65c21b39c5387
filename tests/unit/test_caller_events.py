"""What a caller of a stream reads, and in which order."""

import asyncio

from amaranthtally.daemon.entry.caller_events import (
    MAX_JOINED_CHARS,
    CallerEvents,
    Chunks,
    Ending,
)
from tests.support import run_async


def test_a_slow_caller_reads_every_text_in_order_and_then_the_end():
    """
    A caller on a slow link misses words, or reads the end before them. Texts that
    wait together share a write, and the end waits beside them.
    """

    async def scenario():
        events = CallerEvents()
        long = "x" * (MAX_JOINED_CHARS + 1)
        events.put(["check ", "the "])
        events.put(["belt ", long, "y" * MAX_JOINED_CHARS, "now "])
        events.end(Ending(answer=b"whole"))
        assert [await events.next() for _ in range(5)] == [
            Chunks(("check ", "the ", "belt ")),
            Chunks((long,)),
            Chunks(("y" * MAX_JOINED_CHARS,)),
            Chunks(("now ",)),
            Ending(answer=b"whole"),
        ]
        assert await events.ending() == Ending(answer=b"whole")

    run_async(scenario())


def test_a_waiting_caller_is_woken_by_text_and_by_the_end():
    async def scenario():
        events = CallerEvents()
        reading = asyncio.create_task(events.next())
        ending = asyncio.create_task(events.ending())
        await asyncio.sleep(0)
        events.put(["check "])
        assert await reading == Chunks(("check ",))
        reading = asyncio.create_task(events.next())
        await asyncio.sleep(0)
        events.end(Ending())
        assert await reading == Ending()
        assert await ending == Ending()

    run_async(scenario())
