"""How long a result of a given size waits for free memory at a pool site."""

from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["RoomWaits", "time_until_room_s"]


def time_until_room_s(
    now: float, missing_bytes: float, releases: Iterable[tuple[float, float]]
) -> float:
    """
    Return after how many seconds so many bytes more will be free, 0 if none are needed.

    ``releases`` are the time stamps at which memory is expected to be freed, with the
    bytes. Infinite if they do not suffice.
    """
    if missing_bytes <= 0:
        return 0.0
    for at, size_bytes in sorted(releases):
        missing_bytes -= size_bytes
        if missing_bytes <= 0:
            return max(0.0, at - now)
    return float("inf")


class _Wait(NamedTuple):
    wait_s: float
    reported_at: float

    def remaining_s(self, now: float) -> float:
        return max(0.0, self.wait_s - (now - self.reported_at))


class RoomWaits:
    """
    The waits for room that owners of pool sites report; times in seconds.

    A wait shrinks as time passes, so that what a dead owner reported is forgotten.
    """

    def __init__(self) -> None:
        self._waits: dict[tuple[str, str], dict[float, _Wait]] = {}

    def update(
        self, now: float, pool: str, data_centre: str, size_bytes: float, wait_s: float
    ) -> None:
        """Record how long a result of this size waits for room at a site."""
        waits = self._waits.setdefault((pool, data_centre), {})
        for size, wait in list(waits.items()):
            remaining_s = wait.remaining_s(now)
            if size != size_bytes and not remaining_s:
                del waits[size]
            elif size < size_bytes and remaining_s > wait_s:
                waits[size] = _Wait(wait_s, now)
        waits[size_bytes] = _Wait(wait_s, now)

    def wait_s(
        self, now: float, pool: str, data_centre: str, size_bytes: float
    ) -> float:
        """Return how long a result waits for room; no smaller one waits longer."""
        waits = self._waits.get((pool, data_centre), {})
        return max(
            (w.remaining_s(now) for size, w in waits.items() if size <= size_bytes),
            default=0.0,
        )
