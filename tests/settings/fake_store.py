"""An in-memory key-value store with faults injected from a given sequence."""

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
class DelayedWrite:
    calls_left: int
    key: str
    value: bytes
    index: int


class FakeStore:
    """
    A store for several writers.

    Calls take faults and steps from the end of the lists ``faults`` and ``steps``. Once
    the lists are empty, calls succeed without delay.
    """

    def __init__(self, faults=(), steps=()):
        self.items = {}
        self.index = 1
        self.calls = 0
        self.faults = list(faults)
        self.steps = list(steps)
        self.delayed = []

    async def run_others(self):
        """Yield to other writers, then apply the delayed writes that are due."""
        self.calls += 1
        for _ in range(self.steps.pop() if self.steps else 0):
            await asyncio.sleep(0)
        for delayed in list(self.delayed):
            delayed.calls_left -= 1
            if delayed.calls_left <= 0:
                self.delayed.remove(delayed)
                self.apply_swap(delayed.key, delayed.value, delayed.index)

    def next_fault(self):
        return self.faults.pop() if self.faults else Fault.NONE

    def apply_swap(self, key, value, index):
        current = self.items.get(key)
        if index != (current.index if current else 0):
            return False
        self.index += 1
        self.items[key] = KeyValueEntry(key, value, self.index)
        return True

    # Methods of KeyValueClient

    async def get(self, key):
        await self.run_others()
        if self.next_fault() is not Fault.NONE:
            return Err(PlatformUnavailable("injected fault"))
        return Ok(self.items.get(key))

    async def list(self, prefix):
        await self.run_others()
        if self.next_fault() is not Fault.NONE:
            return Err(PlatformUnavailable("injected fault"))
        keys = sorted(k for k in self.items if k.startswith(prefix))
        return Ok(Listing(self.index, tuple(self.items[k] for k in keys)))

    async def watch(self, key, index, wait_s):
        result = await self.get(key)
        return result.map(
            lambda e: Listing(e.index if e else self.index, (e,) if e else ())
        )

    async def compare_and_swap(self, key, value, index):
        await self.run_others()
        fault = self.next_fault()
        if fault is Fault.DOWN:
            return Err(PlatformUnavailable("injected fault"))
        if fault is Fault.LATE:
            self.delayed.append(DelayedWrite(5, key, value, index))
        if fault in (Fault.LATE, Fault.LOST_BEFORE):
            return Err(PlatformOutcomeUnknown("injected fault"))
        swapped = self.apply_swap(key, value, index)
        if fault is Fault.LOST_AFTER:
            return Err(PlatformOutcomeUnknown("injected fault"))
        return Ok(swapped)

    async def delete_prefix(self, prefix):
        await self.run_others()
        if self.next_fault() is not Fault.NONE:
            return Err(PlatformUnavailable("injected fault"))
        for key in [k for k in self.items if k.startswith(prefix)]:
            del self.items[key]
        return Ok(None)
