"""
Bounded, deterministic runs of the state machines.

Failing examples are not shrunk here, which would take minutes; run the command
``python -m tests.policy_machines`` to shrink one.
"""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from amaranthtally.policy import InvariantError, Planner
from amaranthtally.policy.budgets import RatioBudget
from amaranthtally.policy.membership import Membership
from amaranthtally.policy.request_ledger import RequestLedger
from amaranthtally.policy.requests import Request
from tests.policy_machines.planner_machine import PlannerMachine, SmallReservesMachine
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
# The examples drawn depend on the modules that are loaded: allow for more of them until
# one detects a mutant.
UNTIL_SEEN = settings(BOUNDED, max_examples=1000)


@pytest.mark.parametrize(
    "machine", [PlannerMachine, SmallReservesMachine, RunQueueMachine]
)
def test_invariants_hold(machine):
    run_state_machine_as_test(machine, settings=BOUNDED)


def take_without_limit(budget, cost=1.0):
    budget._tokens = max(0.0, budget._tokens - cost)
    return True


# Each mutant breaks one invariant of the policy, which the machine must detect.
MUTANTS = {
    "budgets are ignored": (RatioBudget, "take", take_without_limit),
    "everything counts as not run": (Request, "nothing_started", True),
    "endpoints never leave": (Membership, "mark_leaving", lambda *_: None),
    "attempts are not cancelled": (RequestLedger, "cancel_all", lambda *_: []),
    "deadlines are ignored": (Planner, "_deadline_passed", lambda *_: []),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_machine_detects_a_broken_rule(name, monkeypatch):
    owner, attribute, mutant = MUTANTS[name]
    monkeypatch.setattr(owner, attribute, mutant)
    with pytest.raises((AssertionError, InvariantError, ExceptionGroup)):
        run_state_machine_as_test(SmallReservesMachine, settings=UNTIL_SEEN)
