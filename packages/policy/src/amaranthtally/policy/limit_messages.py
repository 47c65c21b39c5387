"""What entries tell each other of the rate limits of endpoints, and of permits."""

from math import inf
from typing import NamedTuple

__all__ = [
    "MIN_RATE",
    "MIN_RETRY_S",
    "PermitAnswer",
    "PermitAsk",
    "RateLimitNotice",
    "interval_s",
]

# Share of a limit that is used. The rest covers what is under way and requests that are
# delayed on the network.
USED_SHARE = 0.9
# Least rate that is used, in requests a second: without any request, an endpoint could
# not show that its limit has ended.
MIN_RATE = 0.1
# Least time after which an entry asks again if it got no permit, in seconds.
MIN_RETRY_S = 0.1


class RateLimitNotice(NamedTuple):
    """
    A limit that an endpoint named: requests a second from all entries together.

    ``rate`` is ``None`` if the endpoint names no limit any more. ``serial`` counts the
    changes that entries have seen; ``incarnation`` is that of the endpoint.
    """

    endpoint: str
    incarnation: int
    serial: int
    rate: float | None

    @property
    def rank(self) -> tuple[int, int, float]:
        """
        The order of notices of one endpoint; the one with the highest rank holds.

        Of two entries that number different changes alike, the stricter one is right:
        the next response shows whether the endpoint still names it.
        """
        return (
            self.incarnation,
            self.serial,
            -inf if self.rate is None else -self.rate,
        )


class PermitAsk(NamedTuple):
    """A request for permits of an endpoint with this limit, in requests a second."""

    endpoint: str
    rate: float
    wanted: int


class PermitAnswer(NamedTuple):
    """
    Permits of an endpoint, each by the seconds until it becomes valid.

    Without permits, the entry asks again after ``retry_after_s``.
    """

    endpoint: str
    delays_s: tuple[float, ...] = ()
    retry_after_s: float = MIN_RETRY_S


def interval_s(rate: float) -> float:
    """Return the seconds between requests to an endpoint with a rate limit."""
    return 1.0 / (USED_SHARE * max(MIN_RATE, rate))
