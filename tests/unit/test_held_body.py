"""Bodies that are held in blocks, and the turns in which large ones are read."""

import asyncio
from contextlib import AsyncExitStack

import pytest

from amaranthtally.daemon.gateway import caller_memory, response_turns
from amaranthtally.daemon.gateway.caller_memory import EntryMemory
from amaranthtally.daemon.gateway.held_body import HeldBody
from amaranthtally.policy import build_memory_budget
from tests.support import run_async

SIZES = [0, 1, 4096, 65_536, 65_537, 1_048_576, 3_000_001]


def new_memory(limit):
    budget = build_memory_budget()
    budget.set_limit(limit)
    return EntryMemory(budget=budget)


@pytest.mark.parametrize("announces", [True, False])
@pytest.mark.parametrize("step", [1000, 16_384, 5_000_000])
@pytest.mark.parametrize("size", SIZES)
def test_a_body_is_what_was_appended(size, step, announces):
    """Guards against bytes that are lost or stand twice where two blocks meet."""
    data = (b"0123456789abcdef!" * (size // 17 + 1))[:size]
    body = HeldBody(size if announces else 0)
    for start in range(0, size, step):
        body.append(data[start : start + step])
    assert body.size == size
    assert b"".join(body.parts()) == data
    assert all(len(part) <= 4096 for part in body.parts(4096))


def test_a_large_response_waits_until_there_is_room(monkeypatch):
    """Guards against responses that come together and of which some are ended."""
    monkeypatch.setattr(response_turns, "MAX_WAIT_S", 60.0)

    async def check():
        memory = new_memory(10_000_000)
        first, second = memory.open(), memory.open()
        async with first.reading_turn(8_000_000):
            first.add(8_000_000)
        entered = asyncio.Event()

        async def read_second():
            async with second.reading_turn(3_000_000):
                entered.set()

        task = asyncio.create_task(read_second())
        await asyncio.sleep(0.01)
        assert memory.reading.waiting == 1 and not entered.is_set()
        first.close()
        await task
        assert memory.reading.waiting == 0
        assert memory.budget.used == 3_000_000
        second.close()
        assert memory.budget.used == 0

    run_async(check())


def test_a_response_that_has_waited_long_is_read(monkeypatch):
    """Guards against an endpoint that cuts off what is not read for some seconds."""
    monkeypatch.setattr(response_turns, "MAX_WAIT_S", 0.01)

    async def check():
        memory = new_memory(10_000_000)
        memory.open().add(9_000_000)
        async with memory.open().reading_turn(5_000_000):
            assert memory.reading.waiting == 0

    run_async(check())


def test_a_response_whose_request_ends_leaves_its_turn_to_others(monkeypatch):
    """Guards against turns that nobody gets any more, so that all wait."""
    monkeypatch.setattr(response_turns, "MAX_WAIT_S", 60.0)

    async def check():
        memory = new_memory(10_000_000)
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(memory.open().reading_turn(3_500_000))
            tasks = [
                asyncio.create_task(enter(memory.open(), 3_000_000)) for _ in range(3)
            ]
            await asyncio.sleep(0.01)
            assert memory.reading.waiting == 3
            tasks[0].cancel()
            await asyncio.gather(tasks[0], return_exceptions=True)
        await asyncio.gather(*tasks[1:])
        assert memory.reading.waiting == 0

    async def enter(holder, size):
        async with holder.reading_turn(size):
            await asyncio.sleep(0)
        holder.close()

    run_async(check())


def test_what_is_announced_does_not_hide_the_process_own_need(monkeypatch):
    """Guards against a limit that is too high while announced bodies are on the way."""
    resident = 200_000_000
    monkeypatch.setattr(caller_memory, "resident_bytes", lambda: resident)

    async def check():
        memory = EntryMemory(1000)
        limit = memory.budget.limit
        caller = memory.open()
        caller.reserve(100_000_000)
        memory.update_limit(resident)
        assert memory.budget.limit <= limit
        caller.close()

    run_async(check())
