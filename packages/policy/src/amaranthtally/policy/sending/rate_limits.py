"""The rate limits that endpoints name, as known to one entry."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from amaranthtally.policy.limit_messages import RateLimitNotice
from amaranthtally.policy.model import Endpoint

__all__ = ["RateLimitTable"]

# Most endpoints whose limits are held; the oldest notices are dropped first.
MAX_NOTICES = 1024
# How long a notice is held after the endpoint named no limit any more, in seconds. An
# entry that missed it would otherwise pass the older notice on as news.
LIFTED_TTL_S = 60.0


class _Known(NamedTuple):
    notice: RateLimitNotice
    learned_at: float


class RateLimitTable:
    """The newest notice of each endpoint; time stamps in seconds."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}

    def __len__(self) -> int:
        return len(self._known)

    @property
    def notices(self) -> tuple[RateLimitNotice, ...]:
        """All notices, also of limits that are not named any more."""
        return tuple(known.notice for known in self._known.values())

    @property
    def rates(self) -> Mapping[str, float]:
        """The limits in force by endpoint, in requests a second."""
        return {
            name: known.notice.rate
            for name, known in self._known.items()
            if known.notice.rate is not None
        }

    def find(self, endpoint: str) -> RateLimitNotice | None:
        """Return the newest notice of an endpoint, or ``None``."""
        known = self._known.get(endpoint)
        return None if known is None else known.notice

    def response_received(
        self, now: float, endpoint: Endpoint, rate: float | None, sent_at: float
    ) -> RateLimitNotice | None:
        """
        Note what a response names; return the notice if it says anything new.

        A response to a request that was sent before the newest notice arrived may be
        older than that notice, and is ignored.
        """
        known = self._known.get(endpoint.id)
        if known is None and rate is None:
            return None
        serial = 1
        if known is not None:
            if known.notice.incarnation > endpoint.incarnation:
                return None
            if known.notice.incarnation == endpoint.incarnation:
                if known.notice.rate == rate or sent_at <= known.learned_at:
                    return None
                serial = known.notice.serial + 1
        notice = RateLimitNotice(endpoint.id, endpoint.incarnation, serial, rate)
        self._put(now, notice)
        return notice

    def merge(
        self, now: float, notices: Iterable[RateLimitNotice]
    ) -> tuple[RateLimitNotice, ...]:
        """Take notices of other entries; return those that were not known."""
        newer = []
        for notice in notices:
            known = self._known.get(notice.endpoint)
            if known is None or notice.rank > known.notice.rank:
                self._put(now, notice)
                newer.append(notice)
        return tuple(newer)

    def endpoints_changed(self, endpoints: Mapping[str, Endpoint]) -> None:
        """Drop the limits of endpoints that have started again since."""
        for name, known in list(self._known.items()):
            endpoint = endpoints.get(name)
            if endpoint and endpoint.incarnation > known.notice.incarnation:
                del self._known[name]

    def expire(self, now: float) -> None:
        """Drop the notices of limits that ended some time ago."""
        for name, known in list(self._known.items()):
            if known.notice.rate is None and now - known.learned_at >= LIFTED_TTL_S:
                del self._known[name]

    def _put(self, now: float, notice: RateLimitNotice) -> None:
        self._known.pop(notice.endpoint, None)
        self._known[notice.endpoint] = _Known(notice, now)
        if len(self._known) > MAX_NOTICES:
            del self._known[next(iter(self._known))]
