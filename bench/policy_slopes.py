"""
Measures the policy's work per decision and its memory at several sizes.

Run ``.venv/bin/python -m bench.policy_slopes``. A decision is the handling of one
event by a planner. Since times vary on a shared machine, there are two measures: the
bytecode instructions, which are the same in each run, and the least time of several
rounds, each of which runs every size. Memory is what ``tracemalloc`` reports, without
the settings.

``--requests N --size E,A,F`` runs N requests at one size and prints nothing. It is
meant for ``valgrind --tool=callgrind``, which counts processor instructions.
"""

import argparse
import gc
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from amaranthtally.policy import (
    AccountLimits,
    Action,
    Arrival,
    AttemptOutcome,
    AttemptResult,
    Endpoint,
    LoadReport,
    Pipeline,
    Planner,
    PolicySettings,
    QueuedCall,
    RunQueue,
    Send,
    Stage,
)
from bench.bytecode import BytecodeCounter

ENDPOINTS = (10, 100, 1_000, 11_000)
ACCOUNTS = (5, 50, 940)
IN_FLIGHT = (10, 100, 1_000, 4_000)
QUEUED = (10, 100, 1_000)
ROUNDS = 7
REQUESTS_PER_ROUND = 150
REQUESTS_COUNTED = 100
CHUNKS = 4
STAGES = ("encoder", "retriever", "reranker", "engine")
MODELS = ("model-a", "model-b", "model-c", "model-d")
REGIONS = ("north", "south", "east", "west")
DEADLINE_S = 1e6
SEED = 20261203
KINDS = ("arrival", "reply", "progress", "tick")


@dataclass(frozen=True)
class Size:
    """The numbers of configured endpoints and accounts, and of requests in flight."""

    endpoints: int = 100
    accounts: int = 5
    in_flight: int = 100


@dataclass
class EventTotals:
    """Totals over the events of one kind."""

    events: int = 0
    seconds: float = 0.0
    instructions: int = 0


@dataclass
class Figures:
    """Least microseconds and mean instructions per event, by kind, and memory."""

    us: dict[str, float] = field(default_factory=dict)
    instructions: dict[str, float] = field(default_factory=dict)
    request_us: float = float("inf")
    state_bytes: int = 0

    @property
    def request_instructions(self) -> float:
        """Instructions for the events of one four-stage request, and one tick."""
        counts = {"arrival": 1, "reply": len(STAGES), "progress": CHUNKS, "tick": 1}
        return sum(self.instructions[kind] * counts[kind] for kind in KINDS)


def settings(endpoints: int, accounts: int) -> PolicySettings:
    """Return settings with ``endpoints`` endpoints and ``accounts`` accounts."""
    configured = {}
    for number in range(endpoints):
        pool = STAGES[number % len(STAGES)]
        name = f"{pool}-{number}"
        region = REGIONS[number // len(STAGES) % len(REGIONS)]
        configured[name] = Endpoint(name, pool, name, region, region, "127.0.0.1:1")
    limits = {f"account-{n}": AccountLimits(1e6, 1e6) for n in range(accounts)}
    return PolicySettings(1, REGIONS[0], REGIONS[0], configured, limits)


def pipelines() -> list[Pipeline]:
    """Return one pipeline for each model."""
    return [
        Pipeline(
            model,
            tuple(
                Stage(pool, pool, model if pool == "engine" else "") for pool in STAGES
            ),
            DEADLINE_S,
        )
        for model in MODELS
    ]


class Driver:
    """Sends a planner requests and replies, and measures each kind of event."""

    def __init__(self, size: Size) -> None:
        self._random = Random(SEED)
        self._size = size
        self._pipelines = pipelines()
        self._now = 1.0
        self._serial = 0
        self._sends: list[Send] = []
        self._counter: BytecodeCounter | None = None
        self.planner = Planner(settings(size.endpoints, size.accounts), Random(SEED))
        self.totals = {kind: EventTotals() for kind in KINDS}

    def fill(self) -> None:
        """Start the requests in flight, then complete more to train estimates."""
        for _ in range(self._size.in_flight):
            self._arrive()
        for _ in range(max(self._size.accounts, self._size.in_flight)):
            self._arrive()
            for _ in STAGES:
                self._reply()

    def run(self, requests: int) -> None:
        """Run requests, with replies that keep the number in flight constant."""
        for _ in range(requests):
            self._arrive()
            for _ in STAGES:
                self._reply()
            for _ in range(CHUNKS):
                self._progress()
            self._tick()

    def take_totals(self) -> dict[str, EventTotals]:
        """Return the totals since the last call and reset them."""
        totals, self.totals = self.totals, {kind: EventTotals() for kind in KINDS}
        return totals

    def count(self, counter: BytecodeCounter | None) -> None:
        """Count instructions from now on; with ``None``, measure times."""
        self._counter = counter

    def _arrive(self) -> None:
        self._serial += 1
        arrival = Arrival(
            f"r{self._serial}",
            f"account-{self._serial % self._size.accounts}",
            self._random.choice(self._pipelines),
            self._now + DEADLINE_S,
            input_bytes=2_000,
        )
        self._measure(
            "arrival", lambda: self.planner.request_arrived(self._now, arrival)
        )

    def _reply(self) -> None:
        index = self._random.randrange(len(self._sends))
        self._sends[index], self._sends[-1] = self._sends[-1], self._sends[index]
        send = self._sends.pop()
        run_s = 0.05 * self._random.lognormvariate(0.0, 0.4)
        report = LoadReport(1, 1, 0, 8, 0.05, 0.0, False)
        result = AttemptResult(AttemptOutcome.FINISHED, run_s, 0.0, 2_000)

        def handle_reply() -> list[Action]:
            self.planner.load_report(self._now, send.endpoint, report)
            return self.planner.reply(self._now, send.attempt, result)

        self._measure("reply", handle_reply)

    def _progress(self) -> None:
        send = self._random.choice(self._sends)
        self._measure(
            "progress", lambda: self.planner.progress(self._now, send.attempt, 1)
        )

    def _tick(self) -> None:
        self._now += 0.01
        self._measure("tick", lambda: self.planner.tick(self._now))

    def _measure(self, kind: str, handle: Callable[[], list[Action]]) -> None:
        totals = self.totals[kind]
        totals.events += 1
        if self._counter is None:
            start = time.perf_counter()
            actions = handle()
            totals.seconds += time.perf_counter() - start
        else:
            before = self._counter.instructions
            with self._counter.counting():
                actions = handle()
            totals.instructions += self._counter.instructions - before
        self._sends.extend(action for action in actions if isinstance(action, Send))


def build(size: Size, figures: Figures) -> Driver:
    """Return a driver with its requests in flight; stores their memory in figures."""
    gc.collect()
    tracemalloc.start()
    driver = Driver(size)
    before = tracemalloc.get_traced_memory()[0]
    driver.fill()
    gc.collect()
    figures.state_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return driver


def time_round(driver: Driver, figures: Figures) -> None:
    """Run a round of requests; keep the least times in ``figures``."""
    driver.take_totals()
    driver.run(REQUESTS_PER_ROUND)
    totals = driver.take_totals()
    for kind in KINDS:
        us = totals[kind].seconds / max(1, totals[kind].events) * 1e6
        figures.us[kind] = min(us, figures.us.get(kind, us))
    request_us = sum(s.seconds for s in totals.values()) / REQUESTS_PER_ROUND * 1e6
    figures.request_us = min(figures.request_us, request_us)


def count_instructions(driver: Driver, figures: Figures) -> None:
    """Run requests; store the instructions per event in ``figures``."""
    driver.take_totals()
    driver.count(BytecodeCounter())
    driver.run(REQUESTS_COUNTED)
    driver.count(None)
    for kind, totals in driver.take_totals().items():
        figures.instructions[kind] = totals.instructions / max(1, totals.events)


def measure(sizes: list[Size]) -> dict[Size, Figures]:
    """Return the figures of every size."""
    figures = {size: Figures() for size in sizes}
    drivers = {size: build(size, figures[size]) for size in figures}
    # Count before the timed rounds, whose leftover state would affect the counts.
    for size, driver in drivers.items():
        count_instructions(driver, figures[size])
    for _ in range(ROUNDS):
        for size, driver in drivers.items():
            time_round(driver, figures[size])
    return figures


def measure_queue(queued: int) -> float:
    """Return the microseconds to queue, start and finish a call."""
    queue = RunQueue(1, queued + 1)
    for serial in range(queued):
        queue.offer(0.0, QueuedCall(0, 1e6 + serial % 97, serial))
    start = time.perf_counter()
    for serial in range(queued, queued + REQUESTS_PER_ROUND):
        queue.offer(0.0, QueuedCall(0, 1e6 + serial % 97, serial))
        queue.dropped(0.0)
        queue.next_call(0.0)
        queue.finished(0.0, 0.05)
    return (time.perf_counter() - start) / REQUESTS_PER_ROUND * 1e6


def print_row(label: str, number: int, figures: Figures) -> None:
    """Print one row of the table."""
    cells = [label, f"{number:,}"]
    cells += [f"{figures.instructions[kind]:.0f}" for kind in KINDS]
    cells += [f"{figures.request_instructions:.0f}"]
    cells += [f"{figures.us[kind]:.0f}" for kind in KINDS]
    cells += [f"{figures.request_us:.0f}", f"{figures.state_bytes / 1e6:.2f}"]
    sys.stdout.write("| " + " | ".join(cells) + " |\n")


def print_tables() -> None:
    """Measure every size and print the tables."""
    rows = [("endpoints", n, Size(endpoints=n)) for n in ENDPOINTS]
    rows += [("accounts", n, Size(accounts=n)) for n in ACCOUNTS]
    rows += [("in flight", n, Size(in_flight=n)) for n in IN_FLIGHT]
    figures = measure([size for _, _, size in rows])
    headings = [
        "grows",
        "size",
        *(f"{kind} instr." for kind in KINDS),
        "request instr.",
    ]
    headings += [*(f"{kind} us" for kind in KINDS), "request us", "MB held"]
    sys.stdout.write("| " + " | ".join(headings) + " |\n")
    sys.stdout.write("| --- " * len(headings) + "|\n")
    for label, number, size in rows:
        print_row(label, number, figures[size])
    sys.stdout.write("\n| queued | queue, start and finish us |\n| --- | --- |\n")
    for queued in QUEUED:
        least = min(measure_queue(queued) for _ in range(ROUNDS))
        sys.stdout.write(f"| {queued:,} | {least:.1f} |\n")


def main() -> None:
    """Print the tables, or run requests at one size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=0)
    parser.add_argument("--size", default="100,5,100")
    arguments = parser.parse_args()
    if "--size" not in sys.argv and "--requests" not in sys.argv:
        print_tables()
        return
    driver = Driver(Size(*map(int, arguments.size.split(","))))
    driver.fill()
    driver.run(arguments.requests)


if __name__ == "__main__":
    main()
