"""
Endpoints that come back cold under full load, in fleets of all sizes.

The load: a region's endpoints return together in a burst, spread unevenly over the
entries. The bound is the users': in any second half as much again as a cold endpoint
takes, and 5 requests, from all entries together.
"""

import pytest

from tests.load.limits_fleet import LimitedEndpoint, LimitsFleet

SIZES = (6, 68)
LARGE = 750
SEEDS = range(3)
WINDOW_S = 1.0
RATE = 9.0
# How much later than others an entry learns that an endpoint is cold, in seconds.
KNOWN_WITHIN_S = 0.5
COLD_S = 4.0
# Least share of what a cold endpoint takes that is used, as with limits that are named.
MIN_USED_SHARE = 0.1
# Most calls of others that an entry may answer: 1.6% of a core at 0.2 ms each.
MAX_CALLS_PER_S = 80.0


def allowed(rate):
    """Return the most requests in a window."""
    return 1.5 * rate * WINDOW_S + 5


def even(total, size):
    return lambda name, now: total / size


def turn_cold(fleet, at, rates, seconds=COLD_S):
    """Let each entry learn that endpoints are cold, a little later than the first."""
    for name in fleet.members:
        delay_s = fleet.random.random() * KNOWN_WITHIN_S

        def learn(limits=fleet.members[name]):
            limits.set_cold_rates(fleet.now, rates)

        def forget(limits=fleet.members[name]):
            limits.set_cold_rates(fleet.now, {})

        fleet.at(at + delay_s, learn)
        fleet.at(at + delay_s + seconds, forget)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("rate", [1.0, RATE, 40.0])
def test_a_fleet_spares_a_cold_endpoint_and_makes_use_of_it(size, rate):
    """Guards against entries that each take the bound for their own."""
    for seed in SEEDS:
        endpoint = LimitedEndpoint("e", None)
        fleet = LimitsFleet(size, [endpoint], even(8.0 * rate, size), seed)
        turn_cold(fleet, 5.0, {"e": rate}, seconds=8.0)
        fleet.run_until(13.0)
        start = 5.0 + KNOWN_WITHIN_S + WINDOW_S
        assert endpoint.most_in(WINDOW_S, start, 13.0) <= allowed(rate)
        used = sum(start <= at < 13.0 for at in endpoint.arrivals)
        assert used >= MIN_USED_SHARE * rate * (13.0 - start)


@pytest.mark.parametrize("size", [*SIZES, LARGE])
def test_a_region_that_comes_back_cold_is_spared(size):
    """Guards against permits whose cost, or whose sum, grows with the fleet."""
    endpoints = [LimitedEndpoint(f"e{n}", None) for n in range(8)]
    demand = even(4.0 * RATE, size)
    fleet = LimitsFleet(size, endpoints, demand, tick_s=0.1 if size == LARGE else 0.02)
    rates = {endpoint.name: RATE for endpoint in endpoints}
    fleet.run_until(4.0)
    fleet.calls_at.clear()
    turn_cold(fleet, 4.0, rates)
    fleet.run_until(4.0 + COLD_S)
    for endpoint in endpoints:
        start = 4.0 + KNOWN_WITHIN_S + WINDOW_S
        assert endpoint.most_in(WINDOW_S, start, 4.0 + COLD_S) <= allowed(RATE)
    assert max(fleet.calls_at.values()) <= COLD_S * MAX_CALLS_PER_S


@pytest.mark.parametrize("size", SIZES)
def test_the_bound_holds_when_the_issuer_is_killed(size):
    """Guards against two entries that both issue permits of a cold endpoint."""
    for seed in SEEDS:
        endpoint = LimitedEndpoint("e", None)
        fleet = LimitsFleet(size, [endpoint], even(40.0, size), seed)
        turn_cold(fleet, 4.0, {"e": RATE}, seconds=9.0)
        fleet.run_until(6.0)
        fleet.kill(fleet.issuer_of("e"))
        fleet.at(7.0, fleet.update_peers)
        fleet.run_until(13.0)
        start = 4.0 + KNOWN_WITHIN_S + WINDOW_S
        assert endpoint.most_in(WINDOW_S, start, 13.0) <= allowed(RATE)


@pytest.mark.parametrize("size", SIZES)
def test_an_entry_that_is_cut_off_sends_nothing_to_a_cold_endpoint(size):
    """Guards against a part of a fleet that issues permits for the whole."""
    endpoint = LimitedEndpoint("e", None)
    fleet = LimitsFleet(size, [endpoint], even(40.0, size))
    turn_cold(fleet, 4.0, {"e": RATE}, seconds=9.0)
    fleet.run_until(5.5)
    fleet.cut = set(list(fleet.members)[: size // 2])
    fleet.run_until(13.0)
    start = 4.0 + KNOWN_WITHIN_S + WINDOW_S
    assert endpoint.most_in(WINDOW_S, start, 13.0) <= allowed(RATE)


def test_a_named_limit_of_a_cold_endpoint_holds_too():
    """Guards against the looser of two limits that are in force together."""
    endpoint = LimitedEndpoint("e", 2.0)
    fleet = LimitsFleet(6, [endpoint], even(40.0, 6))
    turn_cold(fleet, 6.0, {"e": RATE}, seconds=6.0)
    fleet.run_until(14.0)
    assert endpoint.most_in(4.0, 8.0, 14.0) <= 1.5 * 2.0 * 4.0 + 5
