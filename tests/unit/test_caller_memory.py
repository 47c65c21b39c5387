"""What is held for a caller's request, without a gateway."""

import asyncio

from amaranthtally.daemon.gateway.caller_memory import EntryMemory
from amaranthtally.policy import build_memory_budget
from tests.support import run_async


def test_a_request_that_is_ended_before_it_is_submitted_ends_once_it_is():
    """Guards against a request that is counted as ended, and goes on uncounted."""

    async def check():
        budget = build_memory_budget()
        budget.set_limit(1000)
        memory = EntryMemory(budget=budget).open()
        memory.add(2000)
        assert memory.is_ended and budget.used == 0
        ended = []
        memory.call_on_excess(ended.append)
        await asyncio.sleep(0)
        assert ended == [2000]

    run_async(check())


def test_what_comes_takes_the_place_of_what_was_expected():
    """Guards against a response that is counted twice, or still once it is smaller."""

    async def check():
        budget = build_memory_budget()
        budget.set_limit(10_000)
        memory = EntryMemory(budget=budget).open()
        memory.reserve(1000)
        memory.add(400)
        assert budget.used == 1000
        memory.end_reservation()
        assert budget.used == 400
        memory.add(500)
        assert budget.used == 900
        memory.close()
        assert budget.used == 0

    run_async(check())
