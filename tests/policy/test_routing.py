"""The choice of an endpoint for an attempt."""

from collections import Counter
from dataclasses import replace
from random import Random

from amaranthtally.policy import CacheEvent
from amaranthtally.policy.groups import LOCAL_SUBSET_SIZE, EndpointGroups
from amaranthtally.policy.model import Pipeline, Stage
from amaranthtally.policy.prefixes import PrefixIndex
from tests.policy.support import (
    LOCAL_REGION,
    REMOTE_REGION,
    PlannerDriver,
    endpoints,
    one_stage,
    planner,
    report,
    sends,
)


def test_entries_do_not_all_send_to_the_endpoint_that_was_last_reported_idle():
    """
    When every entry sent to the least loaded engine of the last reports, one engine was
    overloaded until the next report while nine were idle, and then another one.
    """
    counts = Counter()
    for seed in range(20):
        driver = PlannerDriver(planner(endpoints("engine", 12), seed), one_stage())
        for number in range(12):
            busy = 0 if number == 0 else 3
            entry = driver.planner
            entry.load_report(1.0, f"engine-{number}", report(busy, limit=8))
        for _ in range(10):
            counts.update(s.endpoint for s in sends(driver.arrive(1.0)))
    assert counts["engine-0"] < 0.5 * sum(counts.values())
    assert len(counts) == 12


def test_reports_that_do_not_follow_own_attempts_have_little_weight():
    """
    When reports are seconds old and all entries rely on them, all send to the engines
    that were idle at that time. In a burst, a third of the engines had queues of three
    seconds while another third was idle, and a little later the reverse.
    """
    driver = PlannerDriver(planner(endpoints("engine", 4)), one_stage())
    reported = {f"engine-{number}": 3 * (number > 0) for number in range(4)}
    counts = Counter()
    now = 1.0
    outstanding = []
    for number in range(400):
        now += 0.1
        (send,) = sends(driver.arrive(now))
        counts[send.endpoint] += number >= 200
        outstanding.append(send)
        for name, running in reported.items():
            driver.planner.load_report(now, name, report(running, limit=8))
        if len(outstanding) > 4:
            driver.reply(now + 0.06, outstanding.pop(0), run_s=0.05)
    assert counts["engine-0"] < 0.5 * sum(counts.values())


def test_reports_that_follow_own_attempts_have_full_weight():
    """
    One engine is busy with long answers for another entry. When its reports were
    current but treated as stale, this entry's attempts were sent there too and waited.
    """
    driver = PlannerDriver(planner(endpoints("engine", 4)), one_stage())
    busy = {f"engine-{number}": 8 * (number == 0) for number in range(4)}
    chosen = []
    now = 1.0
    for _ in range(200):
        now += 0.1
        (send,) = sends(driver.arrive(now))
        chosen.append(send.endpoint)
        for name, running in busy.items():
            own = name == send.endpoint
            driver.planner.load_report(now + 0.05, name, report(running + own, limit=8))
        driver.reply(now + 0.06, send, run_s=0.05)
        for name, running in busy.items():
            driver.planner.load_report(now + 0.07, name, report(running, limit=8))
    assert chosen[100:].count("engine-0") == 0


def test_reports_of_replies_and_of_polls_agree():
    """
    A report sent with a reply no longer counts that call, the report of a poll counts
    all calls. When the two alternated, they were treated as stale, and routing ignored
    cached prefixes: a growing thread was prefilled anew each time although its engine
    still cached it.
    """
    driver = PlannerDriver(planner(endpoints("engine", 1)), one_stage())
    now = 1.0
    for _ in range(50):
        now += 0.1
        (send,) = sends(driver.arrive(now))
        with_reply = replace(report(0), ended=1)
        driver.planner.load_report(now + 0.05, send.endpoint, with_reply)
        driver.reply(now + 0.05, send, run_s=0.05)
        driver.planner.load_report(now + 0.06, send.endpoint, report(0))
    assert driver.planner._loads.pool("engine").report_weight == 1.0


def test_attempts_sent_since_the_last_report_are_counted():
    """
    When an entry did not count its own attempts, eight requests that arrived together,
    with no report in between, ran on one engine while two others were idle.
    """
    driver = PlannerDriver(planner(endpoints("engine", 3)), one_stage())
    counts = Counter(s.endpoint for _ in range(9) for s in sends(driver.arrive(1.0)))
    assert set(counts.values()) == {3}


def test_another_region_is_used_when_the_own_one_is_busy_or_unavailable():
    """
    When only endpoints of the entry's own region were candidates, the engines in Cluj
    answered late while those in Iași were idle, and requests were refused when Cluj had
    none left.
    """
    driver = PlannerDriver(
        planner(endpoints("engine", 1, remote=1)), one_stage(weight=1.0)
    )
    now = driver.train(run_s=0.5)
    used = [s.endpoint for _ in range(8) for s in sends(driver.arrive(now))]
    assert {"engine-0", "engine-1"} == set(used)
    driver.planner.endpoint_leaving(now, "engine-0")
    assert sends(driver.arrive(now))[0].endpoint == "engine-1"


def test_the_price_of_traffic_is_weighed_against_the_gain():
    """
    When an endpoint in another region was preferred for having a single call fewer, the
    traffic between regions cost more than the models.
    """
    pool = endpoints("engine", 1, remote=1)
    for price, regions in ((0.0, {LOCAL_REGION, REMOTE_REGION}), (1e6, {LOCAL_REGION})):
        entry = planner(pool, traffic_price_per_gb=price, region_latency_s=0.001)
        driver = PlannerDriver(entry, one_stage(weight=0.3))
        used = {
            pool[s.endpoint].region
            for _ in range(4)
            for s in sends(driver.arrive(1.0, input_bytes=1_000_000))
        }
        assert used == regions


def test_a_late_report_does_not_readmit_a_leaving_endpoint():
    """
    A report that was sent before an endpoint began to leave can arrive after the notice
    that it leaves. When it overruled the notice, a drained host received requests again
    and was switched off while they ran.
    """
    driver = PlannerDriver(planner(endpoints("engine", 2)), one_stage())
    entry = driver.planner
    entry.load_report(1.0, "engine-0", report())
    entry.endpoint_leaving(1.1, "engine-0")
    entry.load_report(1.2, "engine-0", report())
    used = {s.endpoint for _ in range(8) for s in sends(driver.arrive(1.3))}
    assert used == {"engine-1"}
    entry.load_report(9.0, "engine-0", report(incarnation=2))
    assert "engine-0" in {
        s.endpoint for _ in range(8) for s in sends(driver.arrive(9.1))
    }


def test_a_cached_prefix_attracts_requests_until_its_endpoint_is_busy():
    """
    When routing ignored caches, each engine prefilled the same manual again. When only
    caches counted, one engine received all questions about it.
    """
    driver = PlannerDriver(planner(endpoints("engine", 3)), one_stage(streams=True))
    now = driver.train(run_s=0.5)
    driver.planner.cache_event(now, "engine-2", CacheEvent(1, stored=(7, 8)))
    used = [
        s.endpoint for _ in range(12) for s in sends(driver.arrive(now, prefix=(7, 8)))
    ]
    assert used[0] == "engine-2"
    assert len(set(used)) == 3


def test_a_gap_in_cache_events_invalidates_earlier_entries():
    """
    When the event that reports an eviction is lost, the engine would continue to
    receive every question about a manual that it no longer caches.
    """
    index = PrefixIndex()
    index.apply_event(1.0, "engine-0", CacheEvent(1, stored=(7,)))
    assert index.matches(1.0, (7,))
    index.apply_event(2.0, "engine-0", CacheEvent(4, stored=(9,)))
    assert not index.matches(2.0, (7,))
    assert index.matches(2.0, (9,))
    index.apply_event(3.0, "engine-0", CacheEvent(3, stored=(7,)))
    assert not index.matches(3.0, (7,))


def test_the_prefix_index_is_bounded():
    index = PrefixIndex(capacity=100)
    for block in range(1000):
        index.add_run(1.0, "engine-0", (block,))
    assert len(index) == 100
    assert index.matches(1.0, (999,))


def test_a_subset_is_bounded_and_keeps_its_members():
    """
    When subsets were drawn anew, every change of settings made each entry connect to
    other sidecars.
    """
    pool = endpoints("engine", 500)
    groups = EndpointGroups(Random(1))
    groups.replace(LOCAL_REGION, pool)
    stage = Stage("generate", "engine")
    before = {e.id for e in groups.candidates(stage)[LOCAL_REGION]}
    assert len(before) == LOCAL_SUBSET_SIZE
    removed = next(iter(before))
    groups.replace(LOCAL_REGION, {k: v for k, v in pool.items() if k != removed})
    after = {e.id for e in groups.candidates(stage)[LOCAL_REGION]}
    assert len(after) == LOCAL_SUBSET_SIZE
    assert before - after == {removed}


def test_noise_in_run_times_does_not_unbalance_equal_endpoints():
    """
    Run times of equal endpoints differ by a third. When an endpoint was avoided after
    two long runs and the others got its load, the cost per answer rose by 4% although
    no endpoint was slow.
    """
    driver = PlannerDriver(planner(endpoints("engine", 3)), one_stage())
    noise = Random(1)
    now = driver.train()
    for _ in range(60):
        (send,) = sends(driver.arrive(now))
        now += 0.2
        driver.reply(now, send, run_s=0.1 * noise.uniform(0.6, 1.4))
    counts = Counter(s.endpoint for _ in range(9) for s in sends(driver.arrive(now)))
    assert set(counts.values()) == {3}


def test_only_stages_that_cache_prefixes_are_added_to_the_prefix_index():
    """
    The index keeps three holders of a prefix. When each encoder, retriever and reranker
    that ran a stage was added as a holder, the engine was dropped just before its own
    stage, and a growing thread was prefilled anew each time.
    """
    other_stages = tuple(Stage(pool, pool) for pool in ("encode", "retrieve", "rerank"))
    pipeline = Pipeline(
        "threads", (*other_stages, Stage("write", "engine", streams=True)), 30.0
    )
    pool = {}
    for stage in pipeline.stages:
        pool |= endpoints(stage.pool, 12)
    driver = PlannerDriver(planner(pool), pipeline)
    engines = set()
    for turn in range(12):
        actions = driver.arrive(1.0 + turn, prefix=tuple(range(10)))
        for _ in other_stages:
            (send,) = sends(actions)
            actions = driver.reply(1.0 + turn, send)
        (send,) = sends(actions)
        engines.add(send.endpoint)
        driver.reply(1.0 + turn, send, run_s=0.1)
    assert len(engines) == 1
