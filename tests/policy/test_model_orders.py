"""The planning of model orders, without I/O or a clock."""

import pytest

from amaranthtally.policy import (
    DesiredModels,
    EngineModels,
    ModelUsage,
    plan_model_orders,
)
from amaranthtally.policy.model_orders import MAX_ORDERS, Load, SetRole, Unload

OLD, NEW, OTHER = "m@1", "m@2", "n+a@1"
UNLOAD_AFTER_S = 10.0
IDLE_S = {OLD: UNLOAD_AFTER_S, NEW: UNLOAD_AFTER_S, OTHER: UNLOAD_AFTER_S}


def engine(*models, role="both"):
    return EngineModels(frozenset(models), role)


def unused(**fields):
    return ModelUsage(idle_s=IDLE_S, **fields)


def step(desired, current, usage=None):
    return plan_model_orders(desired, current, usage or unused(), UNLOAD_AFTER_S)


def test_a_new_version_is_loaded_before_the_old_one_is_unloaded():
    desired = DesiredModels((NEW,))
    loading = step(desired, engine(OLD))
    assert loading.orders == (Load(NEW),)
    assert not loading.retired
    retiring = step(desired, engine(OLD, NEW))
    assert retiring.retired == {OLD}
    assert retiring.orders == ()
    assert retiring.pending
    unloading = step(desired, engine(OLD, NEW), unused(retired=frozenset({OLD})))
    assert unloading.orders == (Unload(OLD),)


@pytest.mark.parametrize(
    "usage",
    [
        ModelUsage(idle_s={OLD: UNLOAD_AFTER_S - 0.1}),
        unused(required=frozenset({OLD})),
    ],
)
def test_a_model_in_use_is_not_retired(usage):
    plan = step(DesiredModels((NEW,)), engine(OLD, NEW), usage)
    assert not plan.retired
    assert plan.orders == ()


def test_an_unload_waits_for_running_calls():
    usage = unused(retired=frozenset({OLD}), running={OLD: 1})
    plan = step(DesiredModels((NEW,)), engine(OLD, NEW), usage)
    assert plan.retired == {OLD}
    assert plan.orders == ()
    assert plan.pending


def test_a_model_that_is_desired_again_is_no_longer_retired():
    plan = step(DesiredModels((OLD,)), engine(OLD), unused(retired=frozenset({OLD})))
    assert not plan.retired
    assert plan.orders == ()


def test_only_as_many_models_are_unloaded_as_slots_are_needed():
    desired = DesiredModels((NEW,), slots=2)
    usage = unused(retired=frozenset({OLD, OTHER}))
    plan = step(desired, engine(OLD, OTHER), usage)
    assert plan.retired == {OLD}
    assert plan.orders == (Unload(OLD),)


def test_a_load_is_blocked_without_a_model_to_unload():
    usage = ModelUsage(idle_s={})
    plan = step(DesiredModels((NEW,), slots=1), engine(OLD), usage)
    assert plan.orders == ()
    assert "no room for m@2" in plan.blocked_reason


def test_a_role_changes_only_while_nothing_runs():
    desired = DesiredModels((OLD,), "decode")
    first = step(desired, engine(OLD))
    assert first.paused
    assert first.orders == ()
    busy = step(desired, engine(OLD), unused(paused=True, running={OLD: 1}))
    assert busy.paused
    assert busy.orders == ()
    idle = step(desired, engine(OLD), unused(paused=True, running={OLD: 0}))
    assert idle.orders == (SetRole("decode"),)
    assert not step(desired, engine(OLD, role="decode")).paused


def test_an_engine_in_the_prefill_role_gets_no_calls():
    desired = DesiredModels((OLD, NEW), "both")
    assert step(desired, engine(OLD, role="prefill")).paused
    assert step(DesiredModels((OLD,), "prefill"), engine(OLD, role="prefill")).paused


def test_the_orders_of_one_step_are_bounded():
    models = tuple(f"m{number}" for number in range(20))
    assert len(step(DesiredModels(models), engine()).orders) == MAX_ORDERS
    current = engine(NEW, *models)
    usage = ModelUsage(
        idle_s=dict.fromkeys(models, UNLOAD_AFTER_S),
        retired=frozenset(models),
        running={},
    )
    assert len(step(DesiredModels((NEW,)), current, usage).orders) == MAX_ORDERS


def test_without_desired_models_an_engine_keeps_its_own():
    assert step(DesiredModels(), engine(OLD, NEW)).orders == ()
