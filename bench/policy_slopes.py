"""
Work per decision and bytes of state of the policy, at several sizes.

Run ``.venv/bin/python -m bench.policy_slopes``. A decision is one event given to a
planner. Times vary on a shared machine, so two measures stand beside each other:
bytecode instructions, which are the same in each run, and the least time of several
rounds, in which every size has its turn. Bytes are what ``tracemalloc`` says is
held, settings left out.

``--requests N --size E,A,F`` gives one size N requests and prints nothing: for
``valgrind --tool=callgrind``, which counts the processor's own instructions.
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
REQUESTS_A_ROUND = 150
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
    """Endpoints and client accounts configured, requests in flight."""

    endpoints: int = 100
    accounts: int = 5
    in_flight: int = 100


@dataclass
class Spent:
    """What the events of one kind took so far."""

    events: int = 0
    seconds: float = 0.0
    instructions: int = 0


@dataclass
class Figures:
    """Least microseconds and mean instructions of an event, by kind; bytes held."""

    us: dict[str, float] = field(default_factory=dict)
    instructions: dict[str, float] = field(default_factory=dict)
    request_us: float = float("inf")
    state_bytes: int = 0

    @property
    def request_instructions(self) -> float:
        """Instructions for one request of four stages and a tick."""
        counts = {"arrival": 1, "reply": len(STAGES), "progress": CHUNKS, "tick": 1}
        return sum(self.instructions[kind] * counts[kind] for kind in KINDS)


def settings(endpoints: int, accounts: int) -> PolicySettings:
    """Return settings with so many endpoints and accounts."""
    made = {}
    for number in range(endpoints):
        pool = STAGES[number % len(STAGES)]
        name = f"{pool}-{number}"
        region = REGIONS[number // len(STAGES) % len(REGIONS)]
        made[name] = Endpoint(name, pool, name, region, region, "127.0.0.1:1")
    limits = {f"account-{n}": AccountLimits(1e6, 1e6) for n in range(accounts)}
    return PolicySettings(1, REGIONS[0], REGIONS[0], made, limits)


def pipelines() -> list[Pipeline]:
    """Return one pipeline a model."""
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
    """Feeds a planner requests and their replies, and measures each kind of event."""

    def __init__(self, size: Size) -> None:
        self._random = Random(SEED)
        self._size = size
        self._pipelines = pipelines()
        self._now = 1.0
        self._serial = 0
        self._sends: list[Send] = []
        self._counter: BytecodeCounter | None = None
        self.planner = Planner(settings(size.endpoints, size.accounts), Random(SEED))
        self.spent = {kind: Spent() for kind in KINDS}

    def fill(self) -> None:
        """Bring as many requests in flight as the size says, and learn from some."""
        for _ in range(self._size.in_flight):
            self._arrive()
        for _ in range(max(self._size.accounts, self._size.in_flight)):
            self._arrive()
            for _ in STAGES:
                self._reply()

    def run(self, requests: int) -> None:
        """Let so many requests arrive and as many replies come in as keep step."""
        for _ in range(requests):
            self._arrive()
            for _ in STAGES:
                self._reply()
            for _ in range(CHUNKS):
                self._progress()
            self._tick()

    def take_spent(self) -> dict[str, Spent]:
        """Return what was spent since the last call."""
        spent, self.spent = self.spent, {kind: Spent() for kind in KINDS}
        return spent

    def count(self, counter: BytecodeCounter | None) -> None:
        """Count instructions from now on, or times when ``None``."""
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
        self._take("arrival", lambda: self.planner.request_arrived(self._now, arrival))

    def _reply(self) -> None:
        index = self._random.randrange(len(self._sends))
        self._sends[index], self._sends[-1] = self._sends[-1], self._sends[index]
        send = self._sends.pop()
        run_s = 0.05 * self._random.lognormvariate(0.0, 0.4)
        report = LoadReport(1, 1, 0, 8, 0.05, 0.0, False)
        result = AttemptResult(AttemptOutcome.FINISHED, run_s, 0.0, 2_000)

        def give() -> list[Action]:
            self.planner.load_report(self._now, send.endpoint, report)
            return self.planner.reply(self._now, send.attempt, result)

        self._take("reply", give)

    def _progress(self) -> None:
        send = self._random.choice(self._sends)
        self._take(
            "progress", lambda: self.planner.progress(self._now, send.attempt, 1)
        )

    def _tick(self) -> None:
        self._now += 0.01
        self._take("tick", lambda: self.planner.tick(self._now))

    def _take(self, kind: str, give: Callable[[], list[Action]]) -> None:
        spent = self.spent[kind]
        spent.events += 1
        if self._counter is None:
            began = time.perf_counter()
            actions = give()
            spent.seconds += time.perf_counter() - began
        else:
            before = self._counter.instructions
            with self._counter.counting():
                actions = give()
            spent.instructions += self._counter.instructions - before
        self._sends.extend(action for action in actions if isinstance(action, Send))


def build(size: Size, figures: Figures) -> Driver:
    """Return a driver with its requests in flight; notes the bytes that they take."""
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
    """Give a driver a round of requests; keeps the least times."""
    driver.take_spent()
    driver.run(REQUESTS_A_ROUND)
    spent = driver.take_spent()
    for kind in KINDS:
        us = spent[kind].seconds / max(1, spent[kind].events) * 1e6
        figures.us[kind] = min(us, figures.us.get(kind, us))
    whole = sum(s.seconds for s in spent.values()) / REQUESTS_A_ROUND * 1e6
    figures.request_us = min(figures.request_us, whole)


def count_instructions(driver: Driver, figures: Figures) -> None:
    """Give a driver requests; notes the instructions."""
    driver.take_spent()
    driver.count(BytecodeCounter())
    driver.run(REQUESTS_COUNTED)
    driver.count(None)
    for kind, spent in driver.take_spent().items():
        figures.instructions[kind] = spent.instructions / max(1, spent.events)


def measure(sizes: list[Size]) -> dict[Size, Figures]:
    """Return the figures of every size."""
    figures = {size: Figures() for size in sizes}
    drivers = {size: build(size, figures[size]) for size in figures}
    # Counted first: the state that the times leave behind must not matter.
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
    began = time.perf_counter()
    for serial in range(queued, queued + REQUESTS_A_ROUND):
        queue.offer(0.0, QueuedCall(0, 1e6 + serial % 97, serial))
        queue.dropped(0.0)
        queue.next_call(0.0)
        queue.finished(0.0, 0.05)
    return (time.perf_counter() - began) / REQUESTS_A_ROUND * 1e6


def show(label: str, number: int, figures: Figures) -> None:
    """Print one row of the table."""
    cells = [label, f"{number:,}"]
    cells += [f"{figures.instructions[kind]:.0f}" for kind in KINDS]
    cells += [f"{figures.request_instructions:.0f}"]
    cells += [f"{figures.us[kind]:.0f}" for kind in KINDS]
    cells += [f"{figures.request_us:.0f}", f"{figures.state_bytes / 1e6:.2f}"]
    sys.stdout.write("| " + " | ".join(cells) + " |\n")


def show_all() -> None:
    """Measure every size and print the tables."""
    rows = [("endpoints", n, Size(endpoints=n)) for n in ENDPOINTS]
    rows += [("accounts", n, Size(accounts=n)) for n in ACCOUNTS]
    rows += [("in flight", n, Size(in_flight=n)) for n in IN_FLIGHT]
    figures = measure([size for _, _, size in rows])
    heads = ["grows", "size", *(f"{kind} instr." for kind in KINDS), "request instr."]
    heads += [*(f"{kind} us" for kind in KINDS), "request us", "MB held"]
    sys.stdout.write("| " + " | ".join(heads) + " |\n")
    sys.stdout.write("| --- " * len(heads) + "|\n")
    for label, number, size in rows:
        show(label, number, figures[size])
    sys.stdout.write("\n| queued | queue, start and finish us |\n| --- | --- |\n")
    for queued in QUEUED:
        least = min(measure_queue(queued) for _ in range(ROUNDS))
        sys.stdout.write(f"| {queued:,} | {least:.1f} |\n")


def main() -> None:
    """Print the tables, or give one size some requests."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=0)
    parser.add_argument("--size", default="100,5,100")
    arguments = parser.parse_args()
    if "--size" not in sys.argv and "--requests" not in sys.argv:
        show_all()
        return
    driver = Driver(Size(*map(int, arguments.size.split(","))))
    driver.fill()
    driver.run(arguments.requests)


if __name__ == "__main__":
    main()
