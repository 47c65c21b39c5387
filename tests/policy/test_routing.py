"""Which endpoint gets an attempt."""

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


def test_entries_do_not_all_send_to_what_was_idle_in_an_old_report():
    """
    Every few seconds another engine is swamped while nine idle. Its last report
    said idle; all entries sent to the least loaded one until the next report.
    """
    counts = Counter()
    for seed in range(20):
        driver = PlannerDriver(planner(endpoints("engine", 12), seed), one_stage())
        for number in range(12):
            busy = 0 if number == 0 else 3
            made = driver.planner
            made.load_report(1.0, f"engine-{number}", report(busy, limit=8))
        for _ in range(10):
            counts.update(s.endpoint for s in sends(driver.arrive(1.0)))
    assert counts["engine-0"] < 0.5 * sum(counts.values())
    assert len(counts) == 12


def test_reports_that_do_not_follow_our_attempts_are_not_believed():
    """
    In a burst a third of the engines hold queues of three seconds and another
    third idles; a little later the other way round. Reports were of seconds ago,
    and all entries kept on sending to what had been idle then.
    """
    driver = PlannerDriver(planner(endpoints("engine", 4)), one_stage())
    then = {f"engine-{number}": 3 * (number > 0) for number in range(4)}
    counts = Counter()
    now = 1.0
    under_way = []
    for round_ in range(400):
        now += 0.1
        (send,) = sends(driver.arrive(now))
        counts[send.endpoint] += round_ >= 200
        under_way.append(send)
        for name, running in then.items():
            driver.planner.load_report(now, name, report(running, limit=8))
        if len(under_way) > 4:
            driver.reply(now + 0.06, under_way.pop(0), run_s=0.05)
    assert counts["engine-0"] < 0.5 * sum(counts.values())


def test_reports_that_follow_our_attempts_are_believed():
    """
    One engine serves another entry's long answers; ours go there as well and wait.
    Its reports were of now and said so, but were taken for old.
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


def test_reports_with_replies_and_reports_asked_for_agree():
    """
    A thread that grows is read anew each time, although its engine still holds it.
    A reply's report does not count its own call any more, one that is asked for
    counts all: in turns they passed for reports of long ago, which nobody believes.
    """
    driver = PlannerDriver(planner(endpoints("engine", 1)), one_stage())
    now = 1.0
    for _ in range(50):
        now += 0.1
        (send,) = sends(driver.arrive(now))
        own = replace(report(0), ended=1)
        driver.planner.load_report(now + 0.05, send.endpoint, own)
        driver.reply(now + 0.05, send, run_s=0.05)
        driver.planner.load_report(now + 0.06, send.endpoint, report(0))
    assert driver.planner._loads.pool("engine").report_weight == 1.0


def test_no_two_decisions_take_an_endpoint_for_equally_idle():
    """
    Eight requests of one moment run on one engine beside two idle ones. No report
    came between them; what the entry itself had just sent was not counted.
    """
    driver = PlannerDriver(planner(endpoints("engine", 3)), one_stage())
    counts = Counter(s.endpoint for _ in range(9) for s in sends(driver.arrive(1.0)))
    assert set(counts.values()) == {3}


def test_another_region_is_used_when_home_is_crowded_or_gone():
    """
    Cluj's engines answer late while Iași's idle; when Cluj's are gone, requests
    are refused. Candidates were those of the entry's own region.
    """
    driver = PlannerDriver(
        planner(endpoints("engine", 1, remote=1)), one_stage(weight=1.0)
    )
    now = driver.train(run_s=0.5)
    used = [s.endpoint for _ in range(8) for s in sends(driver.arrive(now))]
    assert {"engine-0", "engine-1"} == set(used)
    driver.planner.endpoint_leaving(now, "engine-0")
    assert sends(driver.arrive(now))[0].endpoint == "engine-1"


def test_traffic_is_priced_against_the_gain():
    """
    A bill for traffic between regions exceeds what the models cost. An endpoint in
    another region was as good as one at home whenever it had one call fewer.
    """
    found = endpoints("engine", 1, remote=1)
    for price, regions in ((0.0, {LOCAL_REGION, REMOTE_REGION}), (1e6, {LOCAL_REGION})):
        made = planner(found, traffic_price_per_gb=price, region_latency_s=0.001)
        driver = PlannerDriver(made, one_stage(weight=0.3))
        used = {
            found[s.endpoint].region
            for _ in range(4)
            for s in sends(driver.arrive(1.0, input_bytes=1_000_000))
        }
        assert used == regions


def test_a_leaving_endpoint_stays_so_when_an_older_report_comes_late():
    """
    A host that is drained gets requests again and is switched off under them. A
    report sent before it began to leave came after the news and overruled it.
    """
    driver = PlannerDriver(planner(endpoints("engine", 2)), one_stage())
    made = driver.planner
    made.load_report(1.0, "engine-0", report())
    made.endpoint_leaving(1.1, "engine-0")
    made.load_report(1.2, "engine-0", report())
    used = {s.endpoint for _ in range(8) for s in sends(driver.arrive(1.3))}
    assert used == {"engine-1"}
    made.load_report(9.0, "engine-0", report(incarnation=2))
    assert "engine-0" in {
        s.endpoint for _ in range(8) for s in sends(driver.arrive(9.1))
    }


def test_a_cached_prefix_draws_until_its_endpoint_is_crowded():
    """
    Each engine reads the same manual again, or one engine gets all questions on
    it. Caches were not known, or were all that counted.
    """
    driver = PlannerDriver(planner(endpoints("engine", 3)), one_stage(streams=True))
    now = driver.train(run_s=0.5)
    driver.planner.cache_event(now, "engine-2", CacheEvent(1, stored=(7, 8)))
    used = [
        s.endpoint for _ in range(12) for s in sends(driver.arrive(now, prefix=(7, 8)))
    ]
    assert used[0] == "engine-2"
    assert len(set(used)) == 3


def test_a_gap_in_cache_events_ends_trust_in_what_came_before():
    """
    An engine is sent every question on a manual that it no longer holds. The event
    that told of the eviction was lost.
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
    Every change of settings makes each entry connect to other sidecars. A subset
    was drawn anew each time.
    """
    found = endpoints("engine", 500)
    groups = EndpointGroups(Random(1))
    groups.replace(LOCAL_REGION, found)
    stage = Stage("generate", "engine")
    before = {e.id for e in groups.candidates(stage)[LOCAL_REGION]}
    assert len(before) == LOCAL_SUBSET_SIZE
    gone = next(iter(before))
    groups.replace(LOCAL_REGION, {k: v for k, v in found.items() if k != gone})
    after = {e.id for e in groups.candidates(stage)[LOCAL_REGION]}
    assert len(after) == LOCAL_SUBSET_SIZE
    assert before - after == {gone}


def test_noise_in_run_times_does_not_unbalance_equal_endpoints():
    """
    Cost per answer rises by four in a hundred though nothing is slow. Runs differ
    by a third; an endpoint that had two long ones was avoided, others were crowded.
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


def test_the_other_stages_leave_an_engine_the_holder_of_its_prefix():
    """
    A growing thread is read anew each time it comes. Each encoder, retriever and
    reranker that ran one of its stages was noted as holding its prefix; three are
    kept, so the engine was forgotten just before its own stage.
    """
    plain = tuple(Stage(pool, pool) for pool in ("encode", "retrieve", "rerank"))
    flow = Pipeline("threads", (*plain, Stage("write", "engine", streams=True)), 30.0)
    found = {}
    for stage in flow.stages:
        found |= endpoints(stage.pool, 12)
    driver = PlannerDriver(planner(found), flow)
    engines = set()
    for turn in range(12):
        actions = driver.arrive(1.0 + turn, prefix=tuple(range(10)))
        for _ in plain:
            (send,) = sends(actions)
            actions = driver.reply(1.0 + turn, send)
        (send,) = sends(actions)
        engines.add(send.endpoint)
        driver.reply(1.0 + turn, send, run_s=0.1)
    assert len(engines) == 1
