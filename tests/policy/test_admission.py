"""Admission, division of deadlines, refusals and their retry times."""

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
    """Return the refusals of requests that arrive at the same time."""
    refused = []
    for _ in range(count):
        actions = driver.arrive(now, account)
        if not sends(actions):
            refused.append(refusal(actions))
    return refused


def test_excess_of_a_burst_is_refused_with_the_backlog_as_retry_after():
    """
    A hundred requests arrive in one second. All were admitted, and all were late: each
    finished after its deadline and delayed the next.
    """
    driver = PlannerDriver(planner(endpoints("engine", local=1)), one_stage())
    now = driver.train(run_s=0.5)
    refused = burst(driver, now, 100)
    assert 0 < len(refused) < 100
    assert {r.outcome for r in refused} == {RequestOutcome.NOT_RUN}
    assert {r.reason for r in refused} == {RefusalReason.OVERLOAD}
    assert all(0 < r.retry_after_s < 10 for r in refused)
    admitted = 100 - len(refused)
    assert admitted * 0.5 / 4 <= 4.0, "admitted requests end within the deadline"


def test_backlog_includes_requests_in_earlier_stages():
    """
    A whole burst was admitted although its last stage has a tenth of the capacity: only
    calls at the endpoints were counted, and the burst was still in the first stage.
    """
    listed = {**endpoints("encoder", 3), **endpoints("engine", 1)}
    pipeline = Pipeline(
        "two", (Stage("encode", "encoder"), Stage("generate", "engine")), 4.0
    )
    driver = PlannerDriver(planner(listed), pipeline)
    now = 0.0
    for _ in range(40):
        for run_s in (0.01, 0.5):
            if run_s == 0.01:
                (send,) = sends(driver.arrive(now))
            now += run_s
            (send, *_) = [*sends(driver.reply(now, send, run_s=run_s)), send]
    assert burst(driver, now, 100)


def test_stage_that_was_slow_is_tried_again_when_idle():
    """
    A stage hung for a minute, and all requests were refused until the entry restarted:
    its measured time exceeded the deadline, and no request ran that could have shown
    that it had recovered.
    """
    driver = PlannerDriver(planner(endpoints("engine", 1)), one_stage())
    now = driver.train(run_s=9.0, count=40)
    assert sends(driver.arrive(now))


def test_flooding_account_does_not_take_the_shares_of_others():
    """
    Guards against admission in the order of arrival: while one account sent fifty times
    its usual number of requests, those of all other accounts were refused.
    """
    driver = PlannerDriver(planner(endpoints("engine", local=1)), one_stage())
    now = driver.train(run_s=0.1)
    refused = {"flood": 0, "quiet": 0}
    offered = {"flood": 0, "quiet": 0}
    for step in range(2000):
        now += 0.01
        for send in list(driver.live.values())[:4] if step % 10 == 0 else ():
            driver.reply(now, send, run_s=0.1)
        driver.tick(now)
        for account, every in (("flood", 1), ("quiet", 20)):
            if step % every == 0 and step > 500:
                offered[account] += 1
                refused[account] += not sends(driver.arrive(now, account))
            elif step % every == 0:
                driver.arrive(now, account)
    assert refused["flood"] > offered["flood"] / 2
    assert refused["quiet"] <= offered["quiet"] * 0.02


def test_account_over_its_rate_may_retry_when_a_token_is_available():
    """
    Guards against a rate limit that is read from the settings but not enforced: one
    account's loop sent without pause and filled the queues.
    """
    limits = {"a": AccountLimits(rate=2.0, burst=3.0)}
    driver = PlannerDriver(
        planner(endpoints("engine", 3), accounts=limits), one_stage()
    )
    refused = burst(driver, 100.0, 5)
    assert [r.reason for r in refused] == [RefusalReason.ACCOUNT_LIMIT] * 2
    assert all(0.4 < r.retry_after_s < 1.0 for r in refused)
    assert not burst(driver, 101.0, 2)


def test_deadline_is_split_by_the_run_times_of_stages():
    """
    Guards against equal shares of the deadline: with a quarter for each of four stages,
    the slowest was cut off although the request had time left.
    """
    times = StageTimes()
    short, long = Stage("encode", "encoder"), Stage("generate", "engine")
    for _ in range(100):
        times.stats_for(short).add(0.02, 100, 0.0)
        times.stats_for(long).add(0.9, 100, 0.0)
    assert times.share_end(0.0, 4.0, (short, long)) < 0.2
    assert times.share_end(0.0, 4.0, (long,)) == 4.0
    assert 3.0 < times.latest_finish(4.0, (long,)) < 3.2


def test_sketch_estimates_quantiles_and_follows_a_change():
    """
    Guards against samples that never lose weight: a stage became ten times slower, and
    its share of the deadline did not change for an hour.
    """
    sketch = TimeSketch()
    for n in range(1000):
        sketch.add(0.1 + 0.0001 * (n % 100))
    assert 0.09 <= sketch.quantile(0.5) <= 0.12
    assert sketch.tail(0.05) == 1.0
    for _ in range(1000):
        sketch.add(1.0)
    assert sketch.quantile(0.5) > 0.85
