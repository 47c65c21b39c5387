"""
Processor time per decision and bytes of state of the policy, at several sizes.

Run ``.venv/bin/python -m bench.policy_slopes``. A decision is one event given to a
planner; bytes are what ``tracemalloc`` says is held, settings left out.
"""

import gc
import sys
import time
import tracemalloc
from dataclasses import dataclass
from random import Random

from amaranthtally.policy import (
    AccountLimits,
    Arrival,
    Endpoint,
    Fate,
    LoadReport,
    Pipeline,
    Planner,
    PolicySettings,
    QueuedCall,
    RunQueue,
    Send,
    Stage,
    StageResult,
)

ENDPOINTS = (10, 100, 1_000, 11_000)
ACCOUNTS = (5, 50, 940)
IN_FLIGHT = (10, 100, 1_000, 4_000)
QUEUED = (10, 100, 1_000)
REQUESTS = 1_500
STAGES = ("encoder", "retriever", "reranker", "engine")
MODELS = ("model-a", "model-b", "model-c", "model-d")
REGIONS = ("north", "south", "east", "west")
DEADLINE_S = 1e6
SEED = 20261203


@dataclass(frozen=True)
class Figures:
    """Microseconds for a decision and bytes held."""

    arrival_us: float
    reply_us: float
    tick_us: float
    state_bytes: int


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
    """Feeds a planner requests and their replies, and times each kind of event."""

    def __init__(self, endpoints: int, accounts: int) -> None:
        self._random = Random(SEED)
        self._settings = settings(endpoints, accounts)
        self._pipelines = pipelines()
        self._accounts = accounts
        self._now = 1.0
        self._serial = 0
        self._sends: list[Send] = []
        gc.collect()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        self.planner = Planner(self._settings, Random(SEED))
        self._before = before
        self.spent = {"arrival": 0.0, "reply": 0.0, "tick": 0.0}
        self.count = {"arrival": 0, "reply": 0, "tick": 0}

    def state_bytes(self) -> int:
        """Return the bytes that the planner holds."""
        gc.collect()
        return tracemalloc.get_traced_memory()[0] - self._before

    def stop_tracing(self) -> None:
        """Stop counting bytes, which slows every decision down."""
        tracemalloc.stop()

    def arrive(self) -> None:
        """Give a request."""
        self._serial += 1
        arrival = Arrival(
            f"r{self._serial}",
            f"account-{self._serial % self._accounts}",
            self._random.choice(self._pipelines),
            self._now + DEADLINE_S,
            input_bytes=2_000,
        )
        self._take("arrival", lambda: self.planner.request_arrived(self._now, arrival))

    def reply(self) -> None:
        """Finish an attempt chosen at random."""
        index = self._random.randrange(len(self._sends))
        self._sends[index], self._sends[-1] = self._sends[-1], self._sends[index]
        send = self._sends.pop()
        report = LoadReport(1, 1, 0, 8, 0.05, 0.0, False)
        result = StageResult(Fate.FINISHED, 0.05, 0.0, 2_000)

        def give() -> list:
            self.planner.load_report(self._now, send.endpoint, report)
            return self.planner.reply(self._now, send.attempt, result)

        self._take("reply", give)

    def tick(self) -> None:
        """Let time pass."""
        self._now += 0.01
        self._take("tick", lambda: self.planner.tick(self._now))

    def reset(self) -> None:
        """Forget the times measured so far."""
        self.spent = dict.fromkeys(self.spent, 0.0)
        self.count = dict.fromkeys(self.count, 0)

    def average_us(self, kind: str) -> float:
        """Return the microseconds of a kind of event."""
        return self.spent[kind] / max(1, self.count[kind]) * 1e6

    def _take(self, kind: str, give) -> None:
        began = time.perf_counter()
        actions = give()
        self.spent[kind] += time.perf_counter() - began
        self.count[kind] += 1
        self._sends.extend(action for action in actions if isinstance(action, Send))


def measure(endpoints: int, accounts: int, in_flight: int) -> Figures:
    """Return the figures at one size."""
    driver = Driver(endpoints, accounts)
    for _ in range(in_flight):
        driver.arrive()
    for _ in range(max(accounts, in_flight)):
        driver.arrive()
        for _ in STAGES:
            driver.reply()
    held = driver.state_bytes()
    driver.stop_tracing()
    driver.reset()
    for _ in range(REQUESTS):
        driver.arrive()
        for _ in STAGES:
            driver.reply()
        driver.tick()
    return Figures(
        driver.average_us("arrival"),
        driver.average_us("reply"),
        driver.average_us("tick"),
        held,
    )


def measure_queue(queued: int) -> float:
    """Return the microseconds to queue, start and finish a call."""
    queue = RunQueue(1, queued + 1)
    for serial in range(queued):
        queue.offer(0.0, QueuedCall(0, 1e6 + serial % 97, serial))
    began = time.perf_counter()
    for serial in range(queued, queued + REQUESTS):
        queue.offer(0.0, QueuedCall(0, 1e6 + serial % 97, serial))
        queue.dropped(0.0)
        queue.next_call(0.0)
        queue.finished(0.0, 0.05)
    return (time.perf_counter() - began) / REQUESTS * 1e6


def show(label: str, size: int, figures: Figures) -> None:
    """Print one row of the table."""
    sys.stdout.write(
        f"| {label} | {size:,} | {figures.arrival_us:.0f} | {figures.reply_us:.0f} "
        f"| {figures.tick_us:.0f} | {figures.state_bytes / 1e6:.2f} |\n"
    )


def main() -> None:
    """Print the tables."""
    sys.stdout.write("| grows | size | arrival us | reply us | tick us | MB held |\n")
    sys.stdout.write("| --- | --- | --- | --- | --- | --- |\n")
    for endpoints in ENDPOINTS:
        show("endpoints", endpoints, measure(endpoints, 5, 100))
    for accounts in ACCOUNTS:
        show("accounts", accounts, measure(100, accounts, 100))
    for in_flight in IN_FLIGHT:
        show("in flight", in_flight, measure(100, 5, in_flight))
    sys.stdout.write("\n| queued | queue, start and finish us |\n| --- | --- |\n")
    for queued in QUEUED:
        sys.stdout.write(f"| {queued:,} | {measure_queue(queued):.1f} |\n")


if __name__ == "__main__":
    main()
