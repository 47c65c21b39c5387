"""A small sketch of a distribution of times, in which old samples fade."""

from array import array
from collections.abc import Sequence
from math import log

__all__ = ["TimeSketch"]

SMALLEST_S = 0.0005
RATIO = 1.15
BUCKETS = 90
FADE_AT = 600.0

_LOG_RATIO = log(RATIO)
_UPPER = [SMALLEST_S * RATIO**i for i in range(BUCKETS)]
_LOWER = [upper / RATIO for upper in _UPPER]
_WIDTH = [upper - lower for upper, lower in zip(_UPPER, _LOWER, strict=True)]


class TimeSketch:
    """
    Counts of times in geometric buckets from 0.5 ms to 126 s.

    A quantile is off by at most 15%. Counts are halved whenever they reach
    ``FADE_AT``, so that the sketch follows a stage that becomes slow. About 500
    bytes; hdrhistogram needs tens of kilobytes for the same range.

    The candidates of one decision ask for tails in few buckets: the sum above a
    bucket is kept until the next sample.
    """

    __slots__ = ("_above", "_counts", "_mean", "_total")

    def __init__(self) -> None:
        self._above: dict[int, float] = {}
        self._counts = array("f", bytes(4 * BUCKETS))
        self._total = 0.0
        self._mean = 0.0

    @property
    def count(self) -> float:
        """Samples held, faded ones counted in part."""
        return self._total

    @property
    def mean(self) -> float:
        """Mean of the samples in seconds; 0 when there is none."""
        return self._mean

    def add(self, seconds: float) -> None:
        """Count one sample."""
        self._above.clear()
        self._counts[_bucket(seconds)] += 1.0
        self._total += 1.0
        self._mean += (seconds - self._mean) / min(self._total, FADE_AT / 2)
        if self._total >= FADE_AT:
            self._fade()

    def quantile(self, share: float) -> float:
        """Return the time that ``share`` of the samples stay under; 0 when empty."""
        return self.quantiles((share,))[0]

    def quantiles(self, shares: Sequence[float]) -> list[float]:
        """Return the quantiles of rising shares, in one walk over the buckets."""
        if self._total == 0:
            return [0.0] * len(shares)
        found: list[float] = []
        seen = 0.0
        for index, count in enumerate(self._counts):
            if not count:
                continue
            after = seen + count
            while after >= shares[len(found)] * self._total:
                inside = shares[len(found)] * self._total - seen
                found.append(_LOWER[index] + _WIDTH[index] * inside / count)
                if len(found) == len(shares):
                    return found
            seen = after
        return found + [_UPPER[-1]] * (len(shares) - len(found))

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

    def _fade(self) -> None:
        self._counts = array("f", [count / 2 for count in self._counts])
        self._total = sum(self._counts)


def _bucket(seconds: float) -> int:
    if seconds <= SMALLEST_S:
        return 0
    return min(BUCKETS - 1, int(log(seconds / SMALLEST_S) / _LOG_RATIO) + 1)
