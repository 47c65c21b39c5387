"""The plan of model orders: no I/O, no clock."""

import pytest

from amaranthtally.policy import (
    DesiredModels,
    EngineModels,
    ModelUsage,
    plan_model_orders,
)
from amaranthtally.policy.model_orders import MAX_ORDERS, Load, SetRole, Unload

OLD, NEW, OTHER = "m@1", "m@2", "n+a@1"
WAIT_S = 10.0
LONG_AGO = {OLD: WAIT_S, NEW: WAIT_S, OTHER: WAIT_S}


def engine(*models, role="both"):
    return EngineModels(frozenset(models), role)


def unused(**fields):
    return ModelUsage(idle_s=LONG_AGO, **fields)


def step(wanted, held, use=None):
    return plan_model_orders(wanted, held, use or unused(), WAIT_S)


def test_a_new_version_is_loaded_before_the_old_one_is_given_up():
    wanted = DesiredModels((NEW,))
    loading = step(wanted, engine(OLD))
    assert loading.orders == (Load(NEW),)
    assert not loading.retired
    refusing = step(wanted, engine(OLD, NEW))
    assert refusing.retired == {OLD}
    assert refusing.orders == ()
    assert refusing.pending
    ending = step(wanted, engine(OLD, NEW), unused(retired=frozenset({OLD})))
    assert ending.orders == (Unload(OLD),)


@pytest.mark.parametrize(
    "use",
    [
        ModelUsage(idle_s={OLD: WAIT_S - 0.1}),
        unused(required=frozenset({OLD})),
    ],
)
def test_what_is_still_asked_for_is_answered(use):
    plan = step(DesiredModels((NEW,)), engine(OLD, NEW), use)
    assert not plan.retired
    assert plan.orders == ()


def test_an_unload_waits_for_running_calls():
    use = unused(retired=frozenset({OLD}), running={OLD: 1})
    plan = step(DesiredModels((NEW,)), engine(OLD, NEW), use)
    assert plan.retired == {OLD}
    assert plan.orders == ()
    assert plan.pending


def test_a_model_that_is_wanted_again_is_answered_again():
    plan = step(DesiredModels((OLD,)), engine(OLD), unused(retired=frozenset({OLD})))
    assert not plan.retired
    assert plan.orders == ()


def test_without_room_an_unwanted_model_makes_place_and_no_more_than_that():
    wanted = DesiredModels((NEW,), slots=2)
    use = unused(retired=frozenset({OLD, OTHER}))
    plan = step(wanted, engine(OLD, OTHER), use)
    assert plan.retired == {OLD}
    assert plan.orders == (Unload(OLD),)


def test_without_room_and_nothing_to_spare_it_says_so():
    use = ModelUsage(idle_s={})
    plan = step(DesiredModels((NEW,), slots=1), engine(OLD), use)
    assert plan.orders == ()
    assert "no room for m@2" in plan.blocked_reason


def test_a_role_changes_only_while_nothing_runs():
    wanted = DesiredModels((OLD,), "decode")
    first = step(wanted, engine(OLD))
    assert first.paused
    assert first.orders == ()
    busy = step(wanted, engine(OLD), unused(paused=True, running={OLD: 1}))
    assert busy.paused
    assert busy.orders == ()
    idle = step(wanted, engine(OLD), unused(paused=True, running={OLD: 0}))
    assert idle.orders == (SetRole("decode"),)
    assert not step(wanted, engine(OLD, role="decode")).paused


def test_an_engine_that_cannot_answer_gets_no_calls():
    wanted = DesiredModels((OLD, NEW), "both")
    assert step(wanted, engine(OLD, role="prefill")).paused
    assert step(DesiredModels((OLD,), "prefill"), engine(OLD, role="prefill")).paused


def test_one_step_gives_few_orders():
    many = tuple(f"m{number}" for number in range(20))
    assert len(step(DesiredModels(many), engine()).orders) == MAX_ORDERS
    held = engine(NEW, *many)
    use = ModelUsage(
        idle_s=dict.fromkeys(many, WAIT_S), retired=frozenset(many), running={}
    )
    assert len(step(DesiredModels((NEW,)), held, use).orders) == MAX_ORDERS


def test_an_endpoint_without_models_of_its_own_is_left_alone():
    assert step(DesiredModels(), engine(OLD, NEW)).orders == ()
