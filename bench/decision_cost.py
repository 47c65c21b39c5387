"""What a planner's decisions cost by how many pieces wait, in a simulated burst.

    .venv/bin/python -m bench.decision_cost [--factor X] [--entries N] [FILE.toml]

Prints, for each event, how often it came and its mean processor time in microseconds,
by the number of pieces that waited at the entry (below 1, 2, 4, and so on).
"""

import argparse
import sys
import time
from collections import defaultdict
from collections.abc import Callable
from functools import wraps
from pathlib import Path
from typing import Any

import msgspec

from amaranthtally.policy import Planner
from amaranthtally.simulator.days import simulate
from amaranthtally.simulator.deployment import Fault, read_deployment

EXAMPLE = Path(__file__).parent.parent / "examples" / "experiments" / "fleet.toml"
EVENTS = (
    "request_arrived",
    "reply",
    "progress",
    "jobs_submitted",
    "pieces_ended",
    "reports_received",
    "results_freed",
    "tick",
)
BURST_S = 20.0
SEED = 1
MICRO = 1e6


class Costs:
    """Counts events and their processor time by the length of the queue."""

    def __init__(self) -> None:
        self._counts: dict[tuple[str, int], int] = defaultdict(int)
        self._spent_s: dict[tuple[str, int], float] = defaultdict(float)

    def watch(self, event: str) -> None:
        """Measure a method of planners."""
        method: Callable[..., Any] = getattr(Planner, event)

        @wraps(method)
        def measured(planner: Planner, *args: Any, **options: Any) -> Any:
            key = (event, planner.pieces_waiting.bit_length())
            began = time.process_time()
            result = method(planner, *args, **options)
            self._counts[key] += 1
            self._spent_s[key] += time.process_time() - began
            return result

        setattr(Planner, event, measured)

    def row(self, event: str) -> str:
        """Return an event's line of the table."""
        cells = [
            f"<{2 ** key[1]}: {count}x {self._spent_s[key] / count * MICRO:.0f}"
            for key, count in sorted(self._counts.items())
            if key[0] == event
        ]
        return f"{event:16}" + "  ".join(cells)


def main() -> int:
    """Play one day and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", nargs="?", type=Path, default=EXAMPLE)
    parser.add_argument("--factor", type=float, default=3.0, help="of the burst")
    parser.add_argument("--entries", type=int, default=2, help="in each data centre")
    given = parser.parse_args()
    found = read_deployment(given.file)
    centres = tuple(
        msgspec.structs.replace(one, entries=given.entries)
        for one in found.data_centres
    )
    burst = Fault("burst", 0.0, BURST_S, "", given.factor)
    day = msgspec.structs.replace(
        found, data_centres=centres, faults=(burst,), seconds=BURST_S
    )
    costs = Costs()
    for event in EVENTS:
        costs.watch(event)
    simulate(day, SEED)
    sys.stdout.writelines(costs.row(event) + "\n" for event in EVENTS)
    return 0


if __name__ == "__main__":
    sys.exit(main())
