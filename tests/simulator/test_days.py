"""Tests of simulated days: repeatability, fault handling and the invariant checks."""

from dataclasses import replace

import msgspec
import pytest

from amaranthtally.policy import RefusalReason, Refuse, RequestOutcome
from amaranthtally.simulator.callers import Callers, Workload
from amaranthtally.simulator.clock import VirtualClock
from amaranthtally.simulator.days import simulate, simulate_day
from amaranthtally.simulator.draw import draw_deployment
from amaranthtally.simulator.faults import fault_kinds
from amaranthtally.simulator.mechanisms import POLICY, Variant, variant, variant_names
from amaranthtally.simulator.requests import Ending
from amaranthtally.simulator.simulation import Simulation
from tests.simulator.support import CLAIM, ORDER, fault, small_deployment

TARGETS = {
    "kill": "cluj-a/0",
    "freeze": "cluj-a/0",
    "store_cut": "cluj-a/0",
    "cut": "cluj-a",
    "burst": "claim",
    "kill_all": "",
    "rolling_stop": "",
}
RANDOM_DAY_S = 10.0


def run_small(*faults, seed=1, policy_variant=POLICY, **options):
    return simulate(small_deployment(*faults, **options), seed, policy_variant)


def test_requests_are_on_time_without_faults():
    day = simulate_day(small_deployment(), 1)
    assert day.broken == ()
    assert day.on_time >= 0.97
    assert day.worth <= day.earned


def test_a_day_is_deterministic():
    deployment = draw_deployment(14, seconds=6.0)
    assert simulate_day(deployment, 2) == simulate_day(deployment, 2)
    assert simulate_day(deployment, 2) != simulate_day(deployment, 3)


@pytest.mark.parametrize("kind", fault_kinds())
def test_no_fault_violates_an_invariant(kind):
    target = TARGETS.get(kind, "catalogue/cluj-a/0")
    simulation = run_small(fault(kind, target), seconds=16.0)
    assert simulation.invariants.violations == []
    assert len(simulation.callers.records) > 100


@pytest.mark.parametrize("kind", ["crash", "hang", "dark", "slow", "lost_answers"])
@pytest.mark.parametrize("pool", ["engines", "desk"])
def test_requests_are_on_time_despite_a_failing_endpoint(kind, pool):
    simulation = run_small(fault(kind, f"{pool}/cluj-a/0"), seconds=12.0)
    after = [record for record in simulation.callers.records if record.arrived_at > 8.0]
    assert simulation.invariants.violations == []
    assert sum(record.ending is Ending.ON_TIME for record in after) >= 0.95 * len(after)


@pytest.mark.parametrize("name", variant_names())
def test_each_variant_receives_the_same_requests(name):
    base = run_small(seconds=4.0)
    other = run_small(seconds=4.0, policy_variant=variant(name))

    def arrivals(simulation):
        return sorted(
            (record.kind, record.arrived_at) for record in simulation.callers.records
        )

    assert arrivals(other) == arrivals(base)


def test_a_variant_without_owners_is_detected():
    """Fails if the check misses a permanent disagreement on a pool owner."""
    simulation = run_small(
        fault("kill", "cluj-a/0", 1.0, 1.0),
        seconds=12.5,
        policy_variant=variant("no owners"),
    )
    assert any("owners at" in line for line in simulation.invariants.violations)


def test_an_effect_that_runs_twice_is_detected():
    """Fails if the check misses a request that may run only once and was repeated."""

    def repeat(arrival):
        stages = tuple(replace(s, repeatable=True) for s in arrival.pipeline.stages)
        return replace(arrival, pipeline=replace(arrival.pipeline, stages=stages))

    repeating = Variant(adapt_arrival=repeat)
    lost = fault("lost_answers", "desk/cluj-a/0", 1.0, 5.0)
    simulation = run_small(lost, policy_variant=repeating)
    effects = [
        line for line in simulation.invariants.violations if line.startswith("order-")
    ]
    assert any("ran 2 times" in line for line in effects)
    assert not any("ran" in line for line in run_small(lost).invariants.violations)


def test_an_effect_that_runs_after_its_refusal_is_detected():
    """Fails if the check misses a call that runs after it was reported as not run."""
    simulation = Simulation(small_deployment(kinds=(ORDER,)), 1)
    request = simulation.workload.new_request(ORDER, 0, 0.0)
    request.tries = 1
    refusal = Refuse(request.try_id, RequestOutcome.NOT_RUN, RefusalReason.OVERLOAD)
    simulation.invariants.note_refusal(request, refusal)
    simulation.invariants.check_end()
    assert simulation.invariants.violations == []
    simulation.servers["desk/cluj-a/0"].run_ids.append(request.id)
    simulation.invariants.check_end()
    assert simulation.invariants.violations == [
        "order-0.1 ran after it was said not to have"
    ]


def test_unbounded_retries_are_detected():
    """Fails if the check misses retries beyond the budget."""
    lost = fault("lost_answers", "desk", 1.0, 6.0)
    kinds = (frequent(ORDER, "read", "idempotent"),)
    options = {"kinds": kinds, "retry_reserve": 1.0, "retry_budget": 0.05}
    unbounded = run_small(
        lost, policy_variant=variant("no bound of retries"), **options
    )
    assert any("retries of" in line for line in unbounded.invariants.violations)
    assert run_small(lost, **options).invariants.violations == []


def frequent(kind, name, call):
    """Return a kind with another name and a high rate."""
    return type(kind)(name, kind.pool, 40.0, kind.objective_s, kind.deadline_s, call)


@pytest.mark.parametrize("block", range(10))
def test_random_days_violate_no_invariant(block):
    """Guards against violations by combinations of faults that no other test has."""
    for seed in range(5 * block, 5 * block + 5):
        day = simulate_day(draw_deployment(seed, seconds=RANDOM_DAY_S), seed)
        assert day.broken == (), f"deployment {seed}"


def test_a_refusal_stops_the_caller_timeout():
    """
    A caller timeout must not keep running after a refusal.

    A caller that was to retry after two seconds was counted as abandoned after one.
    """
    deployment = small_deployment(kinds=(with_caller_timeout(CLAIM, 1.0),))
    clock, workload = VirtualClock(), Workload(deployment, 1)
    sent = []
    callers = Callers(
        clock,
        deployment,
        workload,
        lambda request, random: not sent.append(clock.now),
        id,
    )
    request = workload.new_request(deployment.kinds[0], 0, 0.0)
    callers.submit(request)
    refusal = Refuse(
        request.try_id, RequestOutcome.NOT_RUN, RefusalReason.OVERLOAD, 2.0
    )
    callers.refusal_received(request, refusal)
    clock.run(2.5)
    assert sent == [0.0, 2.0]
    assert callers.records == []
    clock.run(3.5)
    assert [record.ending for record in callers.records] == [Ending.ABANDONED]


def with_caller_timeout(kind, patience_s):
    """Return a kind whose callers disconnect after this time without an event."""
    return msgspec.structs.replace(kind, patience_s=patience_s)


def test_a_prompt_delays_the_streams_that_run_beside_it():
    """Guards against a simulator in which prompts may gather at one engine for free."""
    streams = msgspec.structs.replace(
        CLAIM,
        name="stream",
        stages=(),
        max_gap_s=0.1,
        own_tokens=(100, 100),
        answer_tokens=(200, 200),
    )
    prompts = msgspec.structs.replace(
        CLAIM, name="prompt", stages=(), rate=3.0, own_tokens=(12_000, 12_000)
    )

    def late(*kinds):
        deployment = small_deployment(seconds=8.0, kinds=kinds)
        records = simulate(deployment, 1).callers.records
        ended = [r for r in records if r.kind == "stream"]
        return sum(r.ending is Ending.LATE for r in ended) / len(ended)

    assert late(streams) == 0.0
    assert late(streams, prompts) > 0.1
