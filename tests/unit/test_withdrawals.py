"""Withdrawals of queued calls that may run at most once."""

import asyncio
from types import SimpleNamespace

import pytest

from amaranthtally.daemon.entry.executor import Executor
from amaranthtally.daemon.sidecar.at_most_once import AtMostOnceCalls
from amaranthtally.daemon.supervision import Supervisor
from amaranthtally.policy import (
    PolicySettings,
    RefusalReason,
    Refuse,
    RequestOutcome,
)
from amaranthtally.policy.at_most_once import CallLedger
from amaranthtally.policy.handover import ReceivedHandovers
from amaranthtally.wire import (
    AtMostOnceTerms,
    CallId,
    Load,
    OutcomeQuery,
    StageCall,
    StageReply,
    Status,
)
from tests.support import run_async

KEY = "account/pipeline/key"
TERMS = AtMostOnceTerms(incarnation=1, fingerprint="input")
CALL = StageCall(
    CallId("request", 0, 1),
    "account",
    "dispatch",
    b"{}",
    0.3,
    repeatable=False,
    terms=TERMS,
    call_key=KEY,
)


class QueueRunner:
    """A queue in which the test decides when a call starts or is dropped."""

    clock_s = 1.0

    def __init__(self):
        self.calls = None
        self.start = None
        self.is_queued = False

    def refusal(self, call):
        return ""

    async def run_queued(self, call, on_chunk):
        self.start = asyncio.get_running_loop().create_future()
        self.is_queued = True
        if not await self.start:
            return self.not_run(call.id, "dropped")
        self.calls.started(call.call_key)
        await asyncio.sleep(0.05)
        return self.reply(call.id, Status.FINISHED)

    def decide(self, may_start):
        """Start or drop the call; its task learns of it when it runs next."""
        self.is_queued = False
        self.start.set_result(may_start)

    def cancel_queued(self, call_id):
        if self.is_queued:
            self.decide(False)
            return True
        return False

    def load(self):
        return Load()

    def not_run(self, call_id, reason):
        return self.reply(call_id, Status.NOT_RUN, reason=reason)

    def reply(self, call_id, status, **fields):
        return StageReply(id=call_id, status=status, load=self.load(), **fields)


async def ignore_chunk(chunk):
    pass


def status_of_withdrawal(decide):
    """Return the answer to a withdrawal that comes right after ``decide``."""

    async def run():
        runner = QueueRunner()
        ledger = CallLedger(1, 10, 60.0)
        calls = AtMostOnceCalls(ledger, ReceivedHandovers(10), runner, Supervisor())
        runner.calls = calls
        running = asyncio.create_task(calls.run(CALL, ignore_chunk))
        while runner.start is None:
            await asyncio.sleep(0)
        decide(runner)
        reply = await calls.query_outcome(KEY, TERMS, OutcomeQuery.WITHDRAW)
        await running
        return reply.status

    return run_async(run())


def test_a_queued_call_is_withdrawn():
    assert status_of_withdrawal(lambda runner: None) is Status.NOT_RUN


def test_a_call_that_the_queue_has_just_dropped_is_reported_as_not_run():
    """Guards against ``unknown`` for a call whose queue dropped it at the deadline."""
    assert status_of_withdrawal(lambda r: r.decide(False)) is Status.NOT_RUN


def test_a_call_that_the_queue_has_just_started_is_not_reported_as_not_run():
    """Guards against a promise that a call never runs while it begins to run."""
    assert status_of_withdrawal(lambda r: r.decide(True)) is Status.UNKNOWN


@pytest.mark.parametrize("turns", [0, 1])
def test_a_call_that_is_not_in_the_queue_yet_is_withdrawn(turns):
    """Guards against ``unknown`` for a call whose withdrawal comes right behind it."""

    async def run():
        runner = QueueRunner()
        calls = AtMostOnceCalls(
            CallLedger(1, 10, 60.0), ReceivedHandovers(10), runner, Supervisor()
        )
        runner.calls = calls
        running = asyncio.create_task(calls.run(CALL, ignore_chunk))
        await asyncio.sleep(0)
        for _ in range(turns):
            await asyncio.sleep(0)
        reply = await calls.query_outcome(KEY, TERMS, OutcomeQuery.WITHDRAW)
        await running
        return reply.status

    assert run_async(run()) is Status.NOT_RUN


def test_a_request_whose_withdrawal_fails_is_refused_as_unknown():
    """Guards against a caller that waits for ever as a background task has failed."""
    refusals = []

    async def fail(bound):
        raise ValueError("an answer that cannot be handled")

    async def check():
        supervisor = Supervisor()
        executor = Executor(None, PolicySettings(0, "r", "dc"), None, supervisor)
        executor._outcome_querier = SimpleNamespace(withdraw=fail)
        executor._requests["order"] = SimpleNamespace(
            bound=object(), tasks={}, refuse=refusals.append
        )
        refusal = Refuse("order", RequestOutcome.NOT_RUN, RefusalReason.STOPPING, 1.0)
        executor._refuse(refusal)
        while executor.in_flight:
            await asyncio.sleep(0)
        assert supervisor.failures == {"Executor._withdraw": 1}

    run_async(check())
    assert [refusal.outcome for refusal in refusals] == [RequestOutcome.UNKNOWN]
