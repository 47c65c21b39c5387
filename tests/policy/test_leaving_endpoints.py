"""Endpoints that have said in their responses that they leave."""

from dataclasses import replace

import pytest

from amaranthtally.policy import AttemptOutcome
from amaranthtally.policy.sending.leaving_endpoints import MAX_LEAVING, LeavingEndpoints
from tests.policy.support import PlannerDriver, endpoints, one_stage, planner, sends


def test_all_settings_that_follow_say_that_it_takes_no_calls():
    """Guards against a record that is read later and readmits it."""
    listed = endpoints("engine", 2)
    driver = PlannerDriver(planner(listed), one_stage())
    leaving, other = sorted(listed)
    driver.planner.leaving_announced(1.0, listed[leaving])
    settings = replace(driver.planner._settings, endpoints=dict(listed))
    driver.planner.settings_changed(2.0, settings)
    sent = {s.endpoint for n in range(20) for s in sends(driver.arrive(2.1 + n / 100))}
    assert sent == {other}


@pytest.mark.parametrize("state", ["draining", "missing"])
def test_it_is_known_whatever_its_record_says_at_that_time(state):
    """Guards against a record of before that is read again after an outage."""
    listed = endpoints("engine", 2)
    driver = PlannerDriver(planner(listed), one_stage())
    leaving, other = sorted(listed)
    at_that_time = {other: listed[other]}
    if state == "draining":
        at_that_time[leaving] = replace(listed[leaving], takes_calls=False)
    settings = driver.planner._settings
    driver.planner.settings_changed(0.9, replace(settings, endpoints=at_that_time))
    driver.planner.leaving_announced(1.0, listed[leaving])
    driver.planner.settings_changed(2.0, replace(settings, endpoints=dict(listed)))
    sent = {s.endpoint for n in range(20) for s in sends(driver.arrive(2.1 + n / 100))}
    assert sent == {other}


def test_what_it_still_runs_is_lost_as_planned():
    """Guards against prompts that are blocked for endpoints that left as planned."""
    listed = endpoints("engine", 1)
    driver = PlannerDriver(planner(listed), one_stage())
    (send,) = sends(driver.arrive(1.0, prefix=(1, 2)))
    driver.planner.leaving_announced(1.1, listed[send.endpoint])
    driver.reply(1.2, send, AttemptOutcome.FAILED, connection_lost=True)
    driver.planner.settings_changed(
        1.3, replace(driver.planner._settings, endpoints={})
    )
    assert not driver.planner.prompts._losses.ends(1.3)


def test_the_number_that_is_remembered_is_bounded():
    """Guards against memory that grows with each endpoint that ever left."""
    leaving = LeavingEndpoints()
    (endpoint,) = endpoints("engine", 1).values()
    for number in range(MAX_LEAVING + 10):
        leaving.add(replace(endpoint, id=f"i-{number}"))
    first, last = (replace(endpoint, id=f"i-{n}") for n in (0, MAX_LEAVING + 9))
    applied = leaving.apply({e.id: e for e in (first, last)})
    assert [e.takes_calls for e in applied.values()] == [True, False]
