"""Counts what is held for callers, and ends the largest of them beyond the limit."""

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager, suppress
from math import inf
from pathlib import Path
from resource import getpagesize

from amaranthtally.daemon.gateway.response_turns import ResponseTurns
from amaranthtally.daemon.logs import get_logger
from amaranthtally.platform import Reception
from amaranthtally.policy import MemoryBudget, build_memory_budget, usable_bytes

__all__ = ["CallerMemory", "EntryMemory"]

BYTES_PER_MB = 1_000_000
BYTES_PER_KB = 1000
# What an open request takes beside its bodies, in bytes: its task, its connection's
# objects and its state in the policy.
REQUEST_BYTES = 32_768
# What a queued event takes beside its bytes: an object, a bytes object and a place in
# the queue.
EVENT_BYTES = 128
# The process's own need is the least of this many measurements. A single one includes
# what has arrived and is not counted yet.
SAMPLES = 30
SAMPLE_INTERVAL_S = 1.0
# A change of the limit by less than this part is not logged.
LOGGED_CHANGE = 0.1
# What responses that are not complete may take of the limit, so that servers that send
# without end leave room for other requests.
RECEIVED_SHARE = 0.5
# The share of the limit from which on a stream is read only as its caller reads it. The
# rest is for other requests, and for callers that do not read for a while.
CROWDED_SHARE = 0.5
# How long a stream is then not read, in seconds. Endpoints cut off what is not read for
# some seconds.
DRAIN_WAIT_S = 2.0
STATM = Path("/proc/self/statm")
RESIDENT_FIELD = 1

log = get_logger()

OnExcess = Callable[[int], None]


class CallerMemory:
    """What is held for one request; nothing is counted once it is closed or ended."""

    def __init__(self, memory: "EntryMemory") -> None:
        self._memory = memory
        self._unsent = 0
        self._reserved = 0
        self._on_excess: OnExcess | None = None
        self._is_open = True
        self._is_ended = False
        self._held_at_end = 0
        # Bytes of events that are queued for the caller.
        self._queued = 0
        self._drained = asyncio.Event()
        self._drained.set()
        self._has_waited = False

    @property
    def is_ended(self) -> bool:
        """Whether the request was ended because it held the most memory."""
        return self._is_ended

    @property
    def reserved(self) -> int:
        """Bytes that are counted and have not come."""
        return self._reserved

    def call_on_excess(self, on_excess: OnExcess) -> None:
        """Set what ends the request, given the bytes that it held."""
        self._on_excess = on_excess
        # It may have become the largest before there was anything to end it with.
        if self._is_ended:
            self._schedule_end()

    def reserve(self, size: int) -> None:
        """Count bytes that are expected; those that come take their place."""
        if self._is_open:
            self._set_reserved(self._reserved + size)
            self._memory.hold(self, size)

    def end_reservation(self) -> None:
        """Count what was expected and has not come as no longer held."""
        unused = self._reserved
        self._set_reserved(0)
        self.remove(unused)

    def reading_turn(self, size: int) -> AbstractAsyncContextManager[None]:
        """Return a context in which a response of a size in bytes may be read."""
        return self._memory.reading.turn(self, size)

    def add(self, size: int) -> None:
        """Count bytes that are held from now on; may end this or another request."""
        expected = min(size, self._reserved)
        self._set_reserved(self._reserved - expected)
        if self._is_open and size > expected:
            self._memory.hold(self, size - expected)

    def remove(self, size: int) -> None:
        """Count bytes as no longer held."""
        if self._is_open:
            self._memory.release(self, size)

    def add_event(self, body: bytes) -> None:
        """Count an event that is queued for the caller."""
        self._queued += len(body) + EVENT_BYTES
        self._drained.clear()
        self.add(len(body) + EVENT_BYTES)

    def remove_event(self, body: bytes) -> None:
        """Count an event as no longer queued."""
        self._queued -= len(body) + EVENT_BYTES
        if not self._queued:
            self._drained.set()
            self._has_waited = False
        self.remove(len(body) + EVENT_BYTES)

    async def wait_until_drained(self) -> None:
        """
        Wait until no event is queued, if the process holds much already.

        After ``DRAIN_WAIT_S`` the stream is read on, as its endpoint would cut it off.
        """
        if self._has_waited or not self._memory.is_crowded:
            return
        # Not for each further event of a caller that does not read at all.
        self._has_waited = True
        with suppress(TimeoutError):
            async with asyncio.timeout(DRAIN_WAIT_S):
                await self._drained.wait()
                self._has_waited = False

    def set_unsent(self, size: int) -> None:
        """Count the bytes that were written and that the caller has not read."""
        if size > self._unsent:
            self.add(size - self._unsent)
        elif size < self._unsent:
            self.remove(self._unsent - size)
        self._unsent = size

    def close(self) -> None:
        """Count nothing more, as the request has ended."""
        self._stop_counting()
        # It refers to the request, which refers to this: what the request holds would
        # stay until the next collection of garbage.
        self._on_excess = None

    def end(self) -> None:
        """End the request, once the current callback has returned."""
        self._held_at_end = self._memory.budget.held(self)
        self._stop_counting()
        self._is_ended = True
        self._schedule_end()

    def _stop_counting(self) -> None:
        if self._is_open:
            self._is_open = False
            self._set_reserved(0)
            self._memory.release(self, self._memory.budget.held(self))

    def _set_reserved(self, size: int) -> None:
        self._memory.note_expected(size - self._reserved)
        self._reserved = size

    def _schedule_end(self) -> None:
        if self._on_excess is not None:
            asyncio.get_running_loop().call_soon(self._on_excess, self._held_at_end)


class EntryMemory:
    """
    The memory of this process for callers; unlimited if ``memory_mb`` is 0.

    ``memory_mb`` is what the process as a whole may use, in megabytes. ``reception``
    gets its limit from here.
    """

    def __init__(
        self,
        memory_mb: float = 0,
        budget: MemoryBudget | None = None,
        reception: Reception | None = None,
    ) -> None:
        self._reception = reception or Reception()
        self._memory_bytes = memory_mb * BYTES_PER_MB
        self._budget = budget or build_memory_budget()
        self._reading = ResponseTurns(self._budget)
        # What is counted and has not come.
        self._expected = 0
        self._own_samples: deque[int] = deque(maxlen=SAMPLES)
        self._ended = 0
        self._logged_limit = inf
        if self._memory_bytes:
            self.update_limit(resident_bytes())

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return self._budget.limit < inf

    @property
    def budget(self) -> MemoryBudget:
        """The totals."""
        return self._budget

    @property
    def reading(self) -> ResponseTurns:
        """The turns in which large responses are read."""
        return self._reading

    @property
    def ended(self) -> int:
        """Number of requests that were ended because they held the most."""
        return self._ended

    def open(self) -> CallerMemory:
        """Return the memory of a new request."""
        return CallerMemory(self)

    def admits(self, body_bytes: int) -> bool:
        """Whether a new request with a body of this size fits."""
        return self._budget.admits(body_bytes + REQUEST_BYTES)

    @property
    def is_crowded(self) -> bool:
        """Whether streams are read no faster than their callers read them."""
        return self._budget.used > CROWDED_SHARE * self._budget.limit

    def admits_more(self, size: int) -> bool:
        """Whether more bytes of a body whose length is not known fit."""
        return self._budget.admits(size)

    def note_expected(self, added: int) -> None:
        """Note a change of what is counted and has not come, in bytes."""
        self._expected += added

    def release(self, caller: CallerMemory, size: int) -> None:
        """Count bytes of a request as no longer held; others may be read instead."""
        self._budget.release(caller, size)
        self._reading.give()

    def hold(self, caller: CallerMemory, size: int) -> None:
        """Count bytes of a request; end the largest requests beyond the limit."""
        self._budget.hold(caller, size)
        while self._budget.used > self._budget.limit:
            largest = self._budget.largest()
            if not isinstance(largest, CallerMemory):
                return
            self._ended += 1
            largest.end()

    def update_limit(self, resident: int) -> None:
        """Set the limit from the resident memory of the process, in bytes."""
        held = self._budget.used - self._expected
        self._own_samples.append(max(0, resident - held))
        limit = usable_bytes(self._memory_bytes, min(self._own_samples))
        self._budget.set_limit(limit)
        self._reception.set_limit(RECEIVED_SHARE * limit)
        if abs(limit - self._logged_limit) > LOGGED_CHANGE * limit:
            self._logged_limit = limit
            log.info(
                "memory_limit",
                limit_kb=round(limit / BYTES_PER_KB),
                own_kb=round(min(self._own_samples) / BYTES_PER_KB),
                held_kb=round(self._budget.used / BYTES_PER_KB),
            )

    async def run(self) -> None:
        """Update the limit periodically until cancelled."""
        while self._memory_bytes:
            self.update_limit(resident_bytes())
            await asyncio.sleep(SAMPLE_INTERVAL_S)


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    return int(STATM.read_text().split()[RESIDENT_FIELD]) * getpagesize()
