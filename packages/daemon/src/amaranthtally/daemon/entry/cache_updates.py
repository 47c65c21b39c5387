"""Converts sidecars' updates of their engines' prefix caches to policy events."""

from dataclasses import dataclass

from amaranthtally.policy import CacheEvent
from amaranthtally.wire import CacheUpdate

__all__ = ["CacheUpdateTracker"]


@dataclass(slots=True)
class _Progress:
    """
    The updates applied from one endpoint.

    ``serial`` is the sidecar's number of the last update; ``event_serial`` is that
    of the last event for the policy.
    """

    incarnation: int
    serial: int = 0
    event_serial: int = 0


class CacheUpdateTracker:
    """
    Tracks the last cache update applied from each sidecar.

    Updates arrive with replies, which may be reordered and may repeat known updates.
    """

    def __init__(self) -> None:
        self._progress: dict[str, _Progress] = {}

    def last_serial(self, endpoint: str) -> int:
        """Return the serial of the last update that was applied from an endpoint."""
        progress = self._progress.get(endpoint)
        return progress.serial if progress else 0

    def apply(
        self, endpoint: str, incarnation: int, update: CacheUpdate
    ) -> CacheEvent | None:
        """
        Return the policy's event for an update, or ``None`` if it brings nothing new.

        After a reset, and for another incarnation of the sidecar, the event's serial
        skips a number. The policy discards its knowledge of an endpoint's cache when it
        sees such a gap.
        """
        progress = self._progress.get(endpoint)
        if progress is None or progress.incarnation != incarnation:
            event_serial = progress.event_serial + 1 if progress else 0
            progress = _Progress(incarnation, event_serial=event_serial)
            self._progress[endpoint] = progress
        if update.serial <= progress.serial:
            return None
        progress.serial = update.serial
        progress.event_serial += 2 if update.reset else 1
        return CacheEvent(progress.event_serial, update.stored, update.removed)
