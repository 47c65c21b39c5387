"""Decides when the first attempt of a request counts as stalled."""

from math import inf

from amaranthtally.policy.quantiles import TimeSketch

__all__ = ["StalledAttempts"]

# Quantile of observed by predicted times after which an attempt counts as stalled. The
# budget of hedges pays for this part of the first attempts that take longer.
STALL_QUANTILE = 0.96
# Attempts that are predicted to take longer than most of their pool count as stalled
# only after this many times as long, so that short ones get the budget first: a hedge
# of a short one costs less, and it has less time left.
LONG_FACTOR = 2.0
# An attempt that is hedged may be cancelled, so that its time is never learned. It
# counts as this many times slower than it was when it was hedged.
HEDGED_FACTOR = 2.0
MEDIAN = 0.5
MIN_SAMPLES = 50.0
MAX_POOLS = 1_024


class _PoolTimes:
    __slots__ = ("predicted", "ratios")

    def __init__(self) -> None:
        # Ratios of about 1 are well within the range of times of the sketch.
        self.ratios = TimeSketch()
        self.predicted = TimeSketch()


class StalledAttempts:
    """The times to the first event or answer by pool, relative to those predicted."""

    def __init__(self) -> None:
        self._pools: dict[str, _PoolTimes] = {}

    def note(self, pool: str, took_s: float, predicted_s: float) -> None:
        """Note an attempt that answered after a time, in seconds."""
        if predicted_s <= 0:
            return
        times = self._pools.get(pool)
        if times is None:
            if len(self._pools) >= MAX_POOLS:
                del self._pools[next(iter(self._pools))]
            times = self._pools[pool] = _PoolTimes()
        times.ratios.add(max(0.0, took_s) / predicted_s)
        times.predicted.add(predicted_s)

    def note_hedged(self, pool: str, took_s: float, predicted_s: float) -> None:
        """Note an attempt that is hedged after it had not answered for a time."""
        self.note(pool, HEDGED_FACTOR * took_s, predicted_s)

    def stalled_after_s(self, pool: str, predicted_s: float) -> float:
        """Return after how many seconds an attempt is stalled; infinity if unknown."""
        times = self._pools.get(pool)
        if times is None or predicted_s <= 0 or times.ratios.count < MIN_SAMPLES:
            return inf
        after_s = predicted_s * times.ratios.quantile(STALL_QUANTILE)
        is_long = predicted_s > times.predicted.quantile(MEDIAN)
        return LONG_FACTOR * after_s if is_long else after_s
