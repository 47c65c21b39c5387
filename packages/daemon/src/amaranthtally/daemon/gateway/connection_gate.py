"""Closes new connections unread while the process has more work than it can do."""

import asyncio
from collections.abc import Callable
from typing import cast

from amaranthtally.daemon.logs import get_logger

__all__ = ["ConnectionGate", "LoadEstimate"]

# Interval between checks of the event loop, in seconds.
CHECK_INTERVAL_S = 0.05
# Weight of a check in the smoothed delay, and the longest delay that counts, in
# seconds: a process that was suspended once is not overloaded.
DELAY_WEIGHT = 0.3
MAX_DELAY_S = 0.3
# No connections are taken from the first smoothed delay on, until it falls below the
# second one, in seconds. Callers give a connection up that is not read for a second.
CLOSE_DELAY_S = 0.1
OPEN_DELAY_S = 0.05
# Most connections that are taken between two checks. The number is halved after two
# checks in a row that were later than ``LATE_CHECK_S``, if at least half of it was
# taken before one of them, and grows by one after each check in time. A single late
# check is a pause that is over, and checks that are late though few connections came
# are not late because of these: callers would pay for a neighbour on the host.
MAX_PER_CHECK = 16
LATE_CHECK_S = 0.03
LOG_INTERVAL_S = 1.0

log = get_logger()


class LoadEstimate:
    """Whether to take a new connection, by how late the event loop runs its timers."""

    def __init__(self) -> None:
        self._delay_s = 0.0
        self._is_open = True
        self._allowed = float(MAX_PER_CHECK)
        self._taken = 0
        self._taken_before = 0
        self._was_late = False

    @property
    def delay_s(self) -> float:
        """Smoothed delay of timers, in seconds."""
        return self._delay_s

    def note_check(self, delay_s: float) -> None:
        """Note how late a check of the event loop was, in seconds."""
        sample_s = min(MAX_DELAY_S, max(0.0, delay_s))
        self._delay_s += DELAY_WEIGHT * (sample_s - self._delay_s)
        is_in_use = max(self._taken, self._taken_before) >= self._allowed / 2.0
        self._taken_before, self._taken = self._taken, 0
        is_late = sample_s > LATE_CHECK_S
        if not is_late:
            self._allowed = min(MAX_PER_CHECK, self._allowed + 1.0)
        elif self._was_late and is_in_use:
            self._allowed = max(1.0, self._allowed / 2.0)
        self._was_late = is_late
        if self._delay_s > CLOSE_DELAY_S:
            self._is_open = False
        elif self._delay_s < OPEN_DELAY_S:
            self._is_open = True

    def take(self) -> bool:
        """Whether a new connection is taken."""
        if not self._is_open or self._taken >= self._allowed:
            return False
        self._taken += 1
        return True


class ConnectionGate:
    """
    Takes connections from callers while their requests would be served in time.

    If the balancer hands most connections to one gateway and it read them all, all
    would be late. A connection that is closed unread is tried at another one at once.
    """

    def __init__(self) -> None:
        self._estimate = LoadEstimate()
        self._closed = 0
        self._logged = 0
        self._log_at = 0.0
        self._loop = asyncio.get_running_loop()

    @property
    def closed(self) -> int:
        """Number of connections that were closed unread."""
        return self._closed

    def guard(self, build: Callable[[], asyncio.BaseProtocol]) -> asyncio.BaseProtocol:
        """Return the protocol of a new connection."""
        if self._estimate.take():
            return build()
        self._closed += 1
        return _UnreadConnection()

    def reset_estimate(self) -> None:
        """Take connections as after the start, until the event loop was checked."""
        self._estimate = LoadEstimate()

    async def run(self) -> None:
        """Check the event loop until cancelled."""
        while True:
            due_at = self._loop.time() + CHECK_INTERVAL_S
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = self._loop.time()
            self._estimate.note_check(now - due_at)
            if self._closed > self._logged and now >= self._log_at:
                self._log_at = now + LOG_INTERVAL_S
                log.warning(
                    "connections_closed_unread",
                    count=self._closed - self._logged,
                    delay_ms=round(self._estimate.delay_s * 1000),
                )
                self._logged = self._closed


class _UnreadConnection(asyncio.Protocol):
    """Closes its connection before anything is read."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reset the connection, so that its caller knows at once."""
        # uvloop's transports are no subclass of asyncio's.
        cast(asyncio.Transport, transport).abort()
