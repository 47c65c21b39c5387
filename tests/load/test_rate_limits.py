"""
Endpoints that name a rate limit, in fleets of all sizes.

The load: many times what the endpoints take, spread unevenly over the entries. The
bounds are the users': in any 4 s half as much again as a limit allows, and 5 requests.
"""

from dataclasses import replace

import pytest

from tests.load.limits_fleet import LimitedEndpoint, LimitsFleet

SIZES = (6, 68)
LARGE = 750
SEEDS = range(3)
WINDOW_S = 4.0
# Time within which the whole fleet knows a limit, in seconds.
KNOWN_WITHIN_S = 1.0
# From when on the bound holds after a limit was first named, in seconds.
BINDING_AFTER_S = 4.0
# Least share of a limit that is used, so that responses show when the limit ends.
MIN_USED_SHARE = 0.1
# Most calls of others that an entry may answer: 1.6% of a core at 0.2 ms each.
MAX_CALLS_PER_S = 80.0


def allowed(rate):
    """Return the most requests in a window."""
    return 1.5 * rate * WINDOW_S + 5


def even(total, size):
    return lambda name, now: total / size


def check_bound(endpoint, rate, start, end):
    assert endpoint.most_in(WINDOW_S, start, end) <= allowed(rate)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("rate", [0.0, 1.0, 7.5, 100.0])
def test_a_fleet_keeps_to_a_limit_and_makes_use_of_it(size, rate):
    """Guards against entries that each keep to a limit that is meant for all."""
    for seed in SEEDS:
        endpoint = LimitedEndpoint("e", rate)
        fleet = LimitsFleet(size, [endpoint], even(max(20.0, 3 * rate), size), seed)
        fleet.run_until(20.0)
        start = endpoint.arrivals[0] + BINDING_AFTER_S
        check_bound(endpoint, rate, start, 20.0)
        used = sum(at >= start for at in endpoint.arrivals)
        assert used >= MIN_USED_SHARE * rate * (20.0 - start)


def test_a_very_large_fleet_keeps_to_a_limit():
    """Guards against a cost, and against requests in good faith, that grow with it."""
    endpoint = LimitedEndpoint("e", 2.0)
    fleet = LimitsFleet(LARGE, [endpoint], even(60.0, LARGE), tick_s=0.1)
    fleet.run_until(12.0)
    first = endpoint.arrivals[0]
    check_bound(endpoint, 2.0, first + BINDING_AFTER_S, 12.0)
    most_calls = max(fleet.calls_at.values())
    assert most_calls <= 12.0 * MAX_CALLS_PER_S


@pytest.mark.parametrize("size", [*SIZES, LARGE])
def test_a_limit_is_known_to_the_whole_fleet_within_a_second(size):
    """Guards against entries that learn of a limit only by their own requests."""
    endpoint = LimitedEndpoint("e", 1.0)

    def demand(name, now):
        return 50.0 if name == "entry-0" else 0.0

    fleet = LimitsFleet(size, [endpoint], demand, tick_s=0.1)
    fleet.run_until(1.0)
    named_at = min(fleet.known_by.values())
    fleet.run_until(named_at + KNOWN_WITHIN_S)
    assert len(fleet.known_by) == size


@pytest.mark.parametrize("size", SIZES)
def test_one_entry_with_all_the_load_gets_all_permits(size):
    """Guards against shares that lie unused at entries without requests."""
    endpoint = LimitedEndpoint("e", 10.0)

    def demand(name, now):
        return 60.0 if name == "entry-1" else 0.0

    fleet = LimitsFleet(size, [endpoint], demand)
    fleet.run_until(15.0)
    used = sum(at >= 5.0 for at in endpoint.arrivals)
    assert used >= 0.6 * 10.0 * 10.0
    check_bound(endpoint, 10.0, 4.5, 15.0)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("rate", [1.0, 12.0])
def test_the_limit_holds_when_the_issuer_is_killed_and_comes_back(size, rate):
    """Guards against two issuers that add up to twice the limit, and against none."""
    for seed in SEEDS:
        endpoint = LimitedEndpoint("e", rate)
        fleet = LimitsFleet(size, [endpoint], even(40.0, size), seed)
        fleet.run_until(6.0)
        issuer = fleet.issuer_of("e")
        fleet.kill(issuer)
        fleet.at(9.0, fleet.update_peers)
        fleet.at(12.0, lambda f=fleet, i=issuer: f.start(i))
        fleet.at(12.2, fleet.update_peers)
        fleet.run_until(22.0)
        check_bound(endpoint, rate, 5.0, 22.0)
        later = sum(at >= 16.0 for at in endpoint.arrivals)
        assert later >= MIN_USED_SHARE * rate * 6.0


@pytest.mark.parametrize("size", SIZES)
def test_the_limit_holds_in_a_roll_of_the_whole_fleet(size):
    """Guards against limits that die out with those that knew them."""
    endpoint = LimitedEndpoint("e", 3.0)
    fleet = LimitsFleet(size, [endpoint], even(40.0, size))
    fleet.run_until(6.0)
    for number in range(size):
        name = f"entry-{number}"
        at = 6.0 + 8.0 * number / size
        fleet.at(at, lambda n=name: (fleet.groups[n].leave(), fleet.kill(n)))
        fleet.at(at + 0.01, fleet.update_peers)
        fleet.at(at + 0.3, lambda n=name: (fleet.start(n), fleet.update_peers()))
    fleet.run_until(20.0)
    check_bound(endpoint, 3.0, 5.0, 20.0)


@pytest.mark.parametrize("size", SIZES)
def test_an_entry_that_is_cut_off_sends_nothing_extra(size):
    """Guards against a part of a fleet that takes itself for the whole."""
    endpoint = LimitedEndpoint("e", 4.0)
    fleet = LimitsFleet(size, [endpoint], even(60.0, size))
    fleet.run_until(6.0)
    others = [n for n in fleet.members if n != fleet.issuer_of("e")]
    fleet.cut = {others[0]}
    fleet.run_until(14.0)
    fleet.cut = set()
    fleet.run_until(20.0)
    check_bound(endpoint, 4.0, 5.0, 20.0)


def test_a_limit_that_ends_is_forgotten_by_all():
    """Guards against an endpoint that is spared long after it has recovered."""
    endpoint = LimitedEndpoint("e", lambda now: 2.0 if now < 8.0 else None)
    fleet = LimitsFleet(6, [endpoint], even(40.0, 6))
    fleet.run_until(12.0)
    later = sum(10.0 <= at < 12.0 for at in endpoint.arrivals)
    assert later >= 0.8 * 40.0 * 2.0


def test_an_endpoint_that_starts_again_has_no_limit():
    """Guards against a limit that outlives the process which named it."""
    endpoint = LimitedEndpoint("e", lambda now: 1.0 if now < 6.0 else None)
    fleet = LimitsFleet(6, [endpoint], even(40.0, 6))
    fleet.run_until(6.0)
    restarted = {"e": replace(fleet.registered["e"], incarnation=1)}
    for limits in fleet.members.values():
        limits.configure(restarted)
    fleet.run_until(8.0)
    assert sum(6.0 <= at < 8.0 for at in endpoint.arrivals) >= 0.8 * 40.0 * 2.0
