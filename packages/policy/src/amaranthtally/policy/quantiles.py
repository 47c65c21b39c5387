"""A small histogram of times in which the weight of old samples decays."""

from array import array
from collections.abc import Sequence
from math import log

__all__ = ["TimeSketch"]

MIN_TIME_S = 0.0005
BUCKET_RATIO = 1.15
BUCKETS = 90
HALVE_AT = 600.0

_LOG_RATIO = log(BUCKET_RATIO)
_UPPER = [MIN_TIME_S * BUCKET_RATIO**i for i in range(BUCKETS)]
_LOWER = [upper / BUCKET_RATIO for upper in _UPPER]
_WIDTH = [upper - lower for upper, lower in zip(_UPPER, _LOWER, strict=True)]


class TimeSketch:
    """
    Counts of times in geometric buckets from 0.5 ms to 126 s.

    The error of a quantile is at most 15%. Counts are halved whenever their total
    reaches ``HALVE_AT``, so that the sketch follows a stage that becomes slow. An
    instance takes about 500 bytes; hdrhistogram needs tens of kilobytes for this range.

    The candidates of one routing decision ask for tails that fall into few buckets, so
    the count above a bucket is cached until the next sample.
    """

    __slots__ = ("_above", "_counts", "_mean", "_total")

    def __init__(self) -> None:
        self._above: dict[int, float] = {}
        self._counts = array("f", bytes(4 * BUCKETS))
        self._total = 0.0
        self._mean = 0.0

    @property
    def count(self) -> float:
        """Number of samples, after decay."""
        return self._total

    @property
    def mean(self) -> float:
        """Mean of the samples in seconds; 0 without samples."""
        return self._mean

    def add(self, seconds: float) -> None:
        """Add a sample."""
        self._above.clear()
        self._counts[_bucket(seconds)] += 1.0
        self._total += 1.0
        self._mean += (seconds - self._mean) / min(self._total, HALVE_AT / 2)
        if self._total >= HALVE_AT:
            self._halve()

    def quantile(self, share: float) -> float:
        """Return the time that ``share`` of the samples do not exceed; 0 when empty."""
        return self.quantiles((share,))[0]

    def quantiles(self, shares: Sequence[float]) -> list[float]:
        """Return the quantiles of ascending shares, in one pass over the buckets."""
        if self._total == 0:
            return [0.0] * len(shares)
        times: list[float] = []
        below = 0.0
        for index, count in enumerate(self._counts):
            if not count:
                continue
            through = below + count
            while through >= shares[len(times)] * self._total:
                inside = shares[len(times)] * self._total - below
                times.append(_LOWER[index] + _WIDTH[index] * inside / count)
                if len(times) == len(shares):
                    return times
            below = through
        return times + [_UPPER[-1]] * (len(shares) - len(times))

    def tail(self, seconds: float) -> float:
        """Return the share of samples above a time; 0 when empty."""
        if self._total == 0:
            return 0.0
        if seconds <= 0:
            return 1.0
        index = _bucket(seconds)
        above = self._above.get(index)
        if above is None:
            above = self._above[index] = sum(self._counts[index + 1 :])
        inside = (_UPPER[index] - seconds) / _WIDTH[index]
        if inside > 0.0:
            above += self._counts[index] * min(1.0, inside)
        return min(1.0, above / self._total)

    def _halve(self) -> None:
        self._counts = array("f", [count / 2 for count in self._counts])
        self._total = sum(self._counts)


def _bucket(seconds: float) -> int:
    if seconds <= MIN_TIME_S:
        return 0
    return min(BUCKETS - 1, int(log(seconds / MIN_TIME_S) / _LOG_RATIO) + 1)
