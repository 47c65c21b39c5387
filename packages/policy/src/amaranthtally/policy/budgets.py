"""Token buckets for rate limits of accounts and for budgets of retries and hedges."""

from amaranthtally.policy.invariants import ensure

__all__ = ["RateLimit", "RatioBudget"]

EPSILON = 1e-9


class RateLimit:
    """
    A token bucket that gains ``rate`` tokens a second and holds at most ``burst``.

    A burst of 0 stands for one second's tokens; at least one token always fits.
    """

    __slots__ = ("_at", "_burst", "_rate", "_tokens")

    def __init__(self, now: float, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = max(1.0, burst or rate)
        self._tokens = self._burst
        self._at = now

    def configure(self, rate: float, burst: float) -> None:
        """Change the limits; tokens above the new burst are lost."""
        self._rate = rate
        self._burst = max(1.0, burst or rate)
        self._tokens = min(self._tokens, self._burst)

    def wait_s(self, now: float) -> float:
        """Return the seconds until a token is available, 0 if one is now."""
        elapsed = max(0.0, now - self._at)
        self._at = max(self._at, now)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
        return max(0.0, (1.0 - self._tokens - EPSILON) / self._rate)

    def take(self) -> None:
        """Take a token; ``wait_s`` must have returned 0."""
        self._tokens -= 1.0
        ensure(self._tokens >= -EPSILON * 2, "rate limit overdrawn")


class RatioBudget:
    """
    A token bucket that first attempts fill and extra attempts drain.

    Each first attempt adds ``ratio`` tokens, up to ``reserve``. Extra attempts are thus
    bounded by ``ratio`` times the first ones plus ``reserve``, however many fail.
    Without such a budget, retries multiply the load of a pool whose attempts all fail
    and keep it overloaded after the cause has been removed. The reserve covers the
    failures that occur before a faulty endpoint is ejected.
    """

    __slots__ = ("_ratio", "_reserve", "_tokens")

    def __init__(self, ratio: float, reserve: float) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve

    @property
    def tokens(self) -> float:
        """Tokens available."""
        return self._tokens

    def configure(self, ratio: float, reserve: float) -> None:
        """Change the ratio and reserve; tokens above the new reserve are lost."""
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = min(self._tokens, reserve)

    def earn(self) -> None:
        """Add the tokens of a first attempt."""
        self._tokens = min(self._reserve, self._tokens + self._ratio)

    def take(self, cost: float = 1.0) -> bool:
        """Take ``cost`` tokens; false, with none taken, if there are too few."""
        if self._ratio <= 0 or self._tokens < cost:
            return False
        self._tokens -= cost
        ensure(self._tokens >= 0, "attempt budget overdrawn")
        return True
