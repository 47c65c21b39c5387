"""
Bounded runs of the machines, the same each time.

A failure is not made smaller here, which takes minutes: the module's command does.
"""

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.policy_machines.planner_machine import PlannerMachine
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


@pytest.mark.parametrize("machine", [PlannerMachine, RunQueueMachine])
def test_invariants_hold(machine):
    run_state_machine_as_test(machine, settings=BOUNDED)
