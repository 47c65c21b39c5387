"""Hedges of first attempts that have stalled, where a shared view shows room."""

from random import Random

import pytest

from amaranthtally.policy import (
    GATEWAY_COMPONENTS,
    Cancel,
    Pipeline,
    Planner,
    PolicySettings,
    Stage,
    gateway_settings,
)
from amaranthtally.policy.engine_choice import StalledAttempts
from tests.policy.engine_fleet import SITES, FakeView, Figures, engines
from tests.policy.support import PlannerDriver, sends


def driver(figures=None, trained=60, **options):
    """Return a driver of a gateway's planner that has seen streams begin in time."""
    options = {"streams": True, "hedges": False, "max_attempts": 3} | options
    stage = Stage("chat", "engines", **options)
    place = SITES[0][:-2], SITES[0]
    settings = gateway_settings(PolicySettings(1, *place, engines(6, SITES[:1])))
    planner = Planner(settings, Random(1), GATEWAY_COMPONENTS)
    planner._router.set_view(FakeView(figures or Figures()))
    driven = PlannerDriver(planner, Pipeline("chat", (stage,), 20.0, 0.9))
    for n in range(trained):
        (send,) = sends(arrive(driven, float(n)))
        if stage.streams:
            planner.progress(n + 0.1, send.attempt, 1)
        driven.reply(n + 0.5, send, run_s=0.5)
    return driven


def arrive(driven, now, **options):
    prefix = (1, 2, 1_000 + driven.serial)
    return driven.arrive(
        now, deadline_s=20.0, prefix=prefix, prefix_sizes=(100, 70, 540), **options
    )


def hedges_within(driven, now, seconds=3.0):
    found = []
    for step in range(int(seconds * 50)):
        found += sends(driven.tick(now + step / 50))
    return found


def test_a_first_attempt_that_has_stalled_is_sent_to_a_second_engine():
    """Guards against a stream that waits for an engine which hangs."""
    driven = driver()
    (first,) = sends(arrive(driven, 100.0))
    (second,) = hedges_within(driven, 100.0)
    assert second.stalled
    assert second.hedge
    assert second.endpoint != first.endpoint


@pytest.mark.parametrize("winner", [0, 1])
def test_only_the_stream_that_begins_goes_on(winner):
    """Guards against a caller that gets the events of two streams."""
    driven = driver()
    attempts = [*sends(arrive(driven, 100.0)), *hedges_within(driven, 100.0)]
    actions = driven.planner.progress(104.0, attempts[winner].attempt, 1)
    loser = attempts[1 - winner]
    assert [a for a in actions if isinstance(a, Cancel)] == [
        Cancel(loser.attempt, loser.endpoint)
    ]


def test_a_stream_that_has_begun_is_not_hedged():
    """Guards against a second prompt for what a caller has in part already."""
    driven = driver()
    (first,) = sends(arrive(driven, 100.0))
    driven.planner.progress(100.1, first.attempt, 1)
    assert not hedges_within(driven, 100.2)


@pytest.mark.parametrize("streams", [True, False])
def test_a_request_that_must_not_be_repeated_is_not_hedged(streams):
    """Guards against a request that runs twice."""
    driven = driver(repeatable=False, streams=streams)
    arrive(driven, 100.0)
    assert not hedges_within(driven, 100.0)


@pytest.mark.parametrize(
    "figures", [Figures(weight=0.0), Figures(weight=0.2), Figures(calls=64.0)]
)
def test_without_room_by_the_view_nothing_is_hedged(figures):
    """Guards against hedges that lengthen queues, and against an old view."""
    driven = driver()
    driven.planner._router.set_view(FakeView(figures))
    arrive(driven, 100.0)
    assert not hedges_within(driven, 100.0)


def test_hedges_stay_within_their_budget():
    """Guards against a pool that hangs and gets twice the prompts."""
    driven = driver()
    for n in range(50):
        arrive(driven, 100.0 + n / 100)
    assert 1 <= len(hedges_within(driven, 100.5, 5.0)) <= 1 + 50 * 0.04


def test_a_call_without_a_stream_is_hedged_too():
    """Guards against a lookup that waits for a service which hangs."""
    driven = driver(streams=False, hedges=True)
    driven.arrive(100.0, deadline_s=20.0)
    assert [send.stalled for send in hedges_within(driven, 100.0, 1.5)] == [True]


def test_short_attempts_stall_before_long_ones():
    """Guards against a budget that long prompts use up."""
    stalls = StalledAttempts()
    for n in range(100):
        stalls.note("engines", 0.1 if n % 2 else 1.0, 0.1 if n % 2 else 1.0)
    short, long = (stalls.stalled_after_s("engines", s) for s in (0.1, 1.0))
    assert 0.1 <= short < 0.15
    assert 2.0 <= long < 3.0
