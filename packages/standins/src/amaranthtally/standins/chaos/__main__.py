"""
Run a small deployment under mixed load and random faults; check its guarantees.

The exit code is 0 when no violation was found, 1 otherwise.
"""

import argparse
import asyncio
import sys
import time
from contextlib import suppress
from pathlib import Path
from random import Random

import msgspec

from amaranthtally.standins.chaos.balancer import Balancer
from amaranthtally.standins.chaos.callers import Callers
from amaranthtally.standins.chaos.chaos_run import ChaosRun
from amaranthtally.standins.chaos.faults import fault_names, inject
from amaranthtally.standins.chaos.record_checks import (
    EFFECT_POOL,
    ENGINE_POOL,
    check_records,
)
from amaranthtally.standins.deployment import (
    DeploymentPlan,
    load_plan,
    open_deployment,
)
from amaranthtally.standins.relay import open_relays

__all__ = ["main", "run_chaos"]

TOKENS_PER_RESPONSE = 8
SERVERS = 3
ENTRIES = 3
CONCURRENCY = 24
# Time between the end of the last fault and the check of the records, in seconds.
SETTLE_S = 3.0
# Probability that two faults are injected together.
SIMULTANEOUS_SHARE = 0.4
PLAN = Path("examples/agrosalv.toml")


def main() -> int:
    """Parse the command line, run one seed and return the exit code."""
    parser = argparse.ArgumentParser(prog="chaos", description=__doc__)
    parser.add_argument("--plan", type=Path, default=PLAN, help="deployment plan")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--requests", type=int, default=1000)
    parser.add_argument("--faults", type=int, default=10)
    parser.add_argument("--at-once", type=int, default=CONCURRENCY)
    parser.add_argument("--only", nargs="*", choices=fault_names(), help="faults")
    arguments = parser.parse_args()
    started = time.monotonic()
    names = arguments.only or fault_names()
    run = asyncio.run(
        run_chaos(
            load_plan(arguments.plan),
            arguments.seed,
            arguments.requests,
            arguments.faults,
            arguments.at_once,
            names,
        )
    )
    for name, count in sorted(run.counts.items()):
        sys.stdout.write(f"{name}={count}\n")
    sys.stdout.write(f"seconds={time.monotonic() - started:.0f}\n")
    sys.stdout.write(f"violations={len(run.violations)}\n")
    for violation in run.violations:
        sys.stdout.write(f"violation: {violation}\n")
    return 1 if run.violations else 0


async def run_chaos(
    plan: DeploymentPlan,
    seed: int,
    requests: int,
    faults: int,
    concurrency: int = CONCURRENCY,
    names: list[str] | None = None,
) -> ChaosRun:
    """
    Run one seed; return the run with its counts and violations.

    ``names`` limits the kinds of faults; by default all kinds are injected.
    """
    async with (
        open_deployment(_with_fast_endpoints(plan), ENTRIES, SERVERS) as deployment,
        open_relays(deployment, EFFECT_POOL, ENGINE_POOL) as relays,
    ):
        balancer = Balancer(deployment)
        run = ChaosRun(deployment, balancer, Random(seed), relays)
        polling = asyncio.create_task(balancer.run())
        callers = Callers(run, seed, TOKENS_PER_RESPONSE)
        injecting = asyncio.create_task(
            _inject_all(run, faults, names or fault_names())
        )
        await callers.run(requests, concurrency)
        # Send requests until the last fault has been undone, so that every fault occurs
        # under load.
        number = requests
        while not injecting.done():
            await callers.run_more(number, concurrency, concurrency)
            number += concurrency
        await injecting
        await asyncio.sleep(SETTLE_S)
        await check_records(run, callers)
        polling.cancel()
        with suppress(asyncio.CancelledError):
            await polling
        return run


async def _inject_all(run: ChaosRun, faults: int, names: list[str]) -> None:
    injected = 0
    while injected < faults:
        simultaneous = (
            faults - injected > 1 and run.random.random() < SIMULTANEOUS_SHARE
        )
        batch = [run.random.choice(names) for _ in range(2 if simultaneous else 1)]
        await asyncio.gather(*(inject(run, name) for name in batch))
        injected += len(batch)


def _with_fast_endpoints(plan: DeploymentPlan) -> DeploymentPlan:
    """Return the plan with endpoints that have short token and service times."""
    pools = [
        msgspec.structs.replace(
            pool,
            knobs={
                "tokens": TOKENS_PER_RESPONSE,
                "token_time": 0.004,
                "service": 0.002,
            },
        )
        for pool in plan.pools
    ]
    return msgspec.structs.replace(plan, pools=pools)


if __name__ == "__main__":
    sys.exit(main())
