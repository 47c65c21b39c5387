"""State of a randomised run, with methods that freeze and restart its processes."""

import asyncio
import signal
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from amaranthtally.standins.chaos.balancer import Balancer
from amaranthtally.standins.deployment import Deployment, EndpointPair
from amaranthtally.standins.process import Process
from amaranthtally.standins.relay import Relay

__all__ = ["EntryDisruption", "ChaosRun"]


@dataclass(slots=True)
class EntryDisruption:
    """
    The period in which an entry was killed or frozen, in the event loop's time.

    A connection to the entry that breaks in this period is not a violation. ``end`` is
    infinite while the disruption lasts.
    """

    number: int
    start: float
    end: float = float("inf")


@dataclass(slots=True)
class ChaosRun:
    """
    The deployment under test, with the counts and violations of the run.

    ``reserved`` holds the targets of the faults that are in progress.
    """

    deployment: Deployment
    balancer: Balancer
    random: Random
    relays: dict[str, Relay] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    disruptions: list[EntryDisruption] = field(default_factory=list)
    reserved: set[str] = field(default_factory=set)

    def add_violation(self, text: str) -> None:
        """Record that a guarantee of the system was violated."""
        self.violations.append(text)

    def was_disrupted(self, number: int, start: float, end: float) -> bool:
        """Whether an entry was killed or frozen between ``start`` and ``end``."""
        return any(
            d.number == number and d.start <= end and d.end >= start
            for d in self.disruptions
        )

    # Targets of faults

    @asynccontextmanager
    async def reserve_target(self, names: list[str]) -> AsyncIterator[str]:
        """
        Reserve a random target for one fault and yield its name.

        Waits until more than half of ``names`` are free, so that at most half of
        them, rounded up, have a fault at the same time.
        """
        while True:
            free = [name for name in names if name not in self.reserved]
            if 2 * len(free) > len(names):
                break
            await asyncio.sleep(0.05)
        name = self.random.choice(free)
        self.reserved.add(name)
        try:
            yield name
        finally:
            self.reserved.discard(name)

    def random_pool_endpoints(self, *kinds: str) -> list[str]:
        """Return the endpoint ids of a random pool of one of the given kinds."""
        pools = [p.name for p in self.deployment.plan.pools if p.kind in kinds]
        pool = self.random.choice(pools)
        return [pair.id for pair in self.deployment.pool(pool)]

    def random_relayed_endpoints(self) -> list[str]:
        """Return the ids of a random pool's endpoints that are behind relays."""
        pools = sorted({self.pair(name).pool for name in self.relays})
        pool = self.random.choice(pools)
        return [name for name in self.relays if self.pair(name).pool == pool]

    def pair(self, name: str) -> EndpointPair:
        """Return the endpoint with this id and its sidecar."""
        return self.deployment.endpoints[name]

    def entry_names(self) -> list[str]:
        """Return the entries' names."""
        return [f"entry-{n + 1}" for n in range(len(self.deployment.entries))]

    # Restarts

    async def restart_sidecar(self, pair: EndpointPair) -> None:
        """Stop a sidecar gracefully and start it again."""
        await self._stop(pair.sidecar)
        await self.start_sidecar(pair)

    async def start_sidecar(self, pair: EndpointPair) -> None:
        """Start an ended sidecar at its former address; wait until it listens."""
        pair.sidecar = await self._start("sidecar", pair.id, pair.sidecar_file)

    async def restart_entry(self, number: int) -> None:
        """Stop an entry gracefully and start it again."""
        await self._stop(self.deployment.entries[number])
        await self.start_entry(number)

    async def start_entry(self, number: int) -> None:
        """Start an ended entry at its former address; wait until it listens."""
        file = self.deployment.entry_files[number]
        started = await self._start("entry", f"entry-{number + 1}", file)
        self.deployment.entries[number] = started

    async def freeze(self, process: Process, seconds: float) -> None:
        """Suspend a process with SIGSTOP, and resume it after ``seconds``."""
        process.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.send(signal.SIGCONT)

    async def _stop(self, process: Process) -> None:
        code = await process.stop()
        if code != 0:
            self.add_violation(
                f"{process.name} exited with code {code} on graceful stop"
            )

    async def _start(self, role: str, name: str, file: Path) -> Process:
        return await self.deployment.start_daemon(role, name, file)
