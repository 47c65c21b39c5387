"""The open connections of a listener, and those that it closes."""

import asyncio
from collections import Counter as Tally
from collections.abc import Callable

from aioprometheus import Counter, Gauge

from amaranthtally.daemon.connections.bounded_connection import BoundedConnection
from amaranthtally.daemon.connections.descriptors import descriptor_limit
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import (
    SERVICE_SHARE,
    ConnectionLimits,
    ConnectionPhase,
    is_overdue,
    most_connections,
    pick_evicted,
)

__all__ = ["ConnectionTable", "service_connections"]

# Interval between checks of the time-outs, in seconds.
SWEEP_INTERVAL_S = 0.5
# Most bytes that are read at once. A connection that is not read on holds no more.
READ_BYTES = 16_384
# The reason for closing a connection on which a request was answered, and none came.
IDLE = "idle"

log = get_logger()
open_metric = Gauge("amaranthtally_connections_open", "Open connections by listener.")
closed_metric = Counter(
    "amaranthtally_connections_closed_total",
    "Connections that were closed for their limits, by listener and reason.",
)


class ConnectionTable:
    """
    Bounds the connections of one listener.

    A connection that would be one too many takes the place of one that waits for its
    client. If all have a request that was read, the new one is closed.
    """

    def __init__(self, name: str, limits: Callable[[], ConnectionLimits]) -> None:
        """Create it; ``limits`` returns those in force, which may change."""
        self.buffer = memoryview(bytearray(READ_BYTES))
        self._name = name
        self._limits = limits
        self._connections: set[BoundedConnection] = set()
        self._overdue: set[BoundedConnection] = set()
        self._closed: Tally[str] = Tally()
        self._loop = asyncio.get_running_loop()

    @property
    def name(self) -> str:
        """The listener's name, in logs and metrics."""
        return self._name

    @property
    def limits(self) -> ConnectionLimits:
        """The limits in force."""
        return self._limits()

    @property
    def count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def add(self, connection: BoundedConnection) -> None:
        """Add a new connection, for which others may be closed, or it itself."""
        most = self.limits.connections
        if self.count >= most:
            states = (c.state for c in self._connections)
            evicted = pick_evicted(states, most, self._loop.time())
            for other in evicted or [connection]:
                self._close(other, "too_many")
        self._connections.add(connection)

    def remove(self, connection: BoundedConnection) -> None:
        """Remove a connection that has ended."""
        self._connections.discard(connection)
        self._overdue.discard(connection)

    def note_closed(self, reason: str) -> None:
        """Count a connection that is closed for a limit."""
        self._closed[reason] += 1

    async def run(self) -> None:
        """Close overdue connections until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._sweep()
            self._report()

    def _sweep(self) -> None:
        """
        Close what was overdue at the last sweep already, and still is.

        After a pause of the process, all may look overdue before what has arrived
        meanwhile is read.
        """
        now, limits = self._loop.time(), self.limits
        overdue: dict[BoundedConnection, str] = {}
        for connection in list(self._connections):
            state = connection.state
            if state.phase is ConnectionPhase.RESPONSE:
                connection.note_busy(now)
            elif is_overdue(state, limits, now):
                is_idle = state.phase is ConnectionPhase.IDLE
                overdue[connection] = IDLE if is_idle else "too_slow"
        for connection in overdue.keys() & self._overdue:
            self._close(connection, overdue.pop(connection))
        self._overdue = set(overdue)

    def _close(self, connection: BoundedConnection, reason: str) -> None:
        self.note_closed(reason)
        self._connections.discard(connection)
        connection.close()

    def _report(self) -> None:
        open_metric.set({"listener": self._name}, self.count)
        for reason, count in self._closed.items():
            closed_metric.add({"listener": self._name, "reason": reason}, count)
        # Clients that come back open a new connection: nothing is wrong.
        self._closed.pop(IDLE, None)
        if not self._closed:
            return
        log.warning(
            "connections_closed",
            listener=self._name,
            open=self.count,
            most=self.limits.connections,
            **self._closed,
        )
        self._closed.clear()


def service_connections(name: str) -> ConnectionTable:
    """Return the table of a listener for a few clients: readiness, metrics, health."""
    most = most_connections(SERVICE_SHARE, descriptor_limit())
    limits = ConnectionLimits(connections=most)
    return ConnectionTable(name, lambda: limits)
