"""Whether what is held is what the store has, by calls sent after the question."""

import asyncio

import pytest
from result import Err, Ok

from amaranthtally.adapter.store import StoreEvents, StoreItem
from amaranthtally.daemon.gateway.store_confirmation import (
    CALL_INTERVAL_S,
    CALL_TIMEOUT_S,
    StoreConfirmation,
)
from amaranthtally.daemon.gateway.store_replica import StoreReplica
from amaranthtally.platform import PlatformHistoryCompacted, PlatformUnavailable
from tests.support.virtual_time import run_on_virtual_time

HELD = 5
WITHIN_S = 1.0
ROUND_TRIP_S = 0.1


class Listener:
    def __init__(self):
        self.changed = []

    def replace(self, items):
        pass

    def apply_change(self, item):
        self.changed.append(item.key)

    def changes_applied(self):
        pass


class Store:
    """A store that answers after a while, or with an error, or not at all."""

    def __init__(self):
        self.revision = HELD
        self.events = []
        self.error = None
        self.is_silent = False
        self.before_answer = lambda: None
        self.sent_at = []

    async def watch(self, prefix, after, wait_s):
        assert (prefix, wait_s) == ("", 0.0)
        self.sent_at.append(asyncio.get_running_loop().time())
        if self.is_silent:
            await asyncio.sleep(1e6)
        events = [item for item in self.events if item.revision > after]
        answer = StoreEvents(tuple(events), self.revision)
        await asyncio.sleep(ROUND_TRIP_S)
        self.before_answer()
        return Err(self.error) if self.error else Ok(answer)

    def put(self, key):
        self.revision += 1
        self.events.append(StoreItem(key, b"1", self.revision))


class Confirming:
    def __init__(self):
        self.store, self.listener = Store(), Listener()
        self.replica = StoreReplica(self.listener)
        self.replica.replace((), HELD)
        self.tasks = []
        self.confirmation = StoreConfirmation(
            self.store,
            self.replica,
            lambda work: self.tasks.append(asyncio.create_task(work)),
        )

    async def confirm(self, within_s=WITHIN_S):
        return await self.confirmation.confirm(within_s)


def run(check):
    async def with_confirming():
        await check(Confirming())

    run_on_virtual_time(with_confirming())


def test_what_the_store_has_more_is_applied_before_it_is_confirmed():
    """Guards against a decision on records that the answer itself makes old."""

    async def check(case):
        case.store.put("servers/new")
        assert await case.confirm()
        assert case.listener.changed == ["servers/new"]
        assert case.replica.revision == HELD + 1

    run(check)


def test_a_question_is_answered_by_a_later_call_only():
    """Guards against an answer that was on its way before the question."""

    async def check(case):
        first = asyncio.create_task(case.confirm())
        await asyncio.sleep(ROUND_TRIP_S / 2)
        case.store.put("servers/new")
        later = [asyncio.create_task(case.confirm()) for _ in range(50)]
        assert await first
        assert case.replica.revision == HELD
        assert all(await asyncio.gather(*later))
        assert case.replica.revision == HELD + 1
        assert case.store.sent_at == pytest.approx([0.0, CALL_INTERVAL_S])

    run(check)


def test_a_silent_store_confirms_nothing_and_is_asked_again():
    """Guards against a wait without end, also for those who ask after the fault."""

    async def check(case):
        case.store.is_silent = True
        started = asyncio.get_running_loop().time()
        waiting = [asyncio.create_task(case.confirm(10.0)) for _ in range(3)]
        await asyncio.sleep(CALL_TIMEOUT_S / 2)
        late = asyncio.create_task(case.confirm(CALL_TIMEOUT_S / 4))
        assert not await late
        assert not any(await asyncio.gather(*waiting))
        assert asyncio.get_running_loop().time() - started <= CALL_TIMEOUT_S
        case.store.is_silent = False
        assert await case.confirm()

    run(check)


@pytest.mark.parametrize(
    "error", [PlatformUnavailable("503"), PlatformHistoryCompacted()]
)
def test_an_error_confirms_nothing(error):
    """Guards against a failed call that is taken for one without news."""

    async def check(case):
        case.store.error = error
        assert not await case.confirm()

    run(check)


def test_records_that_are_ahead_or_missing_are_not_confirmed():
    """Guards against records of a peer that the store has never had, and of nobody."""

    async def check(case):
        case.store.revision = HELD - 1
        assert not await case.confirm()
        case.replica.clear()
        assert not await case.confirm()
        assert len(case.store.sent_at) == 1

    run(check)


def test_changes_are_not_applied_to_records_that_were_discarded_meanwhile():
    """Guards against a replica that holds the last changes only."""

    async def check(case):
        case.store.put("servers/new")
        case.store.before_answer = case.replica.clear
        assert not await case.confirm()
        assert case.replica.revision == 0

    run(check)


def test_an_exception_leaves_the_next_question_answered():
    """Guards against one record that ends all confirmations for good."""

    async def check(case):
        case.store.before_answer = lambda: 1 / 0
        assert not await case.confirm()
        with pytest.raises(ZeroDivisionError):
            await case.tasks.pop()
        case.store.before_answer = lambda: None
        assert await case.confirm()

    run(check)
