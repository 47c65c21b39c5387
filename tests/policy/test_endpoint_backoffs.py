"""Endpoints that asked for a backoff, in all decisions of one entry."""

from dataclasses import replace

import pytest

from amaranthtally.policy import AttemptOutcome, RefusalReason, Refuse
from tests.policy.support import (
    PlannerDriver,
    endpoints,
    one_stage,
    planner,
    sends,
)

BACKOFF_S = 3.0


def new_driver(count=2, **stage):
    stage = {"max_attempts": 4, "repeatable": True} | stage
    return PlannerDriver(planner(endpoints("engine", count)), one_stage(**stage))


def ask_backoff(driver, now, name, backoff_s=BACKOFF_S):
    endpoint = driver.planner._settings.endpoints[name]
    driver.planner.backoffs.backoff_requested(now, endpoint, backoff_s)


def names(driver):
    return sorted(driver.planner._settings.endpoints)


def arrive_many(driver, start, count=20):
    return [s for n in range(count) for s in sends(driver.arrive(start + 0.01 * n))]


def test_first_attempts_go_to_the_others_until_the_backoff_is_over():
    """Guards against requests at the usual rate in the backoff of an endpoint."""
    driver = new_driver()
    busy, other = names(driver)
    ask_backoff(driver, 1.0, busy)
    assert {send.endpoint for send in arrive_many(driver, 1.1)} == {other}
    later = 1.0 + BACKOFF_S + 0.1
    assert busy in {send.endpoint for send in arrive_many(driver, later)}


def test_retries_and_hedges_leave_it_alone_too():
    """Guards against a second attempt at the only endpoint that has not failed."""
    driver = new_driver(hedges=True)
    busy, other = names(driver)
    ask_backoff(driver, 1.0, busy)
    (first,) = sends(driver.arrive(1.1))
    assert first.endpoint == other
    actions = driver.reply(1.2, first, AttemptOutcome.FAILED)
    assert not [send for send in sends(actions) if send.endpoint == busy]
    hedges = [s for n in range(100) for s in sends(driver.tick(1.2 + 0.02 * n))]
    assert not [send for send in hedges if send.endpoint == busy]


def test_an_ejected_endpoint_is_not_probed_in_its_backoff():
    """Guards against probes, which are requests as well."""
    driver = new_driver()
    busy, _ = names(driver)
    for _ in range(3):
        driver.planner._ejections.failed(1.0, busy, "engine", 2)
    assert driver.planner._ejections.is_ejected(busy)
    ask_backoff(driver, 1.0, busy, 5.0)
    backing_off = {send.endpoint for send in arrive_many(driver, 5.0, 40)}
    assert backing_off == {names(driver)[1]}
    assert busy in {send.endpoint for send in arrive_many(driver, 6.1, 40)}


def test_without_another_endpoint_requests_are_refused_for_the_shortest_backoff():
    """Guards against callers that wait in vain, or come back too late."""
    driver = new_driver()
    busy, other = names(driver)
    ask_backoff(driver, 1.0, busy, 3.0)
    ask_backoff(driver, 1.0, other, 2.0)
    (refusal,) = driver.arrive(1.1)
    assert isinstance(refusal, Refuse)
    assert refusal.reason is RefusalReason.OVERLOAD
    assert refusal.retry_after_s == pytest.approx(1.9)


def test_a_request_waits_for_a_backoff_that_is_nearly_over():
    """Guards against refusals a moment before an endpoint takes requests again."""
    driver = new_driver(count=1)
    (busy,) = names(driver)
    ask_backoff(driver, 1.0, busy, 1.0)
    assert not driver.arrive(1.8)
    assert not sends(driver.tick(1.9))
    assert [send.endpoint for send in sends(driver.tick(2.01))] == [busy]


def test_the_longest_of_several_backoffs_is_in_force():
    """Guards against a shorter backoff that comes later and ends a longer one."""
    driver = new_driver()
    busy, other = names(driver)
    ask_backoff(driver, 1.0, busy, 3.0)
    ask_backoff(driver, 1.1, busy, 0.5)
    assert {send.endpoint for send in arrive_many(driver, 2.0)} == {other}


def test_an_endpoint_that_has_started_again_has_no_backoff():
    """Guards against an idle endpoint that is spared for what it was before."""
    driver = new_driver(count=1)
    (busy,) = names(driver)
    ask_backoff(driver, 1.0, busy, 30.0)
    settings = driver.planner._settings
    restarted = replace(settings.endpoints[busy], incarnation=2)
    driver.planner.settings_changed(1.5, replace(settings, endpoints={busy: restarted}))
    assert sends(driver.arrive(1.6))


def test_a_backoff_outlives_a_record_that_is_missing_for_a_while():
    """Guards against requests in a backoff as the store drops and restores records."""
    driver = new_driver()
    busy, other = names(driver)
    ask_backoff(driver, 1.0, busy)
    settings = driver.planner._settings
    without = {other: settings.endpoints[other]}
    driver.planner.settings_changed(1.2, replace(settings, endpoints=without))
    driver.planner.settings_changed(1.4, settings)
    assert {send.endpoint for send in arrive_many(driver, 1.5)} == {other}


def test_a_backoff_that_comes_while_the_record_is_missing_is_kept():
    """Guards against a backoff that comes just as the store has dropped a record."""
    driver = new_driver()
    busy, other = names(driver)
    settings = driver.planner._settings
    without = {other: settings.endpoints[other]}
    driver.planner.settings_changed(0.9, replace(settings, endpoints=without))
    driver.planner.backoffs.backoff_requested(1.0, settings.endpoints[busy], BACKOFF_S)
    driver.planner.settings_changed(1.2, settings)
    assert {send.endpoint for send in arrive_many(driver, 1.3)} == {other}
