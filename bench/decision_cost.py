"""Measure the cost of a planner's decisions by queue length, in a simulated burst.

    .venv/bin/python -m bench.decision_cost [--factor X] [--entries N] [FILE.toml]

Prints, for each event, its count and mean processor time in microseconds, by the number
of pieces queued at the entry (below 1, 2, 4, and so on).
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
from amaranthtally.policy.piece_events import PieceEvents
from amaranthtally.simulator.days import simulate
from amaranthtally.simulator.deployment import Fault, read_deployment

EXAMPLE = Path(__file__).parent.parent / "examples" / "experiments" / "fleet.toml"
EVENTS: dict[str, type[Planner | PieceEvents]] = {
    "request_arrived": Planner,
    "reply": Planner,
    "progress": Planner,
    "jobs_submitted": PieceEvents,
    "call_ended": PieceEvents,
    "reports_received": PieceEvents,
    "results_freed": PieceEvents,
    "tick": Planner,
}
BURST_S = 20.0
SEED = 1
MICRO = 1e6


class DecisionCosts:
    """Counts events and their processor time by the length of the queue."""

    def __init__(self) -> None:
        self._counts: dict[tuple[str, int], int] = defaultdict(int)
        self._spent_s: dict[tuple[str, int], float] = defaultdict(float)

    def measure(self, event: str) -> None:
        """Wrap the method that handles an event to measure its calls."""
        method: Callable[..., Any] = getattr(EVENTS[event], event)

        @wraps(method)
        def measured(target: Planner | PieceEvents, *args: Any, **options: Any) -> Any:
            pieces = target.pieces if isinstance(target, Planner) else target
            key = (event, pieces.waiting.bit_length())
            started_at = time.process_time()
            result = method(target, *args, **options)
            self._counts[key] += 1
            self._spent_s[key] += time.process_time() - started_at
            return result

        setattr(EVENTS[event], event, measured)

    def row(self, event: str) -> str:
        """Return the table row of an event."""
        cells = [
            f"<{2 ** key[1]}: {count}x {self._spent_s[key] / count * MICRO:.0f}"
            for key, count in sorted(self._counts.items())
            if key[0] == event
        ]
        return f"{event:16}" + "  ".join(cells)


def main() -> int:
    """Simulate one day and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", nargs="?", type=Path, default=EXAMPLE)
    parser.add_argument("--factor", type=float, default=3.0, help="of the burst")
    parser.add_argument("--entries", type=int, default=2, help="in each data centre")
    arguments = parser.parse_args()
    deployment = read_deployment(arguments.file)
    centres = tuple(
        msgspec.structs.replace(centre, entries=arguments.entries)
        for centre in deployment.data_centres
    )
    burst = Fault("burst", 0.0, BURST_S, "", arguments.factor)
    day = msgspec.structs.replace(
        deployment, data_centres=centres, faults=(burst,), seconds=BURST_S
    )
    costs = DecisionCosts()
    for event in EVENTS:
        costs.measure(event)
    simulate(day, SEED)
    sys.stdout.writelines(costs.row(event) + "\n" for event in EVENTS)
    return 0


if __name__ == "__main__":
    sys.exit(main())
