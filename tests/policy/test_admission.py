"""What is admitted, split and refused, and when a refused caller may come back."""

from amaranthtally.policy import (
    AccountLimits,
    Pipeline,
    RefusalReason,
    RequestOutcome,
    Stage,
)
from amaranthtally.policy.quantiles import TimeSketch
from amaranthtally.policy.stage_times import StageTimes
from tests.policy.support import (
    PlannerDriver,
    endpoints,
    one_stage,
    planner,
    refusal,
    sends,
)


def burst(driver, now, count, account="a"):
    """Return the refusals of requests that come at once."""
    refused = []
    for _ in range(count):
        actions = driver.arrive(now, account)
        if not sends(actions):
            refused.append(refusal(actions))
    return refused


def test_a_burst_is_refused_at_once_with_the_backlog_as_retry_after():
    """
    In harvest a hundred breakdowns come in one second, and all are answered late.
    Every one was admitted; each finished after its deadline and made the next late.
    """
    driver = PlannerDriver(planner(endpoints("engine", local=1)), one_stage())
    now = driver.train(run_s=0.5)
    refused = burst(driver, now, 100)
    assert 0 < len(refused) < 100
    assert {r.outcome for r in refused} == {RequestOutcome.NOT_RUN}
    assert {r.reason for r in refused} == {RefusalReason.OVERLOAD}
    assert all(0 < r.retry_after_s < 10 for r in refused)
    admitted = 100 - len(refused)
    assert admitted * 0.5 / 4 <= 4.0, "what is admitted ends within the deadline"


def test_a_burst_is_seen_before_it_reaches_the_slow_stage():
    """
    All of a burst is admitted, although its last stage can do a tenth of it. Only
    calls at the endpoints were counted, and the burst was still in the first stage.
    """
    found = {**endpoints("encoder", 3), **endpoints("engine", 1)}
    pipeline = Pipeline(
        "two", (Stage("encode", "encoder"), Stage("generate", "engine")), 4.0
    )
    driver = PlannerDriver(planner(found), pipeline)
    now = 0.0
    for _ in range(40):
        for run_s in (0.01, 0.5):
            if run_s == 0.01:
                (send,) = sends(driver.arrive(now))
            now += run_s
            (send, *_) = [*sends(driver.reply(now, send, run_s=run_s)), send]
    assert burst(driver, now, 100)


def test_a_stage_that_was_slow_is_tried_again_when_idle():
    """
    A stage hangs for a minute and every request is refused until the entry is
    restarted. Its learned time exceeded the deadline, so nothing ran any more that
    could have shown it well again.
    """
    driver = PlannerDriver(planner(endpoints("engine", 1)), one_stage())
    now = driver.train(run_s=9.0, count=40)
    assert sends(driver.arrive(now))


def test_a_flooding_account_leaves_the_others_their_shares():
    """
    One studio's script sends fifty times its usual reports; testers of all others
    are refused. Requests were admitted first come, first served.
    """
    driver = PlannerDriver(planner(endpoints("engine", local=1)), one_stage())
    now = driver.train(run_s=0.1)
    refused = {"flood": 0, "quiet": 0}
    given = {"flood": 0, "quiet": 0}
    for step in range(2000):
        now += 0.01
        for send in list(driver.live.values())[:4] if step % 10 == 0 else ():
            driver.reply(now, send, run_s=0.1)
        driver.tick(now)
        for account, every in (("flood", 1), ("quiet", 20)):
            if step % every == 0 and step > 500:
                given[account] += 1
                refused[account] += not sends(driver.arrive(now, account))
            elif step % every == 0:
                driver.arrive(now, account)
    assert refused["flood"] > given["flood"] / 2
    assert refused["quiet"] <= given["quiet"] * 0.02


def test_an_account_over_its_rate_is_told_when_a_token_is_there():
    """
    A partner's loop sends without pause and fills the queues of all. An account's
    limit was read from the settings and never enforced.
    """
    limits = {"a": AccountLimits(rate=2.0, burst=3.0)}
    driver = PlannerDriver(
        planner(endpoints("engine", 3), accounts=limits), one_stage()
    )
    refused = burst(driver, 100.0, 5)
    assert [r.reason for r in refused] == [RefusalReason.ACCOUNT_LIMIT] * 2
    assert all(0.4 < r.retry_after_s < 1.0 for r in refused)
    assert not burst(driver, 101.0, 2)


def test_a_deadline_is_split_by_what_each_stage_takes():
    """
    A generation is cut off though the request has time left, since each of four
    stages got a quarter of the deadline.
    """
    times = StageTimes()
    short, long = Stage("encode", "encoder"), Stage("generate", "engine")
    for _ in range(100):
        times.of(short).add(0.02, 100, 0.0)
        times.of(long).add(0.9, 100, 0.0)
    assert times.share_end(0.0, 4.0, (short, long)) < 0.2
    assert times.share_end(0.0, 4.0, (long,)) == 4.0
    assert 3.0 < times.latest_finish(4.0, (long,)) < 3.2


def test_a_sketch_keeps_quantiles_and_follows_a_change():
    """
    A stage becomes ten times slower and its deadline share stays the old one for
    an hour, as every sample of the day before still counted.
    """
    sketch = TimeSketch()
    for n in range(1000):
        sketch.add(0.1 + 0.0001 * (n % 100))
    assert 0.09 <= sketch.quantile(0.5) <= 0.12
    assert sketch.tail(0.05) == 1.0
    for _ in range(1000):
        sketch.add(1.0)
    assert sketch.quantile(0.5) > 0.85
