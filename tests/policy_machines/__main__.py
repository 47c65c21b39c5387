"""
Long runs of the state machines: ``python -m tests.policy_machines --seed 1``.

Prints what was run; a failure prints the steps that reproduce it.
"""

import argparse
import sys
import time

from hypothesis import HealthCheck, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.policy_machines.planner_machine import PlannerMachine, SmallReservesMachine
from tests.policy_machines.run_queue_machine import RunQueueMachine

MACHINES = {
    "planner": PlannerMachine,
    "planner-thrifty": SmallReservesMachine,
    "run-queue": RunQueueMachine,
}


def main() -> int:
    parser = argparse.ArgumentParser(
        description="Long runs of the policy's state machines."
    )
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--machine", choices=sorted(MACHINES), action="append")
    parser.add_argument("--runs", type=int, default=1000)
    parser.add_argument("--steps", type=int, default=200)
    options = parser.parse_args()
    for name in options.machine or sorted(MACHINES):
        run(name, options)
    return 0


def run(name: str, options: argparse.Namespace) -> None:
    bounds = settings(
        max_examples=options.runs,
        stateful_step_count=options.steps,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    machine = seed(options.seed)(MACHINES[name])
    began = time.monotonic()
    run_state_machine_as_test(machine, settings=bounds)
    took_s = time.monotonic() - began
    sys.stdout.write(
        f"{name}: {options.runs} runs of up to {options.steps} steps, "
        f"seed {options.seed}, {took_s:.0f} s, no invariant broken\n"
    )


if __name__ == "__main__":
    sys.exit(main())
