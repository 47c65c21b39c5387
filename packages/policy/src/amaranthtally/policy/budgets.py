"""Token buckets: rate limits of accounts, budgets of retries and hedges."""

from amaranthtally.policy.invariants import ensure

__all__ = ["RateLimit", "RatioBudget"]

EPSILON = 1e-9


class RateLimit:
    """A token bucket that fills with time: ``rate`` tokens a second up to ``burst``."""

    __slots__ = ("_at", "_burst", "_rate", "_tokens")

    def __init__(self, now: float, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = max(1.0, burst or rate)
        self._tokens = self._burst
        self._at = now

    def configure(self, rate: float, burst: float) -> None:
        """Use other limits from now on; tokens held stay within the burst."""
        self._rate = rate
        self._burst = max(1.0, burst or rate)
        self._tokens = min(self._tokens, self._burst)

    def wait_s(self, now: float) -> float:
        """Return the seconds until a token is there; 0 when one is there now."""
        elapsed = max(0.0, now - self._at)
        self._at = max(self._at, now)
        self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
        return max(0.0, (1.0 - self._tokens - EPSILON) / self._rate)

    def take(self) -> None:
        """Take a token that ``wait_s`` said is there."""
        self._tokens -= 1.0
        ensure(self._tokens >= -EPSILON * 2, "rate limit overdrawn")


class RatioBudget:
    """
    Tokens earned by first attempts and spent on extra ones.

    Extra attempts stay under ``ratio`` of first ones plus ``reserve``, however
    many fail. When every attempt of a pool fails, retries without such a budget
    multiply the load just when there is the least capacity, and the pool stays
    down after its cause has gone. The reserve covers the failures that pass
    before an endpoint is ejected.
    """

    __slots__ = ("_ratio", "_reserve", "_tokens")

    def __init__(self, ratio: float, reserve: float) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve

    @property
    def tokens(self) -> float:
        """Tokens left."""
        return self._tokens

    def configure(self, ratio: float, reserve: float) -> None:
        """Earn at another ratio from now on; tokens held stay within the reserve."""
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = min(self._tokens, reserve)

    def earn(self) -> None:
        """Note a first attempt."""
        self._tokens = min(self._reserve, self._tokens + self._ratio)

    def take(self, cost: float = 1.0) -> bool:
        """Spend tokens; false, and nothing spent, when there are too few."""
        if self._ratio <= 0 or self._tokens < cost:
            return False
        self._tokens -= cost
        ensure(self._tokens >= 0, "attempt budget overdrawn")
        return True
