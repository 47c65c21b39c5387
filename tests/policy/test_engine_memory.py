"""Tests that engines get no prompt that they cannot hold beside those they run."""

from amaranthtally.policy import AttemptId, EngineLimits, Pool
from amaranthtally.policy.result_memory import ActivePools, EngineMemory
from tests.policy.pieces import endpoint

POOLS = {"engines": Pool("engines", engine=EngineLimits(64, 1000))}
ENDPOINTS = {name: endpoint(name, "engines") for name in ("one", "two")}
PROMPT = ((1, 2), (600, 300))
SHARING = ((1, 3), (600, 90))
OTHER = ((4, 5), (600, 300))


def new_memory(*active):
    pools = ActivePools()
    for pool in active:
        pools.add(pool)
    memory = EngineMemory(pools)
    memory.configure(ENDPOINTS, POOLS)
    return memory


def test_an_engine_gets_no_prompt_that_would_preempt_a_stream():
    """An engine without memory for a prompt preempts a stream that runs there."""
    memory, attempt = new_memory("engines"), AttemptId("r", 0, 1)
    assert memory.full(0.0, "engines", PROMPT) == frozenset()
    memory.attempt_added(attempt, "one", PROMPT)
    assert memory.full(0.0, "engines", OTHER) == {"one"}
    assert memory.full(0.0, "engines", SHARING) == frozenset()
    memory.use_view(lambda now, name: 200.0 if name == "two" else 0.0)
    assert memory.full(0.0, "engines", OTHER) == {"one", "two"}
    memory.attempt_removed(attempt)
    assert memory.full(0.0, "engines", OTHER) == {"two"}
    assert memory.tokens("one") == 0


def test_without_reports_of_speed_no_engine_is_left_out():
    """Guards against refusals in deployments that the component is off for."""
    memory = new_memory()
    memory.attempt_added(AttemptId("r", 0, 1), "one", PROMPT)
    assert memory.full(0.0, "engines", OTHER) == frozenset()
