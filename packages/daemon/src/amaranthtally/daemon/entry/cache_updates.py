"""Takes sidecars' news of their engines' prefix caches, for the policy."""

from dataclasses import dataclass

from amaranthtally.policy import CacheEvent
from amaranthtally.wire import CacheUpdate

__all__ = ["CacheUpdateTracker"]


@dataclass(slots=True)
class _Heard:
    """``serial`` is the sidecar's, ``events`` counts those given to the policy."""

    incarnation: int
    serial: int = 0
    events: int = 0


class CacheUpdateTracker:
    """
    How far each sidecar's news has been heard.

    News comes with replies, which overtake each other and repeat what is known.
    """

    def __init__(self) -> None:
        self._heard: dict[str, _Heard] = {}

    def last_serial(self, endpoint: str) -> int:
        """Return the serial up to which an endpoint's news is known here."""
        heard = self._heard.get(endpoint)
        return heard.serial if heard else 0

    def apply(
        self, endpoint: str, incarnation: int, news: CacheUpdate
    ) -> CacheEvent | None:
        """
        Return the event that news means to the policy, or ``None``.

        A gap in the event's serials has the policy drop what it believed of an
        endpoint: after a reset, and when another incarnation of the sidecar speaks.
        """
        heard = self._heard.get(endpoint)
        if heard is None or heard.incarnation != incarnation:
            events = heard.events + 1 if heard else 0
            heard = _Heard(incarnation, events=events)
            self._heard[endpoint] = heard
        if news.serial <= heard.serial:
            return None
        heard.serial = news.serial
        heard.events += 2 if news.reset else 1
        return CacheEvent(heard.events, news.stored, news.removed)
