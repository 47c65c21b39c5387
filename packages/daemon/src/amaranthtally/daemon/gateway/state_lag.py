"""Shows when a gateway's state stays behind that of its peers."""

import asyncio
from collections.abc import Callable, Mapping
from math import inf

from amaranthtally.daemon.logs import get_logger

__all__ = ["LagReporter", "RecordsLag"]

# A gateway that is behind for longer than this is reported, in seconds: the time in
# which a change must take effect.
REPORTED_LAG_S = 2.5
CHECK_INTERVAL_S = 0.5
# Least interval between two reports that one kind of state falls behind, in seconds.
REPORT_INTERVAL_S = 10.0

log = get_logger()


class RecordsLag:
    """Measures since when a peer is known to hold records that are missing here."""

    def __init__(self, held: Callable[[], int], clock: Callable[[], float]) -> None:
        self._held = held
        self._clock = clock
        self._target = 0
        self._newest = 0
        self._since = -inf

    def note_version(self, revision: int) -> None:
        """Note that a peer holds the records up to a revision."""
        self._update()
        self._newest = max(self._newest, revision)
        self._update()

    @property
    def behind_s(self) -> float:
        """Seconds since the oldest revision that is missing became known, or 0."""
        self._update()
        return self._clock() - self._since if self._target > self._held() else 0.0

    def _update(self) -> None:
        held = self._held()
        if self._target <= held < self._newest:
            self._target = self._newest
            self._since = self._clock()


class LagReporter:
    """Logs when a kind of state falls behind that of peers, and when that ends."""

    def __init__(
        self, lags: Mapping[str, Callable[[], float]], clock: Callable[[], float]
    ) -> None:
        """Create it; ``lags`` returns by name for how long a state is behind."""
        self._lags = lags
        self._clock = clock
        self._reported: set[str] = set()
        self._due_at = dict.fromkeys(lags, -inf)

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Log what has fallen behind or has caught up since the last check."""
        for kind, lag in self._lags.items():
            self._check(kind, lag())

    def _check(self, kind: str, behind_s: float) -> None:
        now = self._clock()
        if kind in self._reported:
            if not behind_s:
                self._reported.discard(kind)
                log.info("state_caught_up", kind=kind)
        elif behind_s > REPORTED_LAG_S and now >= self._due_at[kind]:
            self._reported.add(kind)
            self._due_at[kind] = now + REPORT_INTERVAL_S
            log.warning("state_behind_peers", kind=kind, behind_s=round(behind_s, 2))
