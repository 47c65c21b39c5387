"""The shared state of a randomised run; stops, freezes and restarts its processes."""

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
    The time during which an entry was killed or frozen, in loop time.

    Connections of its callers may break in this time without a violation.
    """

    number: int
    start: float
    end: float = float("inf")


@dataclass(slots=True)
class ChaosRun:
    """
    The deployment under test, with the counts and violations of the run.

    ``busy`` names the processes on which a fault is acting.
    """

    deployment: Deployment
    balancer: Balancer
    random: Random
    relays: dict[str, Relay] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    disruptions: list[EntryDisruption] = field(default_factory=list)
    busy: set[str] = field(default_factory=set)

    def add_violation(self, text: str) -> None:
        """Record that a guarantee of the system was violated."""
        self.violations.append(text)

    def was_disrupted(self, number: int, start: float, end: float) -> bool:
        """Whether an entry was killed or frozen between ``start`` and ``end``."""
        return any(
            h.number == number and h.start <= end and h.end >= start
            for h in self.disruptions
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
            free = [name for name in names if name not in self.busy]
            if 2 * len(free) > len(names):
                break
            await asyncio.sleep(0.05)
        name = self.random.choice(free)
        self.busy.add(name)
        try:
            yield name
        finally:
            self.busy.discard(name)

    def endpoints(self, *kinds: str) -> list[str]:
        """Return the endpoints of a random pool of the given kinds."""
        pools = [p.name for p in self.deployment.plan.pools if p.kind in kinds]
        pool = self.random.choice(pools)
        return [pair.id for pair in self.deployment.pool(pool)]

    def linked_endpoints(self) -> list[str]:
        """Return the endpoints behind relays of a random pool."""
        pools = sorted({self.pair(name).pool for name in self.relays})
        pool = self.random.choice(pools)
        return [name for name in self.relays if self.pair(name).pool == pool]

    def pair(self, name: str) -> EndpointPair:
        """Return an endpoint and its sidecar by the endpoint's id."""
        return self.deployment.endpoints[name]

    def entries(self) -> list[str]:
        """Return the entries' names."""
        return [f"entry-{n + 1}" for n in range(len(self.deployment.entries))]

    # Restarts

    async def restart_sidecar(self, pair: EndpointPair) -> None:
        """Stop a sidecar gracefully and start it again."""
        await self._stop(pair.sidecar)
        await self.start_sidecar(pair)

    async def start_sidecar(self, pair: EndpointPair) -> None:
        """Start a sidecar again at its address."""
        pair.sidecar = await self._start("sidecar", pair.id, pair.sidecar_file)

    async def restart_entry(self, number: int) -> None:
        """Stop an entry gracefully and start it again."""
        await self._stop(self.deployment.entries[number])
        await self.start_entry(number)

    async def start_entry(self, number: int) -> None:
        """Start an entry again at its address and wait until it listens."""
        file = self.deployment.entry_files[number]
        started = await self._start("entry", f"entry-{number + 1}", file)
        self.deployment.entries[number] = started

    async def freeze(self, process: Process, seconds: float) -> None:
        """Suspend a process with SIGSTOP for some seconds."""
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
