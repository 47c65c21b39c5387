"""A key-value store in memory whose calls fail as a test draws it."""

import asyncio
from dataclasses import dataclass
from enum import Enum

from result import Err, Ok

from amaranthtally.platform import (
    KeyValueEntry,
    Listing,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
)


class Fault(Enum):
    NONE = "none"
    DOWN = "down"
    LOST_BEFORE = "lost_before"
    LOST_AFTER = "lost_after"
    LATE = "late"


@dataclass
class Late:
    calls_left: int
    key: str
    value: bytes
    index: int


class FakeStore:
    """Shared state; ``faults`` and ``steps`` are used up in turn, then all is well."""

    def __init__(self, faults=(), steps=()):
        self.items = {}
        self.index = 1
        self.calls = 0
        self.faults = list(faults)
        self.steps = list(steps)
        self.late = []

    async def turn(self):
        """Let other writers run, and apply late writes that are due."""
        self.calls += 1
        for _ in range(self.steps.pop() if self.steps else 0):
            await asyncio.sleep(0)
        for late in list(self.late):
            late.calls_left -= 1
            if late.calls_left <= 0:
                self.late.remove(late)
                self.swap(late.key, late.value, late.index)

    def fault(self):
        return self.faults.pop() if self.faults else Fault.NONE

    def swap(self, key, value, index):
        held = self.items.get(key)
        if index != (held.index if held else 0):
            return False
        self.index += 1
        self.items[key] = KeyValueEntry(key, value, self.index)
        return True

    # The client's calls

    async def get(self, key):
        await self.turn()
        if self.fault() is not Fault.NONE:
            return Err(PlatformUnavailable("drawn"))
        return Ok(self.items.get(key))

    async def list(self, prefix):
        await self.turn()
        if self.fault() is not Fault.NONE:
            return Err(PlatformUnavailable("drawn"))
        found = sorted(k for k in self.items if k.startswith(prefix))
        return Ok(Listing(self.index, tuple(self.items[k] for k in found)))

    async def watch(self, key, index, wait_s):
        found = await self.get(key)
        return found.map(
            lambda e: Listing(e.index if e else self.index, (e,) if e else ())
        )

    async def compare_and_swap(self, key, value, index):
        await self.turn()
        fault = self.fault()
        if fault is Fault.DOWN:
            return Err(PlatformUnavailable("drawn"))
        if fault is Fault.LATE:
            self.late.append(Late(5, key, value, index))
        if fault in (Fault.LATE, Fault.LOST_BEFORE):
            return Err(PlatformOutcomeUnknown("drawn"))
        done = self.swap(key, value, index)
        if fault is Fault.LOST_AFTER:
            return Err(PlatformOutcomeUnknown("drawn"))
        return Ok(done)

    async def delete_prefix(self, prefix):
        await self.turn()
        if self.fault() is not Fault.NONE:
            return Err(PlatformUnavailable("drawn"))
        for key in [k for k in self.items if k.startswith(prefix)]:
            del self.items[key]
        return Ok(None)
