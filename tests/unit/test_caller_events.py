"""The events that a caller of a stream receives, and their order."""

import asyncio

from amaranthtally.daemon.entry.caller_events import (
    MAX_BATCH_CHARS,
    CallerEvents,
    Chunks,
    RequestEnd,
)
from tests.support import run_async


def test_a_slow_caller_receives_every_text_in_order_and_then_the_end():
    """
    A caller on a slow link would miss texts, or receive the end before them: queued
    texts are batched into one write, and the end is queued separately.
    """

    async def scenario():
        events = CallerEvents()
        long = "x" * (MAX_BATCH_CHARS + 1)
        events.put(["check ", "the "])
        events.put(["belt ", long, "y" * MAX_BATCH_CHARS, "now "])
        events.end(RequestEnd(response=b"whole"))
        assert [await events.next_event() for _ in range(5)] == [
            Chunks(("check ", "the ", "belt ")),
            Chunks((long,)),
            Chunks(("y" * MAX_BATCH_CHARS,)),
            Chunks(("now ",)),
            RequestEnd(response=b"whole"),
        ]
        assert await events.wait_for_end() == RequestEnd(response=b"whole")

    run_async(scenario())


def test_text_and_the_end_wake_a_waiting_reader():
    async def scenario():
        events = CallerEvents()
        reading = asyncio.create_task(events.next_event())
        end = asyncio.create_task(events.wait_for_end())
        await asyncio.sleep(0)
        events.put(["check "])
        assert await reading == Chunks(("check ",))
        reading = asyncio.create_task(events.next_event())
        await asyncio.sleep(0)
        events.end(RequestEnd())
        assert await reading == RequestEnd()
        assert await end == RequestEnd()

    run_async(scenario())
