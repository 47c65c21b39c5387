"""
Turns of connections that have received more than is parsed at once.

Small chunks take hundreds of times as long to parse as a large one. Without turns, a
few servers that send them would keep the event loop busy, and nothing else would be
served.
"""

import asyncio
from typing import Protocol

__all__ = ["ReadTurns", "SlicedConnection"]

# What one connection parses at a time, and all of them together before the event loop
# goes on, in bytes. In the smallest chunks this takes some milliseconds.
SLICE_BYTES = 16_384
TURN_BYTES = 65_536


class SlicedConnection(Protocol):
    """A connection that parses what it has received in slices."""

    @property
    def can_parse(self) -> bool:
        """Whether there is anything to parse, and nothing else to wait for."""

    def parse_slice(self, most_bytes: int) -> int:
        """Parse a slice; return its size in bytes."""


class ReadTurns:
    """Lets connections parse slices in the order in which they have received bytes."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        # Used as an ordered set.
        self._waiting: dict[SlicedConnection, None] = {}
        self._left_bytes = TURN_BYTES
        self._is_scheduled = False

    def request(self, connection: SlicedConnection) -> None:
        """Let a connection parse: at once if no other waits, else in its turn."""
        if not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._begin_turn)
        self._waiting[connection] = None
        if len(self._waiting) == 1 and self._left_bytes > 0:
            self._parse_next()

    def _begin_turn(self) -> None:
        self._left_bytes = TURN_BYTES
        while self._waiting and self._left_bytes > 0:
            self._parse_next()
        self._is_scheduled = bool(self._waiting)
        if self._is_scheduled:
            self._loop.call_soon(self._begin_turn)

    def _parse_next(self) -> None:
        connection = next(iter(self._waiting))
        del self._waiting[connection]
        self._left_bytes -= connection.parse_slice(SLICE_BYTES)
        if connection.can_parse:
            self._waiting[connection] = None
