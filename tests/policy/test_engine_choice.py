"""The choice of engines by a view that entries share, and its fall-back."""

from dataclasses import replace
from random import Random

import pytest

from amaranthtally.policy import GATEWAY_COMPONENTS, AffinityRouter
from amaranthtally.policy.affinity import PREFILL_S_PER_TOKEN
from amaranthtally.policy.engine_choice import build_router
from amaranthtally.policy.engine_choice.candidates import CandidateSet
from amaranthtally.policy.engine_choice.predictor import Predictor
from amaranthtally.policy.engine_choice.prefix_demand import MAX_HOLDERS
from amaranthtally.policy.engine_choice.prompt_speed import MAX_FACTOR, PromptSpeed
from amaranthtally.policy.engine_choice.router import DRAWN
from tests.policy.engine_fleet import (
    GAP_S,
    SITES,
    FakeView,
    Figures,
    Fleet,
    engines,
    mean_variance,
    request,
    router,
    trained_stats,
)

STATS = trained_stats()
KNOWN = FakeView(Figures())
FLEET = engines(23)


def long_prompt(session, own=0):
    return ((1, 2520), (100 + session, 3780), (9000 + own, 2890))


def chosen(view, endpoints=FLEET, entries=60, session=1):
    """Return the engines that entries choose for a prompt."""
    wanted = request(1.0, long_prompt(session))
    routers = (
        router(build_router, endpoints, n, SITES[n % 6], view)[0]
        for n in range(entries)
    )
    return {built.choose(1.0, wanted, STATS).endpoint.id for built in routers}


# Fall-back


@pytest.mark.parametrize(
    "view", [None, FakeView(Figures(9, 1e5, 3.0, 0.0)), FakeView()]
)
def test_without_a_view_of_weight_it_decides_like_the_affinity_router(view):
    """Guards other deployments, and an entry that hears nothing, against a change."""
    pairs = [
        router(GATEWAY_COMPONENTS.router, FLEET, 5, view=view),
        router(AffinityRouter, FLEET, 5),
    ]
    draws = Random(3)
    for n in range(150):
        wanted = request(n * 0.05, long_prompt(draws.randrange(20), n))
        ours, theirs = (b.choose(n * 0.05, wanted, STATS) for b, _ in pairs)
        assert ours == theirs
        for _, loads in pairs:
            load = loads.get_or_create(ours.endpoint)
            loads.add_attempt(load)
            load.pending_prefill_tokens += 3000
    assert len({built._random.random() for built, _ in pairs}) == 1


def test_a_view_that_is_no_longer_updated_costs_nothing_against_none():
    """Guards against decisions by figures of long ago."""
    stopped = Fleet(build_router, FLEET)
    stopped.weight = lambda now: 0.0
    without = Fleet(AffinityRouter, FLEET).run(60, 4)
    assert stopped.run(60, 4).outside == without.outside
    assert stopped.late == without.late


# Predictions


def forecast(figures=None, observed=()):
    _, loads = router(build_router, FLEET)
    wanted = request(1.0, long_prompt(1))
    load = loads.get_or_create(FLEET["e0"])
    for ratio in observed:
        load.note_chunk_time(1.0, ratio)
    predictor = Predictor(1.0, wanted, STATS, PromptSpeed())
    return predictor.forecast(load, figures, 0.0, 0.002)


def test_prompts_calls_and_slowness_of_others_delay_the_first_event():
    """Guards against a view of which a part is not used."""
    base = forecast(Figures()).first_event_s
    for figures in (Figures(20), Figures(0, 5000), Figures(0, 0, 2.0)):
        assert forecast(figures).first_event_s > base + 0.02
    half = forecast(Figures(0, 5000, 1.0, 0.5)).first_event_s
    assert base < half < forecast(Figures(0, 5000)).first_event_s


def test_a_false_report_of_speed_is_bounded_by_what_was_observed():
    """Guards against an endpoint that claims to be idle and draws all traffic."""
    assert forecast(Figures(slowness=0.05)).slowness == 0.5
    observed = forecast(observed=[4.0] * 20).slowness
    assert observed > 3
    assert forecast(Figures(slowness=0.05), [4.0] * 20).slowness == observed / 2
    assert forecast(Figures(slowness=1.0), [4.0] * 20).slowness == observed


@pytest.mark.parametrize("tokens_per_s", [40_800, 36_100, 12_000])
def test_the_prompt_speed_of_a_pool_is_learned(tokens_per_s):
    """Guards against the first customer's constant, and against outliers."""
    speed, draws = PromptSpeed(), Random(1)
    for _ in range(600):
        work = draws.choice([700, 3000, 9190])
        took_s = (0.02 + work / tokens_per_s) * draws.uniform(0.9, 1.1)
        speed.add(work, 0.0, 30.0 if draws.random() < 0.1 else took_s)
    assert speed.tokens_per_s == pytest.approx(tokens_per_s, rel=0.15)


@pytest.mark.parametrize("took_s", [-1.0, 1e9])
def test_the_prompt_speed_is_bounded(took_s):
    """Guards against an engine that hangs or answers before it has read a prompt."""
    speed = PromptSpeed()
    for _ in range(2000):
        speed.add(9190, 0.0, took_s)
    ratio = speed.s_per_token / PREFILL_S_PER_TOKEN
    assert 1 / MAX_FACTOR - 1e-9 <= ratio <= MAX_FACTOR + 1e-9


def test_a_prompt_is_kept_from_streams_that_it_would_make_late():
    """Guards against gaps above the limit in streams that run already."""
    (first,) = chosen(KNOWN)
    queue = GAP_S / PREFILL_S_PER_TOKEN * 0.8
    busy = FakeView(Figures(), **{first: Figures(12, queue)})
    assert first not in chosen(busy)


# Holders


def test_all_entries_choose_the_same_holder_of_a_prefix():
    """Guards against a shared prefix that each entry's engine processes again."""
    assert [len(chosen(KNOWN, session=n)) for n in range(5)] == [1] * 5


def test_a_prefix_with_more_demand_gets_three_holders_at_most_by_rank():
    """Guards against one engine for a session that has a third of the traffic."""
    ranks = set()
    for n in range(6):
        built, _ = router(build_router, FLEET, n, SITES[n], KNOWN)
        built.set_entry_count(60)
        for number in range(40):
            now = 1 + number / 10
            wanted = request(now, long_prompt(1, number))
            ranks.add(built.choose(now, wanted, STATS).prediction.holder_rank)
    assert ranks == set(range(MAX_HOLDERS))


# Workloads


def test_68_entries_with_one_view_and_300_ms_of_lag_do_not_herd():
    """Guards against entries that all choose the engine which was idle 0.3 s ago."""

    def run(pick):
        fleets = [Fleet(build_router, FLEET, seed=n, sessions=False) for n in range(3)]
        for fleet in fleets:
            fleet.pick = pick
            fleet.run(200, 6)
        return fleets

    lagging = run(None)
    oracle = run(lambda f: min(f.endpoints, key=lambda e: f.engines[e].prefill_until))
    drawn = run(lambda f: f.random.choice(list(f.endpoints)))
    variance = mean_variance(lagging)
    assert mean_variance(oracle) < variance < 1.1 * mean_variance(drawn)
    for fleet in lagging:
        half = len(fleet.variances) // 2
        assert sum(fleet.variances[half:]) < 3 * sum(fleet.variances[:half])


def test_one_data_centre_at_three_times_its_load_spills_over_and_comes_back():
    """Guards against a full data centre beside idle ones, and against oscillation."""
    fleet, draws = Fleet(build_router, FLEET, entries=66), Random(1)
    # Three eighths of all requests instead of a sixth arrive at the first site.
    fleet.entry_of = lambda entry, now: (
        entry // 6 * 6 if 4 < now < 8 and draws.random() < 0.25 else entry
    )
    fleet.run(90, 12)

    def outside(start, end):
        there = [x for x in fleet.outside if start <= x[0] < end and x[1] % 6 == 0]
        return sum(away for _, _, away in there) / len(there)

    assert fleet.late_share < 0.1
    assert outside(5, 8) > 1.25 * max(outside(1, 4), outside(10, 12))


def test_far_engines_are_used_gradually_while_near_ones_are_full():
    """Guards against entries that all move to another region at once, or never."""
    ranked = CandidateSet({"": list(FLEET.values())}, "", "").ranked("7")[:MAX_HOLDERS]
    near = {name for name, e in FLEET.items() if e.region == SITES[0][:-2]}
    full = dict.fromkeys(near | {e.id for e in ranked}, Figures(30, 5e5))
    built, _ = router(build_router, FLEET, view=FakeView(Figures(), **full))
    chosen = []
    for n in range(60):
        wanted = request(n / 10, ((7, 540),))
        chosen.append(built.choose(n / 10, wanted, STATS).endpoint.id not in full)
    assert sum(chosen[:5]) <= 2
    assert sum(chosen[-20:]) >= 12


@pytest.mark.parametrize("workload", ["15 of 100 change every 0.6 s", "a slow third"])
def test_slow_engines_get_fewer_prompts(workload):
    """Guards against prompts that wait at engines which the view shows as slow."""
    changes = workload.startswith("15")

    def slowness(now, name):
        if changes:
            return 2.5 if Random(f"{name}{now // 0.6}").random() < 0.15 else 1.0
        return 2.5 if int(name[1:]) % 3 == 0 else 1.0

    late = []
    for build in (build_router, AffinityRouter):
        fleet = Fleet(build, engines(100 if changes else 24))
        fleet.slowness = slowness
        late.append(fleet.run(300 if changes else 60, 4).late_share)
    assert late[0] < 0.7 * late[1]


@pytest.mark.parametrize("joining", [0, 12], ids=["half replaced in turn", "12 join"])
def test_engines_that_come_are_used_without_a_rush(joining):
    """Guards against new engines that stay idle, or that all entries choose at once."""
    before = engines(24)
    fleet = Fleet(build_router, before)
    for step in range(12):
        after = {e: x for e, x in before.items() if joining or int(e[1:]) > step}
        for n in range(joining or step + 1):
            after[f"n{n}"] = replace(before[f"e{n}"], id=f"n{n}", incarnation=2)
        fleet.after(2.0 + 0.3 * step, fleet.replace, after)
    fleet.run(70, 8)
    assert fleet.late_share < 0.1
    assert all(fleet.engines[f"n{n}"].cached for n in range(12))


def test_the_cost_of_a_choice_does_not_grow_with_the_pool(monkeypatch):
    """Guards against a comparison of all engines of a large pool."""
    compared, original = [], Predictor.forecast
    monkeypatch.setattr(
        Predictor, "forecast", lambda *a: compared.append(a) or original(*a)
    )
    for count in (100, 1_000, 11_000):
        compared.clear()
        chosen(KNOWN, engines(count), entries=1)
        assert len(compared) <= MAX_HOLDERS + DRAWN
