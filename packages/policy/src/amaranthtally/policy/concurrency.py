"""How many calls may run at an endpoint at once, adapted to what it bears."""

__all__ = ["AdaptiveLimit"]

CUT = 0.7
GROWTH = 0.5


class AdaptiveLimit:
    """
    A limit that is cut when calls fail and grows back as they finish.

    The configured limit is the most. Run times say little: an engine that
    batches runs each call longer as more run, and yet finishes more of them.
    Failures that come together are one sign of overload, so a cut waits for the
    calls that were running at the last one.
    """

    __slots__ = ("_cut_at", "_limit", "_most")

    def __init__(self, most: int) -> None:
        self._most = float(most)
        self._limit = float(most)
        self._cut_at = float("-inf")

    @property
    def limit(self) -> int:
        """Calls that may run at once; at least 1."""
        return max(1, int(self._limit))

    def finished(self) -> None:
        """Note a call that finished."""
        self._limit = min(self._most, self._limit + GROWTH)

    def failed(self, now: float, run_s: float) -> None:
        """Note a call that failed after ``run_s`` seconds."""
        if now - run_s < self._cut_at:
            return
        self._cut_at = now
        self._limit = max(1.0, self._limit * CUT)
