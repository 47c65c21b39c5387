"""Routing by the models that engines say they have."""

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


def test_an_endpoint_without_the_model_is_passed_over_and_asked_again():
    """
    Half of the requests are refused while one engine of two loads a version, or the
    engine stays idle for ever after: it gets no call, and nobody hears that it has
    the version by now.
    """
    pair = {
        name: replace(endpoint, models=("m@1", "m@2"))
        for name, endpoint in endpoints("engine", 2).items()
    }
    driver = PlannerDriver(planner(pair), one_stage(model="m@2"))
    lacking = replace(report(), models=frozenset({"m@1"}))
    having = replace(report(), models=frozenset({"m@1", "m@2"}))
    driver.planner.load_report(0.0, "engine-0", lacking)
    driver.planner.load_report(0.0, "engine-1", having)
    asked, now = set(), 0.0
    for _ in range(20):
        now += 0.2
        (send,) = sends(driver.arrive(now))
        assert send.endpoint == "engine-1"
        driver.reply(now, send)
        asked |= {a.endpoint for a in driver.tick(now) if isinstance(a, PollLoad)}
    assert "engine-0" in asked
    driver.planner.load_report(now, "engine-0", having)
    live = [sends(driver.arrive(now))[0].endpoint for _ in range(8)]
    assert set(live) == {"engine-0", "engine-1"}


def test_a_refusal_for_want_of_the_model_is_no_failure():
    """
    Every request is refused for a minute after a version was loaded: engines had said
    truly that they lacked it, and were ejected for that.
    """
    driver = PlannerDriver(planner(endpoints("engine", 3)), one_stage(model="m@2"))
    lacking = replace(report(), models=frozenset())
    having = replace(report(), models=frozenset({"m@2"}))
    for number in range(30):
        now = 1.0 + number * 0.01
        for name in endpoints("engine", 3):
            driver.planner.load_report(now, name, having)
        waiting = sends(driver.arrive(now))
        while waiting:
            send = waiting.pop()
            driver.planner.load_report(now, send.endpoint, lacking)
            waiting += sends(driver.reply(now, send, AttemptOutcome.NOT_RUN))
    assert driver.planner.counters.ejections == 0


def test_a_request_ends_with_the_model_it_began_with():
    """
    Requests that were accepted just before a change are refused in the middle: the
    model they ask for is registered nowhere any more, though engines still have it.
    """
    found = endpoints("engine", 2)
    old = {name: replace(e, models=("m@1",)) for name, e in found.items()}
    new = {name: replace(e, models=("m@2",)) for name, e in found.items()}
    driver = PlannerDriver(planner(old), one_stage(model="m@1"))
    (first,) = sends(driver.arrive(1.0))
    for name in found:
        has_old = replace(report(), models=frozenset({"m@1"}))
        driver.planner.load_report(1.0, name, has_old)
    driver.planner.settings_changed(1.1, settings(new))
    (again,) = sends(driver.reply(1.2, first, AttemptOutcome.FAILED))
    assert answered(driver.reply(1.3, again))


def test_an_engine_for_prompts_alone_gets_no_calls():
    pair = endpoints("engine", 2)
    pair["engine-0"] = replace(pair["engine-0"], takes_calls=False)
    driver = PlannerDriver(planner(pair), one_stage())
    used = {sends(driver.arrive(1.0 + n))[0].endpoint for n in range(20)}
    assert used == {"engine-1"}


def test_the_models_of_an_endpoint_without_calls_are_asked_for():
    """The last word of an idle endpoint stays for ever: nothing can be switched to."""
    (name,) = found = {
        name: replace(endpoint, models=("m@1", "m@2"))
        for name, endpoint in endpoints("engine", 1).items()
    }
    idle = planner(found)
    assert idle.tick(1.0) == [PollLoad(name)]
    idle.load_report(1.0, name, replace(report(), models=frozenset({"m@1"})))
    assert idle.tick(1.5) == []
    assert idle.tick(3.0) == [PollLoad(name)]
    idle.load_report(3.0, name, replace(report(), models=frozenset({"m@1", "m@2"})))
    assert idle.tick(9.0) == []
    more = {name: replace(found[name], models=("m@1", "m@2", "m@3"))}
    idle.settings_changed(10.0, settings(more))
    assert idle.tick(10.0) == [PollLoad(name)]
