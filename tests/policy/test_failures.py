"""Retries, hedges, ejection, resumption of streams, and outcomes of refusals."""

from dataclasses import replace

import pytest

from amaranthtally.policy import (
    AttemptOutcome,
    Cancel,
    PollLoad,
    QueryAttempt,
    RefusalReason,
    RequestOutcome,
)
from tests.policy.support import (
    PlannerDriver,
    answered,
    endpoints,
    one_stage,
    planner,
    refusal,
    report,
    sends,
    settings,
)


def test_retries_stay_within_their_budget():
    """
    Guards against retry storms: all engines failed for a minute and stayed overloaded
    for an hour, since each request was sent three more times.
    """
    driver = PlannerDriver(planner(endpoints("engine", 10)), one_stage())
    first, total, now = 0, 0, 1.0
    for _ in range(1000):
        now += 0.001
        waiting = sends(driver.arrive(now))
        first += len(waiting)
        while waiting:
            total += 1
            waiting.extend(
                sends(driver.reply(now, waiting.pop(), AttemptOutcome.FAILED))
            )
    assert total <= first * 1.2 + 64


def test_failing_endpoint_is_ejected_and_restored_by_a_probe():
    """
    Guards against a broken engine that attracts requests: it failed so fast that it
    always had the fewest calls, and a third of all requests was sent there and failed.
    """
    driver = PlannerDriver(planner(endpoints("engine", 3)), one_stage())
    now = driver.train()
    broken, failures = "engine-1", 0
    for _ in range(100):
        now += 0.005
        (send,) = sends(driver.arrive(now))
        if send.endpoint == broken:
            failures += 1
            (send,) = sends(driver.reply(now, send, AttemptOutcome.FAILED))
        assert answered(driver.reply(now, send))
    assert failures <= 4
    now += 60.0
    used = set()
    for _ in range(12):
        now += 0.5
        (send,) = sends(driver.arrive(now))
        used.add(send.endpoint)
        driver.reply(now, send)
    assert broken in used


def test_not_all_endpoints_are_ejected():
    """
    Guards against an empty pool: a bad deployment made all engines fail for a moment,
    and all requests were then refused for half a minute, since all were ejected.
    """
    driver = PlannerDriver(planner(endpoints("engine", 4)), one_stage())
    now = driver.train()
    for _ in range(200):
        now += 0.01
        waiting = sends(driver.arrive(now))
        while waiting:
            waiting = sends(driver.reply(now, waiting[0], AttemptOutcome.FAILED))
    assert driver.planner.counters.ejections <= 2
    assert sends(driver.arrive(now + 0.01))


@pytest.mark.parametrize("how", ["notice", "settings"])
def test_an_ejected_endpoint_serves_once_the_others_leave(how):
    """
    Guards against refusals in a rolling restart: an endpoint was ejected while it
    started, the other one stopped, and requests were refused with one that could serve.
    """
    listed = endpoints("engine", 2)
    driver = PlannerDriver(planner(listed), one_stage())
    now = driver.train()
    first = [send for _ in range(8) for send in sends(driver.arrive(now))]
    for send in first:
        if send.endpoint == "engine-0":
            (send,) = sends(driver.reply(now, send, AttemptOutcome.FAILED))
        driver.reply(now, send)
    assert driver.planner.counters.ejections == 1
    if how == "notice":
        driver.planner.endpoint_leaving(now, "engine-1")
    else:
        stopping = replace(listed["engine-1"], takes_calls=False)
        changed = settings({**listed, "engine-1": stopping})
        driver.planner.settings_changed(now, changed)
    (send,) = sends(driver.arrive(now + 0.001))
    assert send.endpoint == "engine-0"
    assert answered(driver.reply(now + 0.1, send))


def test_permanent_failure_is_not_retried():
    """
    Guards against one malformed input that is sent to all engines in turn and has them
    all ejected, as its failures were counted against the engines.
    """
    driver = PlannerDriver(planner(endpoints("engine", 3)), one_stage())
    for n in range(20):
        (send,) = sends(driver.arrive(1.0 + n))
        actions = driver.reply(1.0 + n, send, AttemptOutcome.FAILED, permanent=True)
        assert refusal(actions).reason is RefusalReason.STAGE_FAILED
    assert driver.planner.counters.ejections == 0


def run_stuck_request(driver, now):
    """
    Tick until a hedge is sent for an attempt that never ends, or the deadline passes.

    Returns the attempt, the actions of the last tick if it sent a hedge, and the time.
    """
    actions = []
    (send,) = sends(driver.arrive(now))
    for step in range(1, 390):
        actions = driver.tick(now + step * 0.01)
        if sends(actions):
            return send, actions, now + step * 0.01
    return send, [], now + 4.0


def test_stuck_attempt_is_hedged_and_then_cancelled():
    """
    Guards against waiting until the deadline for an engine that hangs while two others
    are idle: a request was sent again only after its attempt had ended.
    """
    driver = PlannerDriver(planner(endpoints("engine", 3)), one_stage())
    now = driver.train()
    slow, actions, now = run_stuck_request(driver, now)
    (hedge,) = sends(actions)
    assert hedge.hedge
    assert hedge.endpoint != slow.endpoint
    ending = driver.reply(now + 0.1, hedge)
    assert answered(ending)
    assert Cancel(slow.attempt, slow.endpoint) in ending


def test_stage_with_a_side_effect_is_never_hedged():
    """
    Guards against a side effect that happens twice: the first attempt was slow and not
    lost, and a hedge ran the stage a second time.
    """
    driver = PlannerDriver(planner(endpoints("engine", 3)), one_stage(repeatable=False))
    now = driver.train()
    _, actions, _ = run_stuck_request(driver, now)
    assert not sends(actions)


def test_hedges_stay_within_their_budget():
    """
    Guards against overload by hedges: if all engines become slow at the same time,
    running each request twice keeps them slow.
    """
    driver = PlannerDriver(planner(endpoints("engine", 10)), one_stage())
    now = driver.train()
    for _ in range(60):
        _, _, now = run_stuck_request(driver, now)
        driver.tick(now + 4.1)
        now += 10.0
    assert driver.planner.counters.hedges <= 16 + 0.05 * 100 + 1


def test_stream_resumes_at_another_endpoint():
    """
    Guards against duplicate output: after an engine failed in the middle of a stream,
    the next one started from the beginning.
    """
    driver = PlannerDriver(planner(endpoints("engine", 2)), one_stage(streams=True))
    (send,) = sends(driver.arrive(1.0))
    driver.planner.progress(1.1, send.attempt, 7)
    (again,) = sends(driver.reply(1.2, send, AttemptOutcome.LOST))
    assert again.resume_offset == 7
    assert again.endpoint != send.endpoint


def test_not_run_is_reported_only_if_nothing_started():
    """
    Guards against a side effect that happens twice: the deadline passed during the
    attempt, the refusal said "not run", and the caller sent the request again.
    """
    driver = PlannerDriver(planner(endpoints("engine", 2)), one_stage(repeatable=False))
    (send,) = sends(driver.arrive(1.0))
    late = driver.tick(5.1)
    assert refusal(late).outcome is RequestOutcome.UNKNOWN
    assert Cancel(send.attempt, send.endpoint) in late

    (send,) = sends(driver.arrive(10.0))
    (again,) = sends(
        driver.reply(10.1, send, AttemptOutcome.NOT_RUN, retry_after_s=1.0)
    )
    ending = driver.reply(10.2, again, AttemptOutcome.NOT_RUN, retry_after_s=1.0)
    while sends(ending):
        ending = driver.reply(
            10.3, sends(ending)[0], AttemptOutcome.NOT_RUN, retry_after_s=1.0
        )
    assert refusal(ending).outcome is RequestOutcome.NOT_RUN
    assert refusal(ending).retry_after_s >= 1.0


def test_lost_side_effect_is_queried_and_never_sent_again():
    """
    Guards against a side effect that happens twice: the connection was lost after the
    call had run, and the entry sent it to another endpoint.
    """
    driver = PlannerDriver(planner(endpoints("engine", 3)), one_stage(repeatable=False))
    (send,) = sends(driver.arrive(1.0))
    for n in range(3):
        assert driver.reply(1.1 + n / 10, send, AttemptOutcome.LOST) == [
            QueryAttempt(send.attempt, send.endpoint)
        ]
    assert (
        refusal(driver.reply(1.6, send, AttemptOutcome.LOST)).outcome
        is RequestOutcome.UNKNOWN
    )


def test_leaving_endpoint_is_polled():
    """
    Guards against a host that is replaced under its old name and not used until the
    entries restart: without calls it sent no replies, which announce its new start.
    """
    driver = PlannerDriver(planner(endpoints("engine", 2)), one_stage())
    driver.planner.load_report(1.0, "engine-0", report(leaving=True))
    assert PollLoad("engine-0") in driver.tick(4.0)


def test_bound_request_reaches_its_leaving_endpoint():
    """
    A repeated request is bound to an endpoint that is being drained, which is the only
    one that has its result. The invariant against new work for a leaving endpoint was
    applied to it, and the entry failed.
    """
    driver = PlannerDriver(planner(endpoints("engine", 3)), one_stage(repeatable=False))
    driver.planner.endpoint_leaving(1.0, "engine-1")
    (send,) = sends(driver.arrive(1.1, bound={0: "engine-1"}))
    assert send.endpoint == "engine-1"
    assert answered(driver.reply(1.2, send))
