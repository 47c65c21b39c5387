"""
Run gateways under mixed load and random faults; check every promise.

The exit code is 0 when no promise was broken, 1 otherwise.
"""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path
from random import Random

from tests.soak.callers import Callers
from tests.soak.faults import FAULTS
from tests.soak.world import FEW, open_soak

AT_ONCE = 12
# Faults of a whole process, one at a time each: it is started anew after them.
OF_PROCESSES = ("kill", "planned_stop", "stop_among_signals", "pause")
# Between two faults, in seconds: several last longer, so that they overlap.
PAUSE_S = (0.1, 1.2)
# A second fault comes with this share of the first.
PAIR_SHARE = 0.3
# In which everything must be served again after the last fault, in seconds.
SETTLE_S = 8.0
# In which the last version must be in force at every gateway, in seconds.
IN_FORCE_S = 4.0
# Of the last requests, how many must be served.
SERVED_SHARE = 0.95


async def run_soak(seed, seconds, folder, gateways=FEW):
    """Return what did not hold, and how many requests ended with which status."""
    random = Random(seed)
    async with open_soak(folder, gateways) as world:
        callers = Callers(world, Random(random.random()))
        loop = asyncio.get_running_loop()
        calling = asyncio.create_task(callers.run(AT_ONCE, loop.time() + seconds))
        await _disturb(world, random, loop.time() + seconds)
        await calling
        await _check_recovery(world, random)
        check_records(world, callers)
        return world.violations, callers.statuses


async def _disturb(world, random, until):
    tasks = []
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        for _ in range(1 + (random.random() < PAIR_SHARE)):
            tasks.append(asyncio.create_task(_inject(world, random)))
        await asyncio.sleep(random.uniform(*PAUSE_S))
    await asyncio.gather(*tasks)


async def _inject(world, random):
    work = FAULTS[random.choice(sorted(FAULTS))]
    name = random.choice(world.names)
    is_process = work.__name__ in OF_PROCESSES
    if is_process and name in world.disturbed:
        return
    if is_process:
        world.disturbed.add(name)
    try:
        await work(world, random, name)
    finally:
        if is_process:
            world.disturbed.discard(name)


async def _check_recovery(world, random):
    """Every gateway is ready again by itself, and serves."""
    for script in world.scripts.values():
        script.break_next("", 0)
    try:
        async with asyncio.timeout(SETTLE_S):
            for gateway in world.gateways.values():
                await gateway.wait_until_ready()
    except TimeoutError:
        world.violations.append(f"not ready {SETTLE_S} s after the last fault")
        return
    await asyncio.sleep(SETTLE_S / 2)
    await _check_last_version(world, random)
    last = Callers(world, Random(random.random()), "last-")
    await last.run(AT_ONCE, asyncio.get_running_loop().time() + 1.0)
    served = last.statuses.get(200, 0) / max(1, sum(last.statuses.values()))
    if served < SERVED_SHARE:
        world.violations.append(f"only {served:.2f} served in the end: {last.statuses}")


async def _check_last_version(world, random):
    """A version that comes when all is calm is in force in time, however large."""
    version = world.grow(random)

    async def until_in_force(name):
        try:
            async with asyncio.timeout(IN_FORCE_S):
                gateway = world.gateways[name]
                await gateway.wait_for_event("configuration_in_force", version=version)
        except TimeoutError:
            world.violations.append(f"{name}: {version} not in force in {IN_FORCE_S} s")

    await asyncio.gather(*(until_in_force(name) for name in world.names))


def check_records(world, callers):
    """Compare what callers were told with what endpoints ran."""
    runs = world.records.runs
    for request_id in callers.orders:
        if runs[request_id] > 1:
            world.violations.append(f"{request_id}: ran {runs[request_id]} times")
    for request_id in callers.not_run:
        if runs[request_id]:
            world.violations.append(f"{request_id}: said not to have run, but ran")
    for request_id, inputs in world.records.wrong_inputs:
        world.violations.append(f"{request_id}: given {inputs}")


def main():
    """Run from the command line; return the exit code."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many in a row")
    parser.add_argument("--seconds", type=float, default=10.0, help="of faults a seed")
    parser.add_argument("--gateways", type=int, default=FEW, help="processes")
    given = parser.parse_args()
    is_broken = False
    for seed in range(given.seed, given.seed + given.seeds):
        with tempfile.TemporaryDirectory() as folder:
            work = run_soak(seed, given.seconds, Path(folder), given.gateways)
            violations, statuses = asyncio.run(work)
        is_broken |= bool(violations)
        sys.stdout.write(f"seed={seed} statuses={sorted(statuses.items())} ")
        sys.stdout.write(f"violations={len(violations)}\n")
        sys.stdout.writelines(f"violation: {violation}\n" for violation in violations)
        sys.stdout.flush()
    return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit(main())
