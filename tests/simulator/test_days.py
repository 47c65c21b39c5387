"""Days of deployments: what is drawn, what is counted, and what is caught."""

from dataclasses import replace

import msgspec
import pytest

from amaranthtally.policy import RefusalReason, Refuse, RequestOutcome
from amaranthtally.simulator.callers import Callers, Drawn
from amaranthtally.simulator.clock import VirtualClock
from amaranthtally.simulator.days import simulate, simulate_day
from amaranthtally.simulator.draw import draw_deployment
from amaranthtally.simulator.faults import fault_kinds
from amaranthtally.simulator.mechanisms import POLICY, Variant, variant, variant_names
from amaranthtally.simulator.requests import Ending
from amaranthtally.simulator.world import World
from tests.simulator.support import CLAIM, ORDER, fault, small

TARGETS = {
    "kill": "cluj-a/0",
    "freeze": "cluj-a/0",
    "store_cut": "cluj-a/0",
    "cut": "cluj-a",
    "burst": "claim",
    "kill_all": "",
    "rolling_stop": "",
}
SEARCHED_S = 10.0


def played(*faults, seed=1, chosen=POLICY, **options):
    return simulate(small(*faults, **options), seed, chosen)


def test_a_calm_day_is_on_time():
    day = simulate_day(small(), 1)
    assert day.broken == ()
    assert day.on_time >= 0.97
    assert day.worth <= day.earned


def test_a_day_is_the_same_each_time():
    deployment = draw_deployment(14, seconds=6.0)
    assert simulate_day(deployment, 2) == simulate_day(deployment, 2)
    assert simulate_day(deployment, 2) != simulate_day(deployment, 3)


@pytest.mark.parametrize("kind", fault_kinds())
def test_no_fault_breaks_a_promise(kind):
    target = TARGETS.get(kind, "catalogue/cluj-a/0")
    world = played(fault(kind, target), seconds=16.0)
    assert world.promises.broken == []
    assert len(world.callers.records) > 100


@pytest.mark.parametrize("kind", ["crash", "hang", "dark", "slow", "lost_answers"])
@pytest.mark.parametrize("pool", ["engines", "desk"])
def test_an_endpoint_that_fails_is_worked_round(kind, pool):
    world = played(fault(kind, f"{pool}/cluj-a/0"), seconds=12.0)
    after = [v for v in world.callers.records if v.arrived_at > 8.0]
    assert world.promises.broken == []
    assert sum(v.ending is Ending.ON_TIME for v in after) >= 0.95 * len(after)


@pytest.mark.parametrize("name", variant_names())
def test_each_variant_meets_the_same_requests(name):
    base = played(seconds=4.0)
    other = played(seconds=4.0, chosen=variant(name))

    def came(world):
        return sorted((v.kind, v.arrived_at) for v in world.callers.records)

    assert came(other) == came(base)


def test_a_variant_without_owners_is_caught():
    """Entries that differ for ever in whom they take for the owner go unnoticed."""
    world = played(
        fault("kill", "cluj-a/0", 1.0, 1.0), seconds=12.5, chosen=variant("no owners")
    )
    assert any("owners at" in line for line in world.promises.broken)


def test_an_effect_that_runs_twice_is_caught():
    """A policy that repeats what may run once goes unnoticed."""

    def repeat(arrival):
        stages = tuple(replace(s, repeatable=True) for s in arrival.pipeline.stages)
        return replace(arrival, pipeline=replace(arrival.pipeline, stages=stages))

    careless = Variant(adapt_arrival=repeat)
    lost = fault("lost_answers", "desk/cluj-a/0", 1.0, 5.0)
    world = played(lost, chosen=careless)
    effects = [line for line in world.promises.broken if line.startswith("order-")]
    assert any("ran 2 times" in line for line in effects)
    assert not any("ran" in line for line in played(lost).promises.broken)


def test_an_effect_that_runs_after_its_refusal_is_caught():
    """A call that waits somewhere runs after its caller was told that it did not."""
    world = World(small(kinds=(ORDER,)), 1)
    request = world.drawn.new_request(ORDER, 0, 0.0)
    request.tries = 1
    refusal = Refuse(request.try_id, RequestOutcome.NOT_RUN, RefusalReason.OVERLOAD)
    world.promises.note_refusal(request, refusal)
    world.promises.check_end()
    assert world.promises.broken == []
    world.servers["desk/cluj-a/0"].ran.append(request.id)
    world.promises.check_end()
    assert world.promises.broken == ["order-0.1 ran after it was said not to have"]


def test_unbounded_retries_are_caught():
    """Retries beyond the budget go unnoticed."""
    lost = fault("lost_answers", "desk", 1.0, 6.0)
    kinds = (often(ORDER, "read", "idempotent"),)
    options = {"kinds": kinds, "retry_reserve": 1.0, "retry_budget": 0.05}
    loose = played(lost, chosen=variant("no bound of retries"), **options)
    assert any("retries of" in line for line in loose.promises.broken)
    assert played(lost, **options).promises.broken == []


def often(kind, name, call):
    """Return a kind under another name that comes often."""
    return type(kind)(name, kind.pool, 40.0, kind.objective_s, kind.deadline_s, call)


@pytest.mark.parametrize("block", range(10))
def test_drawn_days_keep_the_promises(block):
    """Some order of faults and callers that nobody thought of breaks a promise."""
    for seed in range(5 * block, 5 * block + 5):
        day = simulate_day(draw_deployment(seed, seconds=SEARCHED_S), seed)
        assert day.broken == (), f"deployment {seed}"


def test_a_caller_that_was_refused_has_not_lost_its_patience():
    """One that is told to come back in two seconds is counted as gone after one."""
    deployment = small(kinds=(with_patience(CLAIM, 1.0),))
    clock, drawn = VirtualClock(), Drawn(deployment, 1)
    sent = []
    callers = Callers(
        clock, deployment, drawn, lambda request, random: not sent.append(clock.now), id
    )
    request = drawn.new_request(deployment.kinds[0], 0, 0.0)
    callers.take(request)
    refusal = Refuse(
        request.try_id, RequestOutcome.NOT_RUN, RefusalReason.OVERLOAD, 2.0
    )
    callers.refused(request, refusal)
    clock.run(2.5)
    assert sent == [0.0, 2.0]
    assert callers.records == []
    clock.run(3.5)
    assert [one.ending for one in callers.records] == [Ending.ABANDONED]


def with_patience(kind, patience_s):
    """Return a kind whose callers leave after so long without an event."""
    return msgspec.structs.replace(kind, patience_s=patience_s)
