"""Learns how fast the reported figures of a pool change."""

__all__ = ["HalfLife"]

# Upper bounds of the times between two reports that are told apart, in seconds. The
# shortest is the interval of exchanges: figures are never known sooner.
LAGS_S = (0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)
# Half-life before enough reports were compared, in seconds: what an entry hears of an
# endpoint was observed to be outdated within about this time.
DEFAULT_S = 0.5
MAX_S = LAGS_S[-1]
# Number of differences after which their mean is relied on, and the least weight of the
# newest one: a mean follows a change of the workload within about 50 reports.
MIN_SAMPLES = 8
LEAST_WEIGHT = 0.02
# Mean square of differences below which figures count as constant.
NOISE = 1e-4
# Number of new differences after which the half-life is computed again.
REFRESH_SAMPLES = 16


class HalfLife:
    """
    The time after which half of what a figure showed is outdated.

    Successive reports differ little if they follow each other closely, and as much as
    any two reports if they are far apart. The half-life is the time at which the mean
    square of their differences reaches half of that.
    """

    __slots__ = ("_counts", "_half_life_s", "_squares", "_until_refresh")

    def __init__(self) -> None:
        self._counts = [0] * len(LAGS_S)
        self._squares = [0.0] * len(LAGS_S)
        self._until_refresh = REFRESH_SAMPLES
        self._half_life_s = DEFAULT_S

    @property
    def seconds(self) -> float:
        """The half-life, in seconds."""
        return self._half_life_s

    def weight(self, age_s: float) -> float:
        """Return the weight, from 1 down to 0, of a figure of this age in seconds."""
        return 0.5 ** (age_s / self._half_life_s) if age_s > 0.0 else 1.0

    def add(self, lag_s: float, difference: float) -> None:
        """Add the difference between two reports that are ``lag_s`` seconds apart."""
        index = next((i for i, lag in enumerate(LAGS_S) if lag_s <= lag), None)
        if index is None:
            return
        self._counts[index] += 1
        weight = max(LEAST_WEIGHT, 1.0 / self._counts[index])
        current = self._squares[index]
        self._squares[index] = current + weight * (difference * difference - current)
        self._until_refresh -= 1
        if self._until_refresh <= 0:
            self._until_refresh = REFRESH_SAMPLES
            self._half_life_s = self._compute()

    def _compute(self) -> float:
        known = [
            (lag_s, square)
            for lag_s, square, count in zip(
                LAGS_S, self._squares, self._counts, strict=True
            )
            if count >= MIN_SAMPLES
        ]
        highest = max((square for _, square in known), default=0.0)
        if known and highest < NOISE:
            return MAX_S
        # Reports that are all equally far apart do not show how far they may differ.
        if len(known) < 2:
            return DEFAULT_S
        return next(lag_s for lag_s, square in known if square >= highest / 2)
