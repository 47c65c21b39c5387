"""The deployment of a randomised run, and how its processes are hurt and healed."""

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

__all__ = ["HurtEntry", "World"]


@dataclass(slots=True)
class HurtEntry:
    """When an entry was killed or frozen; its callers' connections may break."""

    number: int
    start: float
    end: float = float("inf")


@dataclass(slots=True)
class World:
    """What faults act on, and what they and the callers noted."""

    deployment: Deployment
    balancer: Balancer
    random: Random
    relays: dict[str, Relay] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    hurt: list[HurtEntry] = field(default_factory=list)
    busy: set[str] = field(default_factory=set)

    def violated(self, text: str) -> None:
        """Note a broken promise."""
        self.violations.append(text)

    def excused(self, number: int, start: float, end: float) -> bool:
        """Whether an entry was killed or frozen while a caller waited for it."""
        return any(
            h.number == number and h.start <= end and h.end >= start for h in self.hurt
        )

    # Targets

    @asynccontextmanager
    async def claim(self, names: list[str]) -> AsyncIterator[str]:
        """Yield one that no other fault holds; at most half of them at once."""
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
        """Return the endpoints of some kinds of pool, of one pool drawn."""
        pools = [p.name for p in self.deployment.plan.pools if p.kind in kinds]
        pool = self.random.choice(pools)
        return [pair.id for pair in self.deployment.pool(pool)]

    def linked_endpoints(self) -> list[str]:
        """Return the endpoints behind relays, of one pool drawn."""
        pools = sorted({self.pair(name).pool for name in self.relays})
        pool = self.random.choice(pools)
        return [name for name in self.relays if self.pair(name).pool == pool]

    def pair(self, name: str) -> EndpointPair:
        """Return an endpoint by id."""
        return self.deployment.endpoints[name]

    def entries(self) -> list[str]:
        """Return the entries' names."""
        return [f"entry-{n + 1}" for n in range(len(self.deployment.entries))]

    # Restarts

    async def stop_sidecar(self, pair: EndpointPair) -> None:
        """Stop a sidecar gracefully and start its successor."""
        await self._stop(pair.sidecar)
        await self.start_sidecar(pair)

    async def start_sidecar(self, pair: EndpointPair) -> None:
        """Start a sidecar again at its address."""
        pair.sidecar = await self._start("sidecar", pair.id, pair.sidecar_file)

    async def stop_entry(self, number: int) -> None:
        """Stop an entry gracefully and start its successor."""
        await self._stop(self.deployment.entries[number])
        await self.start_entry(number)

    async def start_entry(self, number: int) -> None:
        """Start an entry again at its address and wait until it is ready."""
        file = self.deployment.entry_files[number]
        started = await self._start("entry", f"entry-{number + 1}", file)
        self.deployment.entries[number] = started

    async def freeze(self, process: Process, seconds: float) -> None:
        """Stop a process from running for some time."""
        process.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        process.send(signal.SIGCONT)

    async def _stop(self, process: Process) -> None:
        code = await process.stop()
        if code != 0:
            self.violated(f"{process.name} ended with {code} on a planned stop")

    async def _start(self, role: str, name: str, file: Path) -> Process:
        return await self.deployment.start_daemon(role, name, file)
