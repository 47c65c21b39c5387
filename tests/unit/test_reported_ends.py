"""The policy is told the end of each call to an endpoint, whatever is raised."""

import asyncio
from types import SimpleNamespace

import pytest

from amaranthtally.daemon.gateway.endpoint_calls import EndpointCalls
from amaranthtally.daemon.gateway.piece_calls import PieceCalls
from amaranthtally.daemon.supervision import Supervisor
from amaranthtally.policy import (
    AttemptId,
    AttemptOutcome,
    CallKind,
    PiecesEnded,
    Send,
    build_response_limits,
)
from tests.policy.pieces import endpoint
from tests.support import run_async

LIMITS = build_response_limits()
ERRORS = [RuntimeError("a fault"), asyncio.CancelledError()]


def run_failing(error, prepare):
    """Run a call whose session raises; return what was reported and the failures."""
    ends = []

    async def request(*arguments, **options):
        raise error

    async def check():
        session = SimpleNamespace(request=request)
        supervisor = Supervisor()
        work = prepare(session, lambda call, end: ends.append(end))
        await asyncio.wait([supervisor.spawn_call(work)])
        await asyncio.sleep(0)
        return supervisor.failure_count

    return ends, run_async(check())


def piece_call(session, on_end):
    calls = PieceCalls(session, on_end, None, SimpleNamespace(), LIMITS)
    return calls.run(SimpleNamespace(call=1, pieces=(), timeout_s=1.0), endpoint("e"))


def request_call(session, on_end):
    call = SimpleNamespace(
        id="r",
        route=SimpleNamespace(kind=CallKind.IDEMPOTENT, is_repeatable=False, stages=()),
        caller=SimpleNamespace(headers=()),
        tried_endpoints=set(),
        attempts=0,
        account="",
        last_event="",
        method="POST",
        target="/",
        body=b"",
    )
    listener = SimpleNamespace(attempt_ended=on_end)
    calls = EndpointCalls(session, listener, None, LIMITS)
    send = Send(AttemptId("r", 0, 1), "e", 1e9)
    return calls.run(call, send, endpoint("e"), ())


@pytest.mark.parametrize("error", ERRORS)
def test_a_call_with_pieces_that_raises_is_reported(error):
    """Guards against an endpoint whose place is taken for ever by a call that ended."""
    ends, failures = run_failing(error, piece_call)
    assert ends == [PiecesEnded()]
    assert failures == 1


@pytest.mark.parametrize("error", ERRORS)
def test_an_attempt_that_raises_is_reported_as_unknown(error):
    """Guards against a request that waits until its deadline for an ended attempt."""
    ends, failures = run_failing(error, request_call)
    assert [end.outcome for end in ends] == [AttemptOutcome.UNKNOWN]
    assert failures == 1
