"""
Turns of connections that have received more than is parsed at once.

Small chunks take hundreds of times as long to parse as a large one. Without turns, a
few servers that send them would keep the event loop busy, and nothing else would be
served.
"""

import asyncio
import time
from typing import Protocol

__all__ = ["ReadTurns", "SlicedConnection"]

# What one connection parses at a time, in bytes. In the smallest chunks this takes a
# millisecond, in large ones some microseconds.
SLICE_BYTES = 16_384
# How long slices are parsed before the event loop goes on, in seconds.
TURN_S = 0.005


class SlicedConnection(Protocol):
    """A connection that parses what it has received in slices."""

    @property
    def can_parse(self) -> bool:
        """Whether there is anything to parse, and nothing else to wait for."""

    def parse_slice(self, most_bytes: int) -> None:
        """Parse a slice of at most this size."""


class ReadTurns:
    """Lets connections parse slices in the order in which they have received bytes."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        # Used as an ordered set.
        self._waiting: dict[SlicedConnection, None] = {}
        self._left_s = TURN_S
        self._is_scheduled = False

    def request(self, connection: SlicedConnection) -> None:
        """Let a connection parse: at once if no other waits, else in its turn."""
        self._waiting[connection] = None
        self._schedule()
        if len(self._waiting) == 1 and self._left_s > 0.0:
            self._parse_next()

    def _begin_turn(self) -> None:
        self._left_s = TURN_S
        self._is_scheduled = False
        try:
            while self._waiting and self._left_s > 0.0:
                self._parse_next()
        finally:
            # What one connection raises must not stop all the others.
            if self._waiting:
                self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._begin_turn)

    def _parse_next(self) -> None:
        connection = next(iter(self._waiting))
        del self._waiting[connection]
        # The loop's own clock stands still within a callback.
        began = time.perf_counter()
        connection.parse_slice(SLICE_BYTES)
        self._left_s -= time.perf_counter() - began
        if connection.can_parse:
            self._waiting[connection] = None
