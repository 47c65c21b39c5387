"""Retries, hedges, ejection, resumption, and truth of refusals."""

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
)


def test_retries_cannot_feed_a_storm():
    """
    Every engine fails for a minute and stays overloaded for an hour. Each request
    was sent three times more, just when there was the least capacity.
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


def test_a_failing_endpoint_is_ejected_and_let_back_by_a_probe():
    """
    A third of all requests fail for as long as one engine of three is broken. It
    failed so fast that it always had the fewest calls and drew ever more.
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


def test_never_all_endpoints_are_ejected():
    """
    A bad deployment makes every engine fail for a moment; afterwards all requests
    are refused for half a minute, as no engine was left to send to.
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


def test_a_permanent_failure_is_not_sent_again():
    """
    One malformed manual is read by every engine in turn and ejects them all. Its
    failure was taken for the engine's.
    """
    driver = PlannerDriver(planner(endpoints("engine", 3)), one_stage())
    for n in range(20):
        (send,) = sends(driver.arrive(1.0 + n))
        actions = driver.reply(1.0 + n, send, AttemptOutcome.FAILED, permanent=True)
        assert refusal(actions).reason is RefusalReason.STAGE_FAILED
    assert driver.planner.counters.ejections == 0


def stuck(driver, now):
    """Tick until the deadline with one attempt that never ends."""
    actions = []
    (send,) = sends(driver.arrive(now))
    for step in range(1, 390):
        actions = driver.tick(now + step * 0.01)
        if sends(actions):
            return send, actions, now + step * 0.01
    return send, [], now + 4.0


def test_a_stuck_attempt_is_hedged_and_the_loser_cancelled():
    """
    A farmer waits until the deadline for an engine that hangs, while two others
    idle. Nothing was sent again before the attempt had ended.
    """
    driver = PlannerDriver(planner(endpoints("engine", 3)), one_stage())
    now = driver.train()
    slow, actions, now = stuck(driver, now)
    (hedge,) = sends(actions)
    assert hedge.hedge
    assert hedge.endpoint != slow.endpoint
    ending = driver.reply(now + 0.1, hedge)
    assert answered(ending)
    assert Cancel(slow.attempt, slow.endpoint) in ending


def test_a_stage_with_a_side_effect_is_never_hedged():
    """
    Two trucks come for one order. The first attempt was slow, not lost, and a
    hedge ran it a second time.
    """
    driver = PlannerDriver(planner(endpoints("engine", 3)), one_stage(repeatable=False))
    now = driver.train()
    _, actions, _ = stuck(driver, now)
    assert not sends(actions)


def test_hedges_stop_when_their_budget_is_spent():
    """
    All engines become slow at once and each request is run twice, which keeps
    them slow.
    """
    driver = PlannerDriver(planner(endpoints("engine", 10)), one_stage())
    now = driver.train()
    for _ in range(60):
        _, _, now = stuck(driver, now)
        driver.tick(now + 4.1)
        now += 10.0
    assert driver.planner.counters.hedges <= 16 + 0.05 * 100 + 1


def test_a_stream_goes_on_elsewhere_where_it_stopped():
    """
    A tester sees the first half of a summary twice. The engine died in the middle
    and the next one began at the beginning.
    """
    driver = PlannerDriver(planner(endpoints("engine", 2)), one_stage(streams=True))
    (send,) = sends(driver.arrive(1.0))
    driver.planner.progress(1.1, send.attempt, 7)
    (again,) = sends(driver.reply(1.2, send, AttemptOutcome.LOST))
    assert again.resume_offset == 7
    assert again.endpoint != send.endpoint


def test_not_run_is_said_only_where_nothing_started():
    """
    A dispatcher sends an order again because the first was "not run", and two
    trucks come. The deadline passed while the first was under way.
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


def test_a_lost_side_effect_is_asked_after_and_never_sent_again():
    """
    A ticket is assigned twice. The connection broke after the call had run, and
    the entry sent it to another endpoint.
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


def test_an_endpoint_that_left_is_asked_for_word_without_work():
    """
    A host is replaced under its old name and never used again until the entries
    restart. It got no calls, so it sent no reply that told of its new start.
    """
    driver = PlannerDriver(planner(endpoints("engine", 2)), one_stage())
    driver.planner.load_report(1.0, "engine-0", report(leaving=True))
    assert PollLoad("engine-0") in driver.tick(4.0)


def test_a_repeat_reaches_the_endpoint_that_it_is_bound_to_while_that_leaves():
    """
    A dispatcher repeats an order while its host is drained, and the entry breaks
    off with an error of its own. The rule against new work for a leaving endpoint
    also met the repeat, whose result only that endpoint has.
    """
    driver = PlannerDriver(planner(endpoints("engine", 3)), one_stage(repeatable=False))
    driver.planner.endpoint_leaving(1.0, "engine-1")
    (send,) = sends(driver.arrive(1.1, bound={0: "engine-1"}))
    assert send.endpoint == "engine-1"
    assert answered(driver.reply(1.2, send))
