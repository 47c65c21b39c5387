"""Lets large responses of endpoints be read in turn, as room for them comes free."""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Protocol

from amaranthtally.policy import MemoryBudget

__all__ = ["ResponseTurns", "ResponseHolder"]

# Responses up to this size are read at once, in bytes: their connection's buffers hold
# as much.
SMALL_BYTES = 65_536
# What has come of a response that waits, at most, in bytes: one read of the event loop,
# and what its reader has room for.
BUFFERED_BYTES = 393_216
# The share of the limit that the responses which are read at a time may take. What has
# come of those that wait takes some more of ``Reception``'s limit.
READING_SHARE = 0.375
# The longest wait for a turn, in seconds. An endpoint cuts off a response that is not
# read for longer.
MAX_WAIT_S = 4.0


class ResponseHolder(Protocol):
    """Counts what is held for a request."""

    @property
    def reserved(self) -> int:
        """Bytes that are counted and have not come."""

    def reserve(self, size: int) -> None:
        """Count bytes that are expected."""


@dataclass(slots=True, eq=False)
class _Waiting:
    """A response of a known size that waits for its turn."""

    holder: ResponseHolder
    size: int
    turn: asyncio.Future[None] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class ResponseTurns:
    """
    Gives turns to large responses, in the order in which their heads came.

    Read without waiting, responses that come together would exceed the limit, and some
    of them would be ended though their callers are about to read. One that waits stays
    with its endpoint, but for the buffers of its connection.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._read_bytes = 0
        self._waiting: deque[_Waiting] = deque()

    @property
    def waiting(self) -> int:
        """Number of responses that wait."""
        return len(self._waiting)

    @asynccontextmanager
    async def turn(self, holder: ResponseHolder, size: int) -> AsyncIterator[None]:
        """
        Wait until a response of a size in bytes fits, and reserve that much for it.

        After ``MAX_WAIT_S`` it is read without. A size of 0 stands for an unknown one.
        """
        if not SMALL_BYTES < size <= self._budget.limit:
            yield
            return
        waiting = _Waiting(holder, size)
        _reserve(holder, min(size, BUFFERED_BYTES))
        self._waiting.append(waiting)
        self.give()
        try:
            async with asyncio.timeout(MAX_WAIT_S):
                await asyncio.shield(waiting.turn)
        except TimeoutError:
            self._withdraw(waiting)
        except BaseException:
            self._end(waiting)
            raise
        try:
            yield
        finally:
            self._end(waiting)

    def give(self) -> None:
        """Give turns to those that fit by now."""
        while self._waiting and self._fits(self._waiting[0]):
            first = self._waiting.popleft()
            self._read_bytes += first.size
            _reserve(first.holder, first.size)
            first.turn.set_result(None)

    def _fits(self, waiting: _Waiting) -> bool:
        budget = self._budget
        added = max(0, waiting.size - waiting.holder.reserved)
        if budget.used + added > budget.limit:
            return False
        most = READING_SHARE * budget.limit
        return not self._read_bytes or self._read_bytes + waiting.size <= most

    def _end(self, waiting: _Waiting) -> None:
        if waiting.turn.done():
            self._read_bytes -= waiting.size
            self.give()
        else:
            self._withdraw(waiting)

    def _withdraw(self, waiting: _Waiting) -> None:
        """Let the next one take the place of one that has had no turn."""
        if waiting in self._waiting:
            self._waiting.remove(waiting)
            self.give()


def _reserve(holder: ResponseHolder, size: int) -> None:
    """Reserve as much more as is missing to a size in bytes."""
    if size > holder.reserved:
        holder.reserve(size - holder.reserved)
