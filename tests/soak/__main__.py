"""
Run gateways under mixed load and random faults; check their guarantees.

The exit code is 0 when no violation was found, 1 otherwise.
"""

import argparse
import asyncio
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random

from tests.soak.callers import Callers
from tests.soak.changes import check_processes, fail_tasks, play_changes, silence_links
from tests.soak.endpoints import slow_down_endpoints
from tests.soak.faults import (
    FAULTS,
    PLANNED_WORK,
    ask_backoff,
    name_limit,
    roll_in_outage,
)
from tests.soak.odd_records import write_odd_records
from tests.soak.places import play_places
from tests.soak.soak_run import DEFAULT_GATEWAYS, open_soak
from tests.soak.strays import send_strays

CONCURRENCY = 12
# The same with tasks that fail on demand.
FAULTY_DAEMON = "tests.support.faulty_daemon"
# Faults of a whole process. A gateway has at most one of them at a time, since most of
# them restart it.
PROCESS_FAULTS = (
    "kill",
    "planned_stop",
    "stop_among_signals",
    "stop_among_requests_to_stop",
    "pause",
)
# Faults of the whole store, after which no gateway is in touch for a while.
STORE_FAULTS = ("store_down", "store_answers_lost", "store_silent")
# Shortest and longest time between two injections, in seconds. Many faults last longer,
# so that faults overlap.
INJECTION_INTERVAL_S = (0.1, 1.2)
# Probability that an injection starts two faults.
SIMULTANEOUS_SHARE = 0.3
# Time after the last fault within which every gateway must be ready again, in seconds.
RECOVERY_TIMEOUT_S = 8.0
# Time within which every gateway must apply the last version, in seconds.
APPLY_TIMEOUT_S = 4.0
# Share of the requests after the recovery that must be served.
SERVED_SHARE = 0.95


@dataclass(frozen=True)
class SoakOptions:
    """
    What a soak run has beside its random faults.

    All gateways are also stopped in turn ``rolls`` times while the store is away. These
    rolls have random numbers of their own, and leave the other faults of a seed alone.
    So have ``limits``, the number of endpoints that name a rate limit meanwhile, and
    ``backoffs``, the number of those that ask for a backoff. With ``places`` data
    centres are evacuated in series, engines turn cold, and a route has a home region.
    With ``strays`` endpoints send responses that belong to no call. ``odd_records``
    entries that cannot be used are written to the store, and ``silences`` links between
    the store and a gateway go silent, and ``failing_tasks`` background tasks fail; with
    any of these, the effect of changes is checked, the store as a whole does not fail,
    and one gateway alone has other faults of its own. With ``planned`` there is planned
    work only, endpoints are slow, and every request that was passed on is answered.
    """

    gateways: int = DEFAULT_GATEWAYS
    rolls: int = 0
    limits: int = 0
    backoffs: int = 0
    places: bool = False
    strays: bool = False
    odd_records: int = 0
    silences: int = 0
    failing_tasks: int = 0
    planned: bool = False

    @property
    def has_checked_changes(self):
        return bool(self.odd_records or self.silences or self.failing_tasks)


async def run_soak(seed, seconds, folder, **options):
    """Run one seed; return the violations and the number of responses by status."""
    options = SoakOptions(**options)
    random = Random(seed)
    module = FAULTY_DAEMON if options.failing_tasks else ""
    has_checked_changes = options.has_checked_changes
    async with open_soak(folder, options.gateways, has_checked_changes, module) as run:
        if options.planned:
            slow_down_endpoints(run, Random(seed + 9))
        callers = Callers(run, Random(random.random()))
        loop = asyncio.get_running_loop()
        calling = asyncio.create_task(callers.run(CONCURRENCY, loop.time() + seconds))
        additional = _start_additional(run, options, seed, seconds)
        faults = PLANNED_WORK if options.planned else FAULTS
        await _inject_faults(run, random, loop.time() + seconds, faults)
        await asyncio.gather(*additional)
        await calling
        check_processes(run)
        await _check_recovery(run, random)
        check_records(run, callers)
        if options.planned:
            check_answers(run, callers)
        return run.violations, callers.statuses


def _start_additional(run, options, seed, seconds):
    """Start what the options ask for, each with random numbers of its own."""
    end_at = time.monotonic() + seconds
    works = [_roll(run, Random(seed), seconds, options.rolls)]
    own = Random(seed + 1)
    works += [name_limit(run, own) for _ in range(options.limits)]
    own = Random(seed + 2)
    works += [ask_backoff(run, own) for _ in range(options.backoffs)]
    if options.places:
        works.append(play_places(run, Random(seed + 3), end_at))
    if options.strays:
        works.append(send_strays(run, Random(seed + 4), end_at))
    if options.odd_records:
        own = Random(seed + 5)
        works.append(write_odd_records(run, own, options.odd_records, end_at))
    if options.silences:
        own = Random(seed + 6)
        works.append(silence_links(run, own, options.silences, end_at))
    if options.failing_tasks:
        own = Random(seed + 8)
        works.append(fail_tasks(run, own, options.failing_tasks, end_at))
    if options.has_checked_changes:
        works.append(play_changes(run, Random(seed + 7), end_at))
    return [asyncio.create_task(work) for work in works]


async def _inject_faults(run, random, end_at, faults):
    tasks = []
    loop = asyncio.get_running_loop()
    while loop.time() < end_at:
        for _ in range(1 + (random.random() < SIMULTANEOUS_SHARE)):
            tasks.append(asyncio.create_task(_inject(run, random, faults)))
        await asyncio.sleep(random.uniform(*INJECTION_INTERVAL_S))
    await asyncio.gather(*tasks)


async def _roll(run, random, seconds, rolls):
    for _ in range(rolls):
        await asyncio.sleep(random.random() * seconds / rolls)
        await roll_in_outage(run, random)


async def _inject(run, random, faults):
    names = run.names
    if run.has_checked_changes:
        # Else hardly any gateway would be in touch, and hardly any change be checked.
        faults = {n: f for n, f in faults.items() if n not in STORE_FAULTS}
        names = run.names[-1:]
    fault = faults[random.choice(sorted(faults))]
    name = random.choice(names)
    is_process = fault.__name__ in PROCESS_FAULTS
    if is_process and name in run.faulted:
        return
    if not is_process:
        await fault(run, random, name)
        return
    run.faulted.add(name)
    try:
        with run.disturbed(name):
            await fault(run, random, name)
    finally:
        run.faulted.discard(name)
        run.last_fault_at[name] = time.monotonic()


async def _check_recovery(run, random):
    """Check that every gateway becomes ready by itself and serves requests."""
    for script in run.scripts.values():
        script.inject_fault("", 0)
    try:
        async with asyncio.timeout(RECOVERY_TIMEOUT_S):
            for gateway in run.gateways.values():
                await gateway.wait_until_ready()
    except TimeoutError:
        run.violations.append(f"not ready {RECOVERY_TIMEOUT_S} s after the last fault")
        return
    await asyncio.sleep(RECOVERY_TIMEOUT_S / 2)
    await _check_last_version(run, random)
    final_callers = Callers(run, Random(random.random()), "last-")
    await final_callers.run(CONCURRENCY, asyncio.get_running_loop().time() + 1.0)
    served = final_callers.statuses.get(200, 0) / max(
        1, sum(final_callers.statuses.values())
    )
    if served < SERVED_SHARE:
        run.violations.append(
            f"only {served:.2f} served after the recovery: {final_callers.statuses}"
        )


async def _check_last_version(run, random):
    """Check that a large version, written without active faults, is applied in time."""
    version = run.write_larger_version(random)

    async def wait_until_applied(name):
        try:
            async with asyncio.timeout(APPLY_TIMEOUT_S):
                gateway = run.gateways[name]
                await gateway.wait_for_event("configuration_in_force", version=version)
        except TimeoutError:
            run.violations.append(
                f"{name}: {version} not in force in {APPLY_TIMEOUT_S} s"
            )

    await asyncio.gather(*(wait_until_applied(name) for name in run.names))


def check_records(run, callers):
    """Check the responses to callers against the records of the endpoints."""
    runs = run.records.runs
    for request_id in callers.orders:
        if runs[request_id] > 1:
            run.violations.append(f"{request_id}: ran {runs[request_id]} times")
    for request_id in callers.not_run:
        if runs[request_id]:
            run.violations.append(f"{request_id}: refused as not run, but ran")
    for request_id, inputs in run.records.wrong_inputs:
        run.violations.append(f"{request_id}: ran with wrong inputs {inputs}")


def check_answers(run, callers):
    """Check that every request that was passed on got an answer."""
    passed_on = {r for script in run.scripts.values() for _, r in script.received}
    passed_on |= {r for r, _ in run.records.piece_of_handle.values()}
    run.violations += [
        f"{request_id}: passed on, and its connection closed without an answer"
        for request_id in callers.unanswered
        if request_id in passed_on
    ]


def main():
    """Parse the command line, run the seeds and return the exit code."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of consecutive seeds"
    )
    parser.add_argument(
        "--seconds",
        type=float,
        default=10.0,
        help="duration of the faults of each seed",
    )
    parser.add_argument(
        "--gateways", type=int, default=DEFAULT_GATEWAYS, help="number of gateways"
    )
    parser.add_argument(
        "--rolls",
        type=int,
        default=0,
        help="number of times that all gateways stop in turn without the store",
    )
    parser.add_argument(
        "--limits",
        type=int,
        default=0,
        help="number of endpoints that name a rate limit; at least 12 s are needed",
    )
    parser.add_argument(
        "--backoffs",
        type=int,
        default=0,
        help="number of endpoints that ask for a backoff",
    )
    parser.add_argument(
        "--places",
        action="store_true",
        help="evacuate data centres, cool engines down, and confine a route",
    )
    parser.add_argument(
        "--strays",
        action="store_true",
        help="let endpoints send responses that belong to no call",
    )
    parser.add_argument(
        "--odd-records",
        type=int,
        default=0,
        help="number of entries that cannot be used; the effect of changes is checked",
    )
    parser.add_argument(
        "--silences",
        type=int,
        default=0,
        help="number of links to the store that go silent; changes are checked",
    )
    parser.add_argument(
        "--failing-tasks",
        type=int,
        default=0,
        help="number of failures of background tasks; changes are checked",
    )
    parser.add_argument(
        "--planned",
        action="store_true",
        help="planned work only; every request that was passed on must be answered",
    )
    arguments = parser.parse_args()
    has_violations = False
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        with tempfile.TemporaryDirectory() as folder:
            options = vars(arguments) | {}
            for name in ("seed", "seeds", "seconds"):
                options.pop(name)
            coroutine = run_soak(seed, arguments.seconds, Path(folder), **options)
            violations, statuses = asyncio.run(coroutine)
        has_violations |= bool(violations)
        sys.stdout.write(f"seed={seed} statuses={sorted(statuses.items())} ")
        sys.stdout.write(f"violations={len(violations)}\n")
        sys.stdout.writelines(f"violation: {violation}\n" for violation in violations)
        sys.stdout.flush()
    return 1 if has_violations else 0


if __name__ == "__main__":
    sys.exit(main())
