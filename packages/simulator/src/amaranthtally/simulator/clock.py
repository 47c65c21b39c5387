"""A virtual clock that runs callbacks in the order of their times."""

import heapq
from collections.abc import Callable

__all__ = ["VirtualClock"]


class VirtualClock:
    """Time in seconds from 0; callbacks of the same time run in scheduling order."""

    def __init__(self) -> None:
        self._now = 0.0
        self._serial = 0
        self._due: list[tuple[float, int, Callable[[], None]]] = []

    @property
    def now(self) -> float:
        """The current time in seconds."""
        return self._now

    def at(self, time: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at a time, or at the current time if that is later."""
        self._serial += 1
        heapq.heappush(self._due, (max(time, self._now), self._serial, callback))

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay in seconds."""
        self.at(self._now + delay_s, callback)

    def run(self, until: float) -> None:
        """Run every callback due up to a time, and set the clock to that time."""
        while self._due and self._due[0][0] <= until:
            self._now, _, callback = heapq.heappop(self._due)
            callback()
        self._now = until
