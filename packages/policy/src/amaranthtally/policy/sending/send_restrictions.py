"""What keeps an entry from sending to endpoints that work: rate limits and backoffs."""

from collections.abc import Mapping
from typing import NamedTuple

from amaranthtally.policy.actions import RefusalReason
from amaranthtally.policy.sending.endpoint_backoffs import EndpointBackoffs
from amaranthtally.policy.sending.endpoint_limits import EndpointLimits

__all__ = ["SendRestrictions", "SendWait"]


class SendWait(NamedTuple):
    """How long a pool takes nothing, in seconds, and the reason to refuse requests."""

    wait_s: float
    reason: RefusalReason


class SendRestrictions:
    """Joins the rate limits of endpoints and the backoffs that they asked for."""

    def __init__(self, limits: EndpointLimits, backoffs: EndpointBackoffs) -> None:
        self._limits = limits
        self._backoffs = backoffs

    def blocked(self, now: float) -> frozenset[str]:
        """Return the endpoints to which nothing may be sent now."""
        return self._limits.blocked(now) | self._backoffs.active(now)

    def note_wanted(self, pool: str) -> None:
        """Note that a request could be sent to any endpoint of a pool."""
        self._limits.note_wanted(pool)

    def requests_wait(self, counts: Mapping[str, int]) -> None:
        """Note how many requests wait to be sent to each pool."""
        self._limits.requests_wait(counts)

    def take(self, now: float, endpoint: str) -> None:
        """Note that a request is sent to an endpoint."""
        self._limits.take(now, endpoint)

    def wait(self, now: float, pool: str) -> SendWait | None:
        """
        Return the wait until the first endpoint of a pool that is held back takes one.

        ``None`` if none is held back.
        """
        permits = self._limits.waits_s(now, pool)
        backoffs = self._backoffs.waits_s(now, pool)
        waits = [
            _longer(permits.get(name, 0.0), backoffs.get(name, 0.0))
            for name in {*permits, *backoffs}
        ]
        return min(waits, key=lambda wait: wait.wait_s, default=None)


def _longer(permit_s: float, backoff_s: float) -> SendWait:
    if backoff_s > permit_s:
        return SendWait(backoff_s, RefusalReason.OVERLOAD)
    return SendWait(permit_s, RefusalReason.RATE_LIMIT)
