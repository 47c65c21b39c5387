"""
Prompts with a part on which each engine ends, in fleets of all sizes.

The load: sound requests of one route and 40 sessions, and fatal ones of the same route
that come at any entry. The bounds are the users': at most three requests with the part
reach engines later than 4 s after the fifth end.
"""

import pytest

from amaranthtally.policy.part_losses import EndpointStart
from tests.load.prompts_fleet import FATAL, ROUTE_PART, PromptsFleet

SIZES = (6, 68)
LARGE = 750
SEEDS = range(4)
BINDING_AFTER_S = 4.0
ALLOWED = 3
# Time within which all entries keep a part away once one does, in seconds.
KNOWN_WITHIN_S = 1.0
# Least share of sound requests that are served at the first attempt, in seconds from
# twice the time after which the part is kept away.
MIN_SERVED_SHARE = 0.9


def late_arrivals(fleet):
    binding = sorted(fleet.ends)[:5][-1] + BINDING_AFTER_S
    return [at for at in fleet.fatal_arrivals if at > binding]


def served_share(fleet, start, end):
    outcomes = [o for o in fleet.sound if start <= o["at"] < end - 2.0]
    assert len(outcomes) >= 20
    return sum(o["served"] for o in outcomes) / len(outcomes)


def check_kept_away(fleet, end):
    assert fleet.ends
    assert len(late_arrivals(fleet)) <= ALLOWED
    last = sorted(fleet.ends)[:5][-1]
    start = last + 2 * BINDING_AFTER_S
    assert served_share(fleet, start, end) >= MIN_SERVED_SHARE
    assert not any(o["blocked"] for o in fleet.sound)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("rate", [1.0, 4.0, 20.0])
def test_a_fatal_part_is_kept_away_and_sound_requests_are_not(size, rate):
    """Guards against one kind of request that ends all engines, one by one."""
    for seed in SEEDS:
        fleet = PromptsFleet(
            size, fatal_rate=lambda now: rate if now > 5.0 else 0.0, seed=seed
        )
        # Before the first request with the part is tried.
        fleet.run_until(26.0)
        check_kept_away(fleet, 26.0)


def test_a_very_large_fleet_keeps_a_fatal_part_away():
    """Guards against entries that each have to see several ends by themselves."""
    fleet = PromptsFleet(LARGE, engines=100, sound_rate=200.0, tick_s=0.2)
    fleet.run_until(25.0)
    check_kept_away(fleet, 25.0)
    first = min(fleet.blocked_at.values())
    known = [at for at in fleet.blocked_at.values() if at <= first + KNOWN_WITHIN_S]
    assert len(known) == LARGE


@pytest.mark.parametrize("is_framed", [True, False])
def test_responses_that_end_with_their_connection_count_too(is_framed):
    """Guards against sound parts that never count as such for lack of a length."""
    for seed in SEEDS:
        fleet = PromptsFleet(6, seed=seed, is_framed=is_framed)
        fleet.run_until(26.0)
        check_kept_away(fleet, 26.0)


@pytest.mark.parametrize("size", SIZES)
def test_engines_that_all_end_at_once_block_no_part(size):
    """Guards against a failure of the engines' hosts that is put down to prompts."""
    for seed in SEEDS:
        fleet = PromptsFleet(size, fatal_rate=lambda now: 0.0, seed=seed)

        def end_all(fleet=fleet):
            for name in list(fleet.engines):
                fleet.end_engine(name)

        fleet.at(8.0, end_all)
        fleet.at(8.3, end_all)
        fleet.run_until(30.0)
        assert not fleet.blocked_at
        assert served_share(fleet, 13.0, 30.0) >= MIN_SERVED_SHARE


def test_engines_that_end_one_after_the_other_block_no_part():
    """Guards against a rolling failure that is put down to the route's own part."""
    for seed in SEEDS:
        fleet = PromptsFleet(6, fatal_rate=lambda now: 0.0, seed=seed)

        def end_one(fleet=fleet):
            fleet.end_engine(next(iter(fleet.engines)))

        for step in range(12):
            fleet.at(6.0 + 0.7 * step, end_one)
        fleet.run_until(30.0)
        refused = [o for o in fleet.sound if o["blocked"]]
        assert len(refused) <= 0.02 * len(fleet.sound)


@pytest.mark.parametrize("size", SIZES)
def test_a_fatal_part_at_all_engines_at_once_is_kept_away(size):
    """Guards against ends at a time that count as one, as if they had one cause."""
    for seed in SEEDS:
        fleet = PromptsFleet(
            size,
            fatal_rate=lambda now: 60.0 if 5.0 < now < 5.3 or now > 6.0 else 0.0,
            seed=seed,
        )
        fleet.run_until(30.0)
        check_kept_away(fleet, 30.0)


@pytest.mark.parametrize("size", SIZES)
def test_a_part_that_succeeded_before_is_kept_away_too(size):
    """Guards against a session that turns fatal and is taken for sound for ever."""
    for seed in SEEDS:
        fleet = PromptsFleet(size, fatal_rate=lambda now: 0.0, seed=seed)
        fleet.run_until(3.0)
        start = EndpointStart(next(iter(fleet.engines)), 0)
        for guard in fleet.members.values():
            guard.attempt_succeeded(fleet.now, start, (FATAL,), 2.5, True)
        fleet._fatal_rate = lambda now: 4.0 if now > 5.0 else 0.0
        fleet.run_until(26.0)
        check_kept_away(fleet, 26.0)


@pytest.mark.parametrize("size", SIZES)
def test_the_part_is_kept_away_though_those_that_decide_are_killed(size):
    """Guards against reports that die with the entries that hold them."""
    for seed in SEEDS:
        fleet = PromptsFleet(size, seed=seed)
        fleet.at(6.0, fleet.kill_aggregators)
        fleet.run_until(26.0)
        check_kept_away(fleet, 26.0)


@pytest.mark.parametrize("size", SIZES)
def test_a_route_is_not_blocked_as_those_that_decide_are_killed(size):
    """Guards against a whole route that is refused for a part of some requests."""
    for seed in range(8):
        fleet = PromptsFleet(
            size, fatal_rate=lambda now: 20.0 if now > 5.0 else 0.0, seed=seed
        )
        fleet.at(5.4 + 0.1 * seed, fleet.kill_aggregators)
        fleet.run_until(20.0)
        assert ROUTE_PART not in fleet.blocked_parts


@pytest.mark.parametrize("size", SIZES)
def test_the_part_is_kept_away_in_a_roll_of_the_whole_fleet(size):
    """Guards against knowledge that dies out with those that had it."""
    fleet = PromptsFleet(size)
    fleet.run_until(9.0)
    for number, name in enumerate(list(fleet.members)):
        at = 9.0 + 10.0 * number / size
        fleet.at(at, lambda n=name: (fleet.groups[n].leave(), fleet.kill(n)))
        fleet.at(at + 0.01, fleet.update_peers)
        fleet.at(at + 0.4, lambda n=name: (fleet.start(n), fleet.update_peers()))
    fleet.run_until(28.0)
    assert len(late_arrivals(fleet)) <= ALLOWED
    assert set(fleet.blocked_at) == set(fleet.members)


def test_a_blocked_part_is_tried_at_growing_intervals():
    """Guards against a part that stays blocked for ever, and against endless tries."""
    fleet = PromptsFleet(6)
    fleet.run_until(60.0)
    later = late_arrivals(fleet)
    assert 1 <= len(later) <= ALLOWED


def test_a_part_that_is_sound_again_is_served_again():
    """Guards against requests that are refused long after their cause has gone."""
    fleet = PromptsFleet(6)
    fleet.run_until(20.0)
    assert fleet.blocked_at
    fleet.end_engine = lambda name: None
    fleet.run_until(24.0)
    name = fleet.aggregators()[0]
    guard = fleet.members[name]
    start = EndpointStart(next(iter(fleet.engines)), 0)
    fleet._carry_out(
        name, guard.attempt_succeeded(fleet.now, start, (FATAL,), fleet.now - 0.5, True)
    )
    fleet.run_until(25.5)
    assert all(not g.blocked_part((FATAL,)) for g in fleet.members.values())


@pytest.mark.parametrize("size", SIZES)
def test_responses_that_look_whole_as_their_endpoint_ends_are_no_success(size):
    """Guards against a fatal part that is cleared by the ends that it causes."""
    for seed in SEEDS:
        fleet = PromptsFleet(size, seed=seed, is_framed=False, looks_whole=True)
        fleet.run_until(26.0)
        check_kept_away(fleet, 26.0)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("rate", [2.0, 4.0, 20.0])
def test_a_part_that_succeeded_often_is_kept_away_in_time(size, rate):
    """Guards against a popular session that turns fatal and is taken for sound."""
    for seed in SEEDS:
        fleet = PromptsFleet(size, fatal_rate=lambda now: 0.0, seed=seed)
        fleet.run_until(3.0)
        start = EndpointStart(next(iter(fleet.engines)), 0)
        for guard in fleet.members.values():
            for _ in range(30):
                parts = (ROUTE_PART, FATAL)
                guard.attempt_succeeded(fleet.now, start, parts, 2.5, True)
        fleet._fatal_rate = lambda now: rate if now > 5.0 else 0.0
        fleet.run_until(24.0)
        check_kept_away(fleet, 24.0)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("rate", [1.0, 4.0, 20.0])
def test_a_fatal_part_is_kept_away_from_supervised_engines(size, rate):
    """Guards against ends that close no port and remove no record."""
    for seed in SEEDS:
        fleet = PromptsFleet(
            size,
            fatal_rate=lambda now: rate if now > 5.0 else 0.0,
            seed=seed,
            is_supervised=True,
        )
        fleet.run_until(26.0)
        check_kept_away(fleet, 26.0)
