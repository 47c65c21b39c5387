"""Retries, hedges, ejection, resumption, and truth of refusals."""

from amaranthtally.policy import Ask, Cancel, Fate, Greet, Outcome, Reason
from tests.policy.support import (
    Feeder,
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
    feeder = Feeder(planner(endpoints("engine", 10)), one_stage())
    first, total, now = 0, 0, 1.0
    for _ in range(1000):
        now += 0.001
        waiting = sends(feeder.arrive(now))
        first += len(waiting)
        while waiting:
            total += 1
            waiting.extend(sends(feeder.reply(now, waiting.pop(), Fate.FAILED)))
    assert total <= first * 1.2 + 64


def test_a_failing_endpoint_is_ejected_and_let_back_by_a_probe():
    """
    A third of all requests fail for as long as one engine of three is broken. It
    failed so fast that it always had the fewest calls and drew ever more.
    """
    feeder = Feeder(planner(endpoints("engine", 3)), one_stage())
    now = feeder.teach()
    broken, failures = "engine-1", 0
    for _ in range(100):
        now += 0.005
        (send,) = sends(feeder.arrive(now))
        if send.endpoint == broken:
            failures += 1
            (send,) = sends(feeder.reply(now, send, Fate.FAILED))
        assert answered(feeder.reply(now, send))
    assert failures <= 4
    now += 60.0
    used = set()
    for _ in range(12):
        now += 0.5
        (send,) = sends(feeder.arrive(now))
        used.add(send.endpoint)
        feeder.reply(now, send)
    assert broken in used


def test_never_all_endpoints_are_ejected():
    """
    A bad deployment makes every engine fail for a moment; afterwards all requests
    are refused for half a minute, as no engine was left to send to.
    """
    feeder = Feeder(planner(endpoints("engine", 4)), one_stage())
    now = feeder.teach()
    for _ in range(200):
        now += 0.01
        waiting = sends(feeder.arrive(now))
        while waiting:
            waiting = sends(feeder.reply(now, waiting[0], Fate.FAILED))
    assert feeder.planner.counters.ejections <= 2
    assert sends(feeder.arrive(now + 0.01))


def test_a_permanent_failure_is_not_sent_again():
    """
    One malformed manual is read by every engine in turn and ejects them all. Its
    failure was taken for the engine's.
    """
    feeder = Feeder(planner(endpoints("engine", 3)), one_stage())
    for n in range(20):
        (send,) = sends(feeder.arrive(1.0 + n))
        actions = feeder.reply(1.0 + n, send, Fate.FAILED, permanent=True)
        assert refusal(actions).reason is Reason.STAGE_FAILED
    assert feeder.planner.counters.ejections == 0


def stuck(feeder, now):
    """Tick until the deadline with one attempt that never ends."""
    actions = []
    (send,) = sends(feeder.arrive(now))
    for step in range(1, 390):
        actions = feeder.tick(now + step * 0.01)
        if sends(actions):
            return send, actions, now + step * 0.01
    return send, [], now + 4.0


def test_a_stuck_attempt_is_hedged_and_the_loser_cancelled():
    """
    A farmer waits until the deadline for an engine that hangs, while two others
    idle. Nothing was sent again before the attempt had ended.
    """
    feeder = Feeder(planner(endpoints("engine", 3)), one_stage())
    now = feeder.teach()
    slow, actions, now = stuck(feeder, now)
    (hedge,) = sends(actions)
    assert hedge.hedge
    assert hedge.endpoint != slow.endpoint
    ending = feeder.reply(now + 0.1, hedge)
    assert answered(ending)
    assert Cancel(slow.attempt, slow.endpoint) in ending


def test_a_stage_with_a_side_effect_is_never_hedged():
    """
    Two trucks come for one order. The first attempt was slow, not lost, and a
    hedge ran it a second time.
    """
    feeder = Feeder(planner(endpoints("engine", 3)), one_stage(repeatable=False))
    now = feeder.teach()
    _, actions, _ = stuck(feeder, now)
    assert not sends(actions)


def test_hedges_stop_when_their_budget_is_spent():
    """
    All engines become slow at once and each request is run twice, which keeps
    them slow.
    """
    feeder = Feeder(planner(endpoints("engine", 10)), one_stage())
    now = feeder.teach()
    for _ in range(60):
        _, _, now = stuck(feeder, now)
        feeder.tick(now + 4.1)
        now += 10.0
    assert feeder.planner.counters.hedges <= 16 + 0.05 * 100 + 1


def test_a_stream_goes_on_elsewhere_where_it_stopped():
    """
    A tester sees the first half of a summary twice. The engine died in the middle
    and the next one began at the beginning.
    """
    feeder = Feeder(planner(endpoints("engine", 2)), one_stage(streams=True))
    (send,) = sends(feeder.arrive(1.0))
    feeder.planner.progress(1.1, send.attempt, 7)
    (again,) = sends(feeder.reply(1.2, send, Fate.LOST))
    assert again.resume_offset == 7
    assert again.endpoint != send.endpoint


def test_not_run_is_said_only_where_nothing_started():
    """
    A dispatcher sends an order again because the first was "not run", and two
    trucks come. The deadline passed while the first was under way.
    """
    feeder = Feeder(planner(endpoints("engine", 2)), one_stage(repeatable=False))
    (send,) = sends(feeder.arrive(1.0))
    late = feeder.tick(5.1)
    assert refusal(late).outcome is Outcome.UNKNOWN
    assert Cancel(send.attempt, send.endpoint) in late

    (send,) = sends(feeder.arrive(10.0))
    (again,) = sends(feeder.reply(10.1, send, Fate.NOT_RUN, retry_after_s=1.0))
    ending = feeder.reply(10.2, again, Fate.NOT_RUN, retry_after_s=1.0)
    while sends(ending):
        ending = feeder.reply(10.3, sends(ending)[0], Fate.NOT_RUN, retry_after_s=1.0)
    assert refusal(ending).outcome is Outcome.NOT_RUN
    assert refusal(ending).retry_after_s >= 1.0


def test_a_lost_side_effect_is_asked_after_and_never_sent_again():
    """
    A ticket is assigned twice. The connection broke after the call had run, and
    the entry sent it to another endpoint.
    """
    feeder = Feeder(planner(endpoints("engine", 3)), one_stage(repeatable=False))
    (send,) = sends(feeder.arrive(1.0))
    for n in range(3):
        assert feeder.reply(1.1 + n / 10, send, Fate.LOST) == [
            Ask(send.attempt, send.endpoint)
        ]
    assert refusal(feeder.reply(1.6, send, Fate.LOST)).outcome is Outcome.UNKNOWN


def test_an_endpoint_that_left_is_asked_for_word_without_work():
    """
    A host is replaced under its old name and never used again until the entries
    restart. It got no calls, so it sent no reply that told of its new start.
    """
    feeder = Feeder(planner(endpoints("engine", 2)), one_stage())
    feeder.planner.load_report(1.0, "engine-0", report(leaving=True))
    assert Greet("engine-0") in feeder.tick(4.0)


def test_a_repeat_reaches_the_endpoint_that_it_is_bound_to_while_that_leaves():
    """
    A dispatcher repeats an order while its host is drained, and the entry breaks
    off with an error of its own. The rule against new work for a leaving endpoint
    also met the repeat, whose result only that endpoint has.
    """
    feeder = Feeder(planner(endpoints("engine", 3)), one_stage(repeatable=False))
    feeder.planner.endpoint_leaving(1.0, "engine-1")
    (send,) = sends(feeder.arrive(1.1, bound={0: "engine-1"}))
    assert send.endpoint == "engine-1"
    assert answered(feeder.reply(1.2, send))
