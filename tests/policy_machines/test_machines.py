"""
Bounded runs of the machines, the same each time.

A failure is not made smaller here, which takes minutes: the module's command does.
"""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from amaranthtally.policy import InvariantError, Planner
from amaranthtally.policy.budgets import RatioBudget
from amaranthtally.policy.membership import Membership
from amaranthtally.policy.request_ledger import RequestLedger
from amaranthtally.policy.requests import Request
from tests.policy_machines.planner_machine import PlannerMachine, ThriftyMachine
from tests.policy_machines.run_queue_machine import RunQueueMachine

BOUNDED = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=50,
    deadline=None,
    database=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
# What is drawn depends on the modules that are loaded, so a rare find needs room.
UNTIL_SEEN = settings(BOUNDED, max_examples=1000)


@pytest.mark.parametrize("machine", [PlannerMachine, ThriftyMachine, RunQueueMachine])
def test_invariants_hold(machine):
    run_state_machine_as_test(machine, settings=BOUNDED)


def take_always(budget, cost=1.0):
    budget._tokens = max(0.0, budget._tokens - cost)
    return True


# Each breaks one rule of the policy; the machine is worth its time if it sees it.
MUTANTS = {
    "budgets are ignored": (RatioBudget, "take", take_always),
    "everything counts as not run": (Request, "nothing_started", True),
    "endpoints never leave": (Membership, "mark_leaving", lambda *_: None),
    "attempts are not cancelled": (RequestLedger, "cancel_all", lambda *_: []),
    "deadlines pass unnoticed": (Planner, "_too_late", lambda *_: []),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_the_machine_sees_a_broken_rule(name, monkeypatch):
    owner, attribute, broken = MUTANTS[name]
    monkeypatch.setattr(owner, attribute, broken)
    with pytest.raises((AssertionError, InvariantError, ExceptionGroup)):
        run_state_machine_as_test(ThriftyMachine, settings=UNTIL_SEEN)
