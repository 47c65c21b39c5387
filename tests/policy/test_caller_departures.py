"""Tests that pieces are not computed for callers that will have disconnected."""

from amaranthtally.policy import (
    PieceOutcome,
    PiecesEnded,
    PieceStage,
    PieceWork,
    RefusalReason,
    Refuse,
    RequestOutcome,
    RunPieces,
)
from tests.policy.pieces import CATALOGUE, CLUJ, POOLS, endpoint
from tests.policy.support import PlannerDriver, endpoints, one_stage, planner

NOW = 1.0
DEADLINE_S, CALLER_TIMEOUT_S = 20.0, 5.0


def driver():
    all_endpoints = endpoints("engine") | {
        "catalogue": endpoint("catalogue", data_centre=CLUJ)
    }
    return PlannerDriver(planner(all_endpoints, pools=POOLS), one_stage())


def arrive(driver, now=NOW, pieces=1, **options):
    work = PieceWork((PieceStage("catalogue", (), 8e3),), (pieces,), "key")
    return driver.arrive(now, deadline_s=DEADLINE_S, piece_work=work, **options)


def refusals(actions):
    return [action for action in actions if isinstance(action, Refuse)]


def fill(driver, seconds):
    """Queue requests that keep the endpoint busy for this many seconds."""
    calls = round(seconds / CATALOGUE.full_call_time_s())
    for _ in range(calls):
        assert not refusals(arrive(driver, pieces=CATALOGUE.batch))


def test_a_request_that_can_not_begin_before_its_caller_leaves_is_refused_at_once():
    """
    In a burst, callers of the least urgent kind disconnected without an answer. Their
    requests had a deadline of 20 s, but these callers close a stream without events
    after nine seconds. The requests were queued for eight, and a twentieth of all stage
    work was done for callers that had disconnected.
    """
    crowded = driver()
    fill(crowded, CALLER_TIMEOUT_S + 1.0)
    (refusal,) = refusals(arrive(crowded, caller_timeout_at=NOW + CALLER_TIMEOUT_S))
    assert refusal.reason is RefusalReason.OVERLOAD
    assert refusal.retry_after_s >= 1.0
    assert not refusals(arrive(crowded))


def test_a_caller_that_waits_long_enough_is_served():
    calm = driver()
    actions = arrive(calm, caller_timeout_at=NOW + CALLER_TIMEOUT_S)
    actions += calm.planner.tick(NOW + 0.1)
    assert [a for a in actions if isinstance(a, RunPieces)]


def test_a_piece_is_not_computed_once_its_caller_will_have_left():
    """If the endpoint hangs, its queued pieces are dropped when the caller leaves."""
    stuck = driver()
    arrive(stuck, caller_timeout_at=NOW + CALLER_TIMEOUT_S)
    (call,) = [a for a in stuck.planner.tick(NOW + 0.1) if isinstance(a, RunPieces)]
    assert call.pieces[0].deadline <= NOW + CALLER_TIMEOUT_S


def test_a_piece_is_not_computed_once_its_engine_would_have_no_time_to_answer():
    """Callers waited until their deadline for results that no engine could use."""
    engine_s = 3.0
    slow = driver()
    slow.train(run_s=engine_s)
    now = 40 * engine_s
    arrive(slow, now)
    (call,) = [a for a in slow.planner.tick(now + 0.1) if isinstance(a, RunPieces)]
    call_s = CATALOGUE.call_time_s(1)
    assert call.pieces[0].deadline <= now + DEADLINE_S - 0.9 * engine_s - call_s


def test_a_request_ready_too_late_for_its_engine_is_refused_with_a_retry_time():
    """Callers got status 504, "the deadline passed", seconds before it had."""
    engine_s = 3.0
    slow = driver()
    slow.train(run_s=engine_s)
    now = 40 * engine_s
    slow.arrive(now, deadline_s=DEADLINE_S)
    arrive(slow, now)
    (call,) = [a for a in slow.planner.tick(now + 0.1) if isinstance(a, RunPieces)]
    late = now + DEADLINE_S - 0.5 * engine_s
    end = PiecesEnded(outcomes=(PieceOutcome(handle="h"),))
    (refusal,) = refusals(slow.planner.pieces.call_ended(late, call.call, end))
    assert (refusal.reason, refusal.outcome) == (
        RefusalReason.OVERLOAD,
        RequestOutcome.NOT_RUN,
    )
    assert refusal.retry_after_s > 0
