"""Adaptive limit on the number of concurrent calls at an endpoint."""

__all__ = ["AdaptiveLimit"]

DECREASE_FACTOR = 0.7
INCREASE_STEP = 0.5


class AdaptiveLimit:
    """
    Concurrency limit with additive increase and multiplicative decrease.

    The limit is multiplied by ``DECREASE_FACTOR`` when calls fail, grows by
    ``INCREASE_STEP`` for each call that finishes, and never exceeds the configured
    limit. Run times are no signal: an engine that batches calls takes longer for
    each one as more run, yet finishes more of them in total. Failures that occur
    together are a single sign of overload, so the limit is not reduced again until
    a call fails that was started after the last reduction.
    """

    __slots__ = ("_limit", "_max_limit", "_reduced_at")

    def __init__(self, max_limit: int) -> None:
        self._max_limit = float(max_limit)
        self._limit = float(max_limit)
        self._reduced_at = float("-inf")

    @property
    def limit(self) -> int:
        """Number of calls that may run concurrently; at least 1."""
        return max(1, int(self._limit))

    def finished(self) -> None:
        """Raise the limit after a successful call."""
        self._limit = min(self._max_limit, self._limit + INCREASE_STEP)

    def failed(self, now: float, run_s: float) -> None:
        """Reduce the limit after a call that failed after ``run_s`` seconds."""
        if now - run_s < self._reduced_at:
            return
        self._reduced_at = now
        self._limit = max(1.0, self._limit * DECREASE_FACTOR)
