"""Endpoints that are cold: from when to when, and by whose word."""

from dataclasses import replace
from random import Random

import pytest

from amaranthtally.policy import Pool, RefusalReason
from amaranthtally.policy.groups import EndpointGroups
from amaranthtally.policy.sending.cold_endpoints import MAX_COLD_S, ColdEndpoints
from amaranthtally.policy.sending.permits import HOLD_OFF_S
from tests.policy.support import (
    PlannerDriver,
    endpoints,
    one_stage,
    planner,
    refusal,
    sends,
    settings,
)

RATE, START_S = 9.0, 3.0
# Least share of what a cold endpoint takes that it gets while there is more to do.
MIN_USED_SHARE = 0.1
POOLS = {"engine": Pool("engine", cold_rate=RATE, cold_start_s=START_S)}
NAME = "engine-0"


def listed(cold_s=0.0, revision=1, count=1, **options):
    named = endpoints("engine", local=count)
    changed = replace(named[NAME], cold_s=cold_s, revision=revision, **options)
    return {**named, NAME: changed}


@pytest.fixture
def cold():
    """Return the state of an entry that has known a warm endpoint for a while."""
    known = ColdEndpoints()
    known.configure(0.0, listed(), POOLS)
    return known


def test_an_endpoint_is_cold_for_as_long_as_its_record_says(cold):
    cold.configure(10.0, listed(2.0, revision=2), POOLS)
    assert cold.rates(11.9) == {NAME: RATE}
    assert cold.rates(12.1) == {}


def test_a_record_that_is_read_again_does_not_prolong_it(cold):
    """Guards against an endpoint that is spared anew with each change of settings."""
    cold.configure(10.0, listed(2.0, revision=2), POOLS)
    for now in (11.0, 11.5, 13.0, 14.0):
        cold.configure(now, listed(2.0, revision=2), POOLS)
    assert cold.rates(12.1) == {}
    assert cold.rates(14.0) == {}


def test_a_record_that_is_written_again_is_of_the_same_endpoint():
    """Guards against groups and loads that are built anew for an unchanged endpoint."""
    groups = EndpointGroups(Random(1))
    assert groups.replace("cluj", listed(revision=1))
    assert not groups.replace("cluj", listed(revision=2))


def test_a_record_that_says_so_ends_it(cold):
    cold.configure(10.0, listed(30.0, revision=2), POOLS)
    cold.configure(11.0, listed(0.0, revision=3), POOLS)
    assert cold.rates(11.0) == {}


@pytest.mark.parametrize("cold_s", [1e9, float("inf")])
def test_a_year_is_cut_short(cold, cold_s):
    """Guards against an endpoint that is never used because of what it claims."""
    cold.configure(10.0, listed(cold_s, revision=2), POOLS)
    assert cold.rates(10.0 + MAX_COLD_S - 0.1) == {NAME: RATE}
    assert cold.rates(10.0 + MAX_COLD_S + 0.1) == {}


@pytest.mark.parametrize("cold_s", [-5.0, 0.0, float("nan")])
def test_a_time_that_is_none_counts_as_warm(cold, cold_s):
    cold.configure(10.0, listed(cold_s, revision=2), POOLS)
    assert cold.rates(10.0) == {}


def test_one_that_starts_again_is_cold_whatever_it_says(cold):
    """Guards against a full load on an endpoint whose record lacks the field."""
    cold.configure(10.0, listed(0.0, revision=2, incarnation=7), POOLS)
    assert cold.rates(10.0 + START_S - 0.1) == {NAME: RATE}
    assert cold.rates(10.0 + START_S + 0.1) == {}


def test_one_that_is_taken_back_is_cold_whatever_it_says(cold):
    """Guards against endpoints that cooled down while their data centre was empty."""
    cold.configure(10.0, listed(takes_calls=False, is_evacuated=True), POOLS)
    assert cold.rates(10.0) == {}
    cold.configure(20.0, listed(), POOLS)
    assert cold.rates(20.0 + START_S - 0.1) == {NAME: RATE}
    assert cold.rates(20.0 + START_S + 0.1) == {}


def test_all_that_are_known_at_the_start_count_by_their_records():
    """Guards against a whole pool that is spared as a process starts."""
    known = ColdEndpoints()
    known.configure(0.0, {}, {})
    known.configure(0.1, listed(count=3), POOLS)
    assert known.rates(0.1) == {}


def test_a_pool_without_such_a_limit_has_no_cold_endpoints(cold):
    cold.configure(10.0, listed(5.0, revision=2), {"engine": Pool("engine")})
    assert cold.rates(10.0) == {}


def test_a_cold_endpoint_gets_its_rate_and_the_others_the_rest():
    """Guards against a burst on an endpoint that has just come back."""
    driven = PlannerDriver(
        planner(listed(count=3), pools=POOLS, entry="e1"), one_stage()
    )
    now = driven.train(run_s=0.005, count=400)
    cold = settings(listed(60.0, 2, count=3), pools=POOLS, entry="e1")
    driven.planner.settings_changed(now, cold)
    sent = {name: [] for name in listed(count=3)}
    trained = driven.serial
    start, end = now + HOLD_OFF_S, now + 8.0
    while now < end:
        for send in sends(driven.arrive(now) + driven.tick(now)):
            sent[send.endpoint].append(now)
            driven.reply(now + 0.005, send, run_s=0.005)
        now += 0.01
    used = sum(at >= start for at in sent[NAME])
    assert MIN_USED_SHARE * RATE * (end - start) <= used <= RATE * (end - start)
    assert sum(map(len, sent.values())) == driven.serial - trained


def test_a_burst_on_endpoints_that_are_all_cold_is_refused_with_a_time():
    """Guards against callers that wait, or come back at once, for cold endpoints."""
    driven = PlannerDriver(planner(listed(), pools=POOLS, entry="e1"), one_stage())
    now = driven.train(count=20)
    cold = settings(listed(60.0, 2), pools=POOLS, entry="e1")
    driven.planner.settings_changed(now, cold)
    actions = []
    for _ in range(300):
        actions += driven.arrive(now)
        actions += driven.tick(now)
        now += 0.01
    refused = [a for a in actions if hasattr(a, "reason")]
    assert refused
    assert all(a.reason is RefusalReason.COLD for a in refused)
    assert all(a.retry_after_s > 0 for a in refused)
    assert refusal([refused[0]]).outcome.value == "not_run"
