"""A stream is sent only to endpoints of the software version that began it."""

from dataclasses import replace

from amaranthtally.policy import AttemptOutcome, Cancel, Refuse
from tests.policy.support import (
    PlannerDriver,
    endpoints,
    one_stage,
    planner,
    sends,
)

SEEDS = range(12)


def versioned_driver(*versions, seed=1, **stage):
    """Return a driver with one engine for each of the versions."""
    listed = endpoints("engine", len(versions))
    listed = {
        name: replace(endpoint, version=version)
        for (name, endpoint), version in zip(listed.items(), versions, strict=True)
    }
    driver = PlannerDriver(planner(listed, seed), one_stage(streams=True, **stage))
    return driver, {name: endpoint.version for name, endpoint in listed.items()}


def test_a_stream_that_lost_its_engine_goes_on_at_its_version():
    """Guards against one answer made of events of two software versions."""
    for seed in SEEDS:
        driver, version_of = versioned_driver("v1", "v1", "v2", "v2", "v2", seed=seed)
        (first,) = sends(driver.arrive(1.0))
        driver.planner.progress(1.1, first.attempt, 1)
        actions = driver.reply(1.2, first, AttemptOutcome.FAILED)
        if version_of[first.endpoint] == "v1":
            (second,) = sends(actions)
            assert version_of[second.endpoint] == "v1"
            assert second.endpoint != first.endpoint
        else:
            assert all(version_of[s.endpoint] == "v2" for s in sends(actions))


def test_a_stream_without_an_engine_of_its_version_is_ended():
    """Guards against a stream that goes on at the only engine left, of another kind."""
    driver, _ = versioned_driver("v1", "v2")
    (first,) = sends(driver.arrive(1.0))
    driver.planner.progress(1.1, first.attempt, 1)
    driver.planner.endpoint_leaving(1.15, first.endpoint)
    (end,) = driver.reply(1.2, first, AttemptOutcome.FAILED)
    assert isinstance(end, Refuse)


def test_a_stream_without_events_may_begin_at_any_version():
    driver, _ = versioned_driver("v1", "v2")
    (first,) = sends(driver.arrive(1.0))
    (second,) = sends(driver.reply(1.2, first, AttemptOutcome.FAILED))
    assert second.endpoint != first.endpoint


def test_a_hedge_of_another_version_is_cancelled_at_the_first_event():
    """Guards against two attempts of different versions that both write one answer."""
    driver, version_of = versioned_driver("v1", "v2")
    now = driver.train()
    (slow,) = sends(driver.arrive(now))
    hedges = [s for n in range(1, 200) for s in sends(driver.tick(now + 0.02 * n))]
    (hedge,) = hedges
    assert version_of[hedge.endpoint] != version_of[slow.endpoint]
    actions = driver.planner.progress(now + 4.1, slow.attempt, 1)
    assert actions == [Cancel(hedge.attempt, hedge.endpoint)]
