"""Callers of streams leave long before their deadline where nothing comes."""

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
DEADLINE_S, PATIENCE_S = 20.0, 5.0


def driver():
    found = endpoints("engine") | {"catalogue": endpoint("catalogue", place=CLUJ)}
    return PlannerDriver(planner(found, pools=POOLS), one_stage())


def arrive(driver, now=NOW, pieces=1, **options):
    work = PieceWork((PieceStage("catalogue", (), 8e3),), (pieces,), "key")
    return driver.arrive(now, deadline_s=DEADLINE_S, piece_work=work, **options)


def refusals(actions):
    return [action for action in actions if isinstance(action, Refuse)]


def fill(driver, seconds):
    """Let requests wait that need so many seconds of the endpoint."""
    calls = round(seconds / CATALOGUE.full_call_time_s())
    for _ in range(calls):
        assert not refusals(arrive(driver, pieces=CATALOGUE.batch))


def test_what_can_not_begin_before_its_caller_leaves_is_refused_at_once():
    """
    Callers of the least urgent kind leave without an answer in a burst. They say that
    they would wait for 20 s and leave a silent stream after nine; they were queued for
    eight, and a twentieth of all stage work was done for callers that had gone.
    """
    crowded = driver()
    fill(crowded, PATIENCE_S + 1.0)
    (refusal,) = refusals(arrive(crowded, caller_timeout_at=NOW + PATIENCE_S))
    assert refusal.reason is RefusalReason.OVERLOAD
    assert refusal.retry_after_s >= 1.0
    assert not refusals(arrive(crowded))


def test_a_patient_caller_is_served():
    calm = driver()
    actions = arrive(calm, caller_timeout_at=NOW + PATIENCE_S)
    actions += calm.planner.tick(NOW + 0.1)
    assert [a for a in actions if isinstance(a, RunPieces)]


def test_a_piece_is_not_made_once_its_caller_will_have_left():
    """The endpoint hangs; what waits for it is given up when its caller leaves."""
    stuck = driver()
    arrive(stuck, caller_timeout_at=NOW + PATIENCE_S)
    (call,) = [a for a in stuck.planner.tick(NOW + 0.1) if isinstance(a, RunPieces)]
    assert call.pieces[0].deadline <= NOW + PATIENCE_S


def test_a_piece_is_not_made_once_its_engine_would_have_no_time_to_answer():
    """Callers are held to their deadline for results that no engine can use in time."""
    engine_s = 3.0
    slow = driver()
    slow.train(run_s=engine_s)
    now = 40 * engine_s
    arrive(slow, now)
    (call,) = [a for a in slow.planner.tick(now + 0.1) if isinstance(a, RunPieces)]
    call_s = CATALOGUE.call_time_s(1)
    assert call.pieces[0].deadline <= now + DEADLINE_S - 0.9 * engine_s - call_s


def test_what_is_ready_too_late_for_its_engine_is_told_when_to_come_back():
    """Callers are told 504, "the deadline passed", seconds before it has."""
    engine_s = 3.0
    slow = driver()
    slow.train(run_s=engine_s)
    now = 40 * engine_s
    slow.arrive(now, deadline_s=DEADLINE_S)
    arrive(slow, now)
    (call,) = [a for a in slow.planner.tick(now + 0.1) if isinstance(a, RunPieces)]
    late = now + DEADLINE_S - 0.5 * engine_s
    made = PiecesEnded(outcomes=(PieceOutcome(handle="h"),))
    (refused,) = refusals(slow.planner.pieces_ended(late, call.call, made))
    assert (refused.reason, refused.outcome) == (
        RefusalReason.OVERLOAD,
        RequestOutcome.NOT_RUN,
    )
    assert refused.retry_after_s > 0
