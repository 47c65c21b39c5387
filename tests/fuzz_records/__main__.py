"""
Odd records beside sound ones: ``python -m tests.fuzz_records --seed 1 --runs 1000``.

Plays the corpus, then runs that are drawn, on fleets of gateways in one process. A run
that fails prints its seed; the odd records that it needs belong into the corpus.
"""

import argparse
import asyncio
import sys
from random import Random

import structlog

from tests.fuzz_records.records import (
    KEYS,
    ODD_KEYS,
    odd_value,
    read_corpus,
    sound_value,
)
from tests.load.fleet import open_fleet
from tests.support.virtual_time import run_on_virtual_time

# Some of them watch the store, the others follow.
GATEWAYS = 8
START_S = 6.0
# Time within which a change is in force everywhere, in seconds.
IN_FORCE_S = 4.0
STEPS = 30


def main() -> int:
    parser = argparse.ArgumentParser(description="Odd records beside sound ones.")
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--runs", type=int, default=1000)
    options = parser.parse_args()
    # Each odd record is a line.
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    for key, value in read_corpus().values():
        run_on_virtual_time(play(Random(options.seed), [(key, value)]))
    for run in range(options.runs):
        try:
            run_on_virtual_time(play(Random(f"{options.seed}/{run}")))
        except BaseException:
            sys.stdout.write(f"fails: run {run} of seed {options.seed}\n")
            raise
    sys.stdout.write(f"{options.runs} runs, seed {options.seed}: views equal\n")
    return 0


async def play(random, records=()):
    """Write sound and odd records in any order, and compare what gateways see."""
    with open_fleet(GATEWAYS) as fleet:
        if random.random() < 0.5:
            await asyncio.sleep(START_S)
        for key, value in records:
            fleet.store.put(key, value)
        for _ in range(STEPS):
            await step(random, fleet)
        for key, value in records:
            fleet.store.put(key, value)
        expected = set()
        for key in KEYS:
            if random.random() < 0.5:
                fleet.store.put(key, sound_value(random, key))
                expected.add(key)
        fleet.configure()
        await asyncio.sleep(START_S + IN_FORCE_S)
        fleet.add(1)
        await asyncio.sleep(START_S)
        check(fleet, expected)


async def step(random, fleet):
    """Write or remove a record, or let some time pass."""
    key = random.choice(KEYS if random.random() < 0.9 else ODD_KEYS)
    kind = random.randrange(9)
    if kind < 2:
        fleet.store.put(key, sound_value(random, key))
    elif kind < 5:
        fleet.store.put(key, odd_value(random, key))
    elif kind == 5:
        fleet.store.remove(key)
    elif kind == 6:
        fleet.store.put("op/config", odd_value(random, key))
    elif kind == 7:
        fleet.store.compact_history()
    await asyncio.sleep(random.choice([0.0, 0.0, 0.1, 0.5]))


def check(fleet, expected):
    """Check that all gateways see the sound records, as one that starts does."""
    members = list(fleet.members.values())
    assert 0 < len(fleet.watchers()) < len(members)
    started = view_of(members[-1])
    seen = {key for key in expected if not key.startswith("origins/")}
    for member in members:
        view = view_of(member)
        assert not member.coordination.needs_listing
        assert not member.faults.failed
        assert not member.coordination.changes_refused
        assert member.version == fleet.version
        assert seen <= view.keys()
        assert view.items() >= started.items()
        # An endpoint whose record became unreadable stays where it was known.
        kept = view.keys() - started.keys()
        assert all(k.startswith("servers/") and k in fleet.store.items for k in kept)


def view_of(member):
    """Return what a gateway made of the records, by their keys."""
    coordination, peers = member.coordination, member.peers
    versions = coordination.versions._history._recorded
    named = {
        "servers/": member.routing_state.directory.endpoints,
        "entries/": {n: r for n, r in peers._registered.items() if n[:1] == "x"},
        "versions/": {pool: found for pool, found in versions.items() if found},
        "op/evacuate/": dict.fromkeys(member.routing_state.evacuated),
    }
    return {f"{p}{name}": value for p, v in named.items() for name, value in v.items()}


if __name__ == "__main__":
    sys.exit(main())
