"""Routing by the models that engines report as loaded."""

from dataclasses import replace

from amaranthtally.policy import AttemptOutcome, PollLoad
from tests.policy.support import (
    PlannerDriver,
    answered,
    endpoints,
    one_stage,
    planner,
    report,
    sends,
    settings,
)


def test_an_endpoint_without_the_model_is_skipped_and_polled():
    """
    While one engine of two is loading a version, half of the requests would be refused
    if they were sent to both. If that engine was not polled, it would stay idle for
    ever: it gets no calls, so that no reply would report the version as loaded.
    """
    pair = {
        name: replace(endpoint, models=("m@1", "m@2"))
        for name, endpoint in endpoints("engine", 2).items()
    }
    driver = PlannerDriver(planner(pair), one_stage(model="m@2"))
    without_model = replace(report(), models=frozenset({"m@1"}))
    with_model = replace(report(), models=frozenset({"m@1", "m@2"}))
    driver.planner.load_report(0.0, "engine-0", without_model)
    driver.planner.load_report(0.0, "engine-1", with_model)
    polled, now = set(), 0.0
    for _ in range(20):
        now += 0.2
        (send,) = sends(driver.arrive(now))
        assert send.endpoint == "engine-1"
        driver.reply(now, send)
        polled |= {a.endpoint for a in driver.tick(now) if isinstance(a, PollLoad)}
    assert "engine-0" in polled
    driver.planner.load_report(now, "engine-0", with_model)
    used = [sends(driver.arrive(now))[0].endpoint for _ in range(8)]
    assert set(used) == {"engine-0", "engine-1"}


def test_a_refusal_for_a_missing_model_is_no_failure():
    """
    When engines were ejected for refusing calls of a version that they had not loaded
    yet, every request was refused for a minute after they had loaded it.
    """
    driver = PlannerDriver(planner(endpoints("engine", 3)), one_stage(model="m@2"))
    without_model = replace(report(), models=frozenset())
    with_model = replace(report(), models=frozenset({"m@2"}))
    for number in range(30):
        now = 1.0 + number * 0.01
        for name in endpoints("engine", 3):
            driver.planner.load_report(now, name, with_model)
        pending = sends(driver.arrive(now))
        while pending:
            send = pending.pop()
            driver.planner.load_report(now, send.endpoint, without_model)
            pending += sends(driver.reply(now, send, AttemptOutcome.NOT_RUN))
    assert driver.planner.counters.ejections == 0


def test_a_request_completes_with_the_model_that_it_started_with():
    """
    The model of a request that was accepted just before a change is no longer
    configured at any endpoint, but engines still have it loaded. Such requests were
    refused midway.
    """
    pool = endpoints("engine", 2)
    old = {name: replace(e, models=("m@1",)) for name, e in pool.items()}
    new = {name: replace(e, models=("m@2",)) for name, e in pool.items()}
    driver = PlannerDriver(planner(old), one_stage(model="m@1"))
    (first,) = sends(driver.arrive(1.0))
    for name in pool:
        has_old = replace(report(), models=frozenset({"m@1"}))
        driver.planner.load_report(1.0, name, has_old)
    driver.planner.settings_changed(1.1, settings(new))
    (retry,) = sends(driver.reply(1.2, first, AttemptOutcome.FAILED))
    assert answered(driver.reply(1.3, retry))


def test_an_engine_in_the_prefill_role_gets_no_calls():
    pair = endpoints("engine", 2)
    pair["engine-0"] = replace(pair["engine-0"], takes_calls=False)
    driver = PlannerDriver(planner(pair), one_stage())
    used = {sends(driver.arrive(1.0 + n))[0].endpoint for n in range(20)}
    assert used == {"engine-1"}


def test_the_models_of_an_endpoint_without_calls_are_polled():
    """
    An idle endpoint sends no replies and hence no reports. Without polling its last
    report would stay, and pipelines could not be switched to the models it has loaded.
    """
    (name,) = configured = {
        name: replace(endpoint, models=("m@1", "m@2"))
        for name, endpoint in endpoints("engine", 1).items()
    }
    idle = planner(configured)
    assert idle.tick(1.0) == [PollLoad(name)]
    idle.load_report(1.0, name, replace(report(), models=frozenset({"m@1"})))
    assert idle.tick(1.5) == []
    assert idle.tick(3.0) == [PollLoad(name)]
    idle.load_report(3.0, name, replace(report(), models=frozenset({"m@1", "m@2"})))
    assert idle.tick(9.0) == []
    more = {name: replace(configured[name], models=("m@1", "m@2", "m@3"))}
    idle.settings_changed(10.0, settings(more))
    assert idle.tick(10.0) == [PollLoad(name)]
