"""Tests of the view of endpoints' loads that entries share."""

from random import Random
from statistics import fmean

import pytest
from hypothesis import given, settings, strategies as st

from amaranthtally.policy import ExchangeLoads, LoadFigures, LoadMessage
from amaranthtally.policy.load_messages import message_bytes
from amaranthtally.policy.load_view.contributions import Contributions
from amaranthtally.policy.load_view.half_life import HalfLife
from amaranthtally.policy.pool_sites import Peer
from bench.load_fleet import POOL, Fleet, engine, report
from tests.policy.support import LOCAL_REGION, PlannerDriver, one_stage, planner
from tests.policy.test_packages import BELOW, POLICY, imports_of

# Entries of the smallest fleet with two groups in a region, and of a small one.
LARGE = 68
SMALL = 9


def test_an_entry_whose_answer_is_neither_taken_nor_lost_is_called_again():
    """Guards against an undecodable answer that ends the exchange with its sender."""
    fleet = Fleet(2, 6)
    fleet.run(2.0)
    sent = []
    for name, view in fleet.views.items():
        for step in range(80):
            sent += [(name, a) for a in view.tick(10.0 + 0.1 * step)]
    calls = [name for name, _ in sent]
    assert max(calls.count(name) for name in fleet.views) >= 2


def test_nothing_is_sent_where_no_endpoint_reports_a_slowness():
    """Guards against traffic in deployments that do not need the view."""
    fleet = Fleet(SMALL, 6, active=False)
    fleet.set_calls("g0", "e1", 3)
    fleet.run(3.0)
    assert fleet.messages == 0
    assert fleet.find("g1", "e1") is None


@pytest.mark.parametrize("entries", [2, SMALL, LARGE])
def test_all_entries_know_all_calls_of_the_others_once(entries):
    """Guards against a call that is counted twice, or not at all."""
    fleet = Fleet(entries, 12)
    random = Random(1)
    for _ in range(6):
        for name in fleet.views:
            calls = random.randrange(5)
            fleet.set_calls(name, f"e{random.randrange(12)}", calls, 1024 * calls)
        fleet.run(0.5)
    fleet.run(2.5)
    for name in fleet.views:
        for endpoint in fleet.endpoints:
            known = fleet.find(name, endpoint)
            assert known.calls == fleet.truth(name, endpoint), (name, endpoint)


@pytest.mark.parametrize("seed", range(6))
def test_lost_calls_and_answers_leave_no_wrong_figures(seed):
    """Guards against calls that count twice, or stay wrong, after a lost message."""
    fleet, random = Fleet(25, 8), Random(seed)
    names = list(fleet.views)
    for _ in range(20):
        fleet.loss = random.choice((0.0, 0.2, 0.6))
        fleet.lost = {frozenset(random.sample(names, 2)) for _ in range(20)}
        for name in names:
            fleet.set_calls(name, "e0", 1)
            fleet.set_calls(name, f"e{random.randrange(1, 8)}", random.randrange(4))
        fleet.run(0.3)
        for name in names:
            assert 0 <= fleet.find(name, "e0").calls <= 24
    fleet.loss, fleet.lost = 0.0, set()
    fleet.run(8.0)
    for name in names:
        for endpoint in fleet.endpoints:
            known = fleet.find(name, endpoint)
            assert known.calls == fleet.truth(name, endpoint), (name, endpoint)


def test_a_killed_entry_and_its_calls_are_forgotten_and_its_duties_taken_on():
    """Guards against calls of a dead entry, or a dead relay, that stay for ever."""
    fleet = Fleet(LARGE, 12)
    for name in fleet.views:
        fleet.set_calls(name, "e1", 1)
    fleet.run(3.0)
    view = fleet.views["g0"]
    relay = (
        view._exchange._groups.relay(fleet.now, view._exchange._groups.own_group)
        or "g0"
    )
    del fleet.views[relay]
    fleet.run(5.0)
    for name in fleet.views:
        assert fleet.find(name, "e1").calls == fleet.truth(name, "e1"), name
    fleet.start(relay)
    fleet.set_peers()
    fleet.views[relay].report_received(fleet.now, fleet.endpoints["e0"], report())
    fleet.set_calls(relay, "e1", 7)
    # Its peers do not call it for three seconds after it did not answer.
    fleet.run(3.0 + 2.0)
    for name in fleet.views:
        assert fleet.find(name, "e1").calls == fleet.truth(name, "e1"), name


def test_an_entry_that_hears_nothing_falls_back_to_its_own_view():
    """Guards against decisions by figures from before a partition."""
    fleet = Fleet(SMALL, 6)
    fleet.set_calls("g1", "e1", 9)
    fleet.run(2.0)
    assert fleet.find("g0", "e1").weight > 0.3
    fleet.lost = {frozenset(("g0", name)) for name in fleet.views}
    fleet.run(4.0)
    known = fleet.find("g0", "e1")
    assert (known.calls, known.weight) == (0.0, 0.0)


def test_a_replaced_endpoint_starts_anew():
    """Guards against figures of an earlier start at the same address."""
    fleet = Fleet(SMALL, 6)
    fleet.views["g1"].report_received(0.0, fleet.endpoints["e1"], report(5, 4.0))
    fleet.set_calls("g1", "e1", 9)
    fleet.run(2.0)
    assert fleet.find("g0", "e1").calls == 9
    fleet.endpoints = {**fleet.endpoints, "e1": engine("e1", "south", 2)}
    for view in fleet.views.values():
        view.endpoints_changed(fleet.endpoints)
    known = fleet.find("g0", "e1")
    assert (known.calls, known.slowness) == (0.0, 1.0)


def test_a_slowness_is_known_to_all_and_outdated_after_a_while():
    """Guards against a report that never loses its weight."""
    fleet = Fleet(SMALL, 6)
    fleet.run(1.0)
    fleet.views["g1"].report_received(fleet.now, fleet.endpoints["e1"], report(0, 3.0))
    for calls in range(8):
        for name in fleet.views:
            fleet.set_calls(name, "e2", calls % 2)
        fleet.run(0.1)
    slowness = [fleet.find(name, "e1").slowness for name in fleet.views]
    assert min(slowness) > 1.5
    fleet.run(10.0)
    assert fleet.find("g0", "e1").slowness < 1.05


def test_a_false_report_makes_no_endpoint_look_faster_than_half_of_what_was_seen():
    """Guards against an endpoint that draws all calls with a slowness of 0.05."""
    fleet = Fleet(1, 3, observed=lambda now, endpoint: 3.0)
    view = fleet.views["g0"]
    view.report_received(1.0, fleet.endpoints["e1"], report(0, 0.05))
    assert view.find(1.0, "e1").slowness == 1.5


def test_small_changes_are_not_sent_and_messages_stay_small():
    """Guards against control traffic that grows with every token."""
    fleet = Fleet(2, 240)
    fleet.run(1.0)
    before = fleet.messages
    for _ in range(20):
        fleet.set_calls("g0", "e1", 0, 200)
        fleet.run(0.05)
    assert fleet.messages - before <= 4
    for number in range(240):
        fleet.set_calls("g0", f"e{number}", 1 + number % 7)
    sizes = [
        len(action.message.figures)
        for action in fleet.views["g0"].tick(fleet.now + 0.2)
    ]
    assert all(message_bytes(size) <= 4096 for size in sizes)


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["a", "b"]),
            st.integers(1, 2),
            st.integers(1, 6),
            st.integers(0, 5),
            st.dictionaries(st.integers(0, 3), st.integers(-5, 10**7), max_size=4),
            st.floats(0.0, 1.5),
        ),
        max_size=30,
    )
)
@settings(max_examples=200, deadline=None)
def test_sums_are_those_of_the_senders_whatever_arrives(events):
    """Guards against sums that drift after lost, repeated or foreign messages."""
    table, now = Contributions(), 0.0
    for sender, incarnation, serial, base, figures, pause_s in events:
        now += pause_s
        items = tuple(LoadFigures(k, n, n) for k, n in figures.items())
        table.expire(now)
        table.take(
            now, sender, sender, LoadMessage(incarnation, serial, base, 0, "", items)
        )
        for key in range(4):
            parts = [table.figures_of(name).get(key, (0, 0)) for name in "ab"]
            sums = tuple(sum(figures) for figures in zip(*parts, strict=True))
            assert table.total(key) == sums
            assert 0 <= sums[0] <= 8_000
    table.expire(now + 2.1)
    assert not len(table)
    assert table.total(0) == (0, 0)


@pytest.mark.parametrize("half_life_s", [0.2, 0.8, 3.2])
def test_the_half_life_is_that_of_the_observed_changes(half_life_s):
    """Guards against trusting figures longer than they hold."""
    random, half_life = Random(3), HalfLife()
    value, at = 0.0, 0.0
    for _ in range(4000):
        lag_s = random.choice((0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8))
        kept = 0.5 ** (lag_s / half_life_s)
        after = kept * value + (1 - kept * kept) ** 0.5 * random.gauss(0.0, 1.0)
        half_life.add(lag_s, after - value)
        value, at = after, at + lag_s
    assert half_life_s / 2 <= half_life.seconds <= half_life_s * 2
    assert half_life.weight(0.0) == 1.0
    assert half_life.weight(20 * half_life_s) < 0.01


def test_a_change_is_known_within_the_time_that_the_page_allows():
    """Guards against exchanges that are slower than what they tell."""
    fleet = Fleet(25, 23)
    fleet.run(2.0)
    delays = []
    random = Random(4)
    for _ in range(10):
        name = f"g{random.randrange(25)}"
        fleet.set_calls(name, "e1", 1 - fleet.calls[name].get("e1", (0, 0))[0])
        began = fleet.now
        while any(
            fleet.find(n, "e1").calls != fleet.truth(n, "e1") for n in fleet.views
        ):
            for other in fleet.views:
                busy = random.randrange(2, 23)
                fleet.set_calls(other, f"e{busy}", random.randrange(3))
            fleet.run(0.05)
        delays.append(fleet.now - began)
    assert fmean(delays) < 1.0
    assert POOL in fleet.views["g0"].active_pools


def test_the_package_is_used_by_its_facade_and_uses_none_of_its_users():
    """Guards against decisions that depend on what the view is made of."""
    for path in POLICY.rglob("*.py"):
        imports = imports_of(path)
        if path.parent.name == "load_view":
            outer = {i for i in imports if not i.startswith("load_view")}
            assert outer <= BELOW["load_view"], path.name
        else:
            assert not [i for i in imports if i.startswith("load_view.")], path.name


def test_planners_count_each_others_attempts_once_a_slowness_was_reported():
    """Guards against a view that no planner feeds, or that no choice uses."""
    listed = {"e0": engine("e0")}
    names = ("g0", "g1")
    planners = {n: planner(listed, seed, entry=n) for seed, n in enumerate(names)}
    for name, driven in planners.items():
        driven.replace_peers(0.0, [Peer(n, LOCAL_REGION) for n in names if n != name])
    driver = PlannerDriver(planners["g0"], one_stage(POOL))

    def run(until):
        for now in (until - 0.6, until - 0.4, until - 0.2, until):
            for name, driven in planners.items():
                actions = driven.tick(now)
                for action in (a for a in actions if isinstance(a, ExchangeLoads)):
                    other = planners[action.peer].load_view
                    answer = other.exchange_received(now, name, action.message)
                    driven.load_view.exchange_answered(now, action.peer, answer)
        load = planners["g1"]._loads.get_or_create(listed["e0"])
        return load.occupancy(until)

    driver.arrive(0.1, prefix=(1, 2), prefix_sizes=(600, 400))
    assert run(1.0) == 0.0
    for driven in planners.values():
        driven.load_report(1.0, "e0", report(0, 1.0))
    assert 0.5 < run(2.0) <= 1.0
    known = planners["g1"].load_view.find(2.0, "e0")
    assert (known.calls, known.prefill_tokens) == (1.0, 1000.0)
    (send,) = driver.live.values()
    driver.reply(2.1, send)
    assert run(3.0) == 0.0


def test_without_the_setting_reports_share_nothing():
    """Guards against an exchange of loads that an operator has switched off."""
    driven = planner({"e0": engine("e0", LOCAL_REGION)}, shared_loads=False)
    driven.load_report(1.0, "e0", report())
    driven.tick(1.1)
    assert not driven.load_view.active_pools
