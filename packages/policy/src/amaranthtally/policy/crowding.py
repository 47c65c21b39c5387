"""How much longer a call runs for each call beside it, as learned."""

__all__ = ["Crowding"]

WEIGHT = 0.005
MOST_FADE = 0.998
PRIOR_SHARE = 0.03
PRIOR_VARIANCE = 1.0


class Crowding:
    """
    A fading regression of run time on the calls that run beside.

    An engine batches: each call beside makes a run longer, so that an endpoint
    with a free slot is not as good as an idle one. A service whose slots do not
    disturb each other shows a slope near 0. Until much is known, a small slope is
    taken for granted: with none, equal endpoints would be chosen at random and
    not by who has fewer calls.
    """

    __slots__ = ("_beside", "_both", "_most", "_run_s", "_samples", "_variance")

    def __init__(self) -> None:
        self._samples = 0
        self._most = 0.0
        self._beside = 0.0
        self._run_s = 0.0
        self._variance = 0.0
        self._both = 0.0

    @property
    def most(self) -> float:
        """The most calls beside a run, fading."""
        return self._most

    @property
    def slope_s(self) -> float:
        """Seconds that a run is longer for each call beside it; never below 0."""
        taken = PRIOR_SHARE * self._run_s * PRIOR_VARIANCE
        return max(0.0, (self._both + taken) / (self._variance + PRIOR_VARIANCE))

    def add(self, beside: float, run_s: float) -> None:
        """Learn from a run."""
        self._samples += 1
        self._most = max(beside, self._most * MOST_FADE)
        weight = max(WEIGHT, 1.0 / self._samples)
        beside_off = beside - self._beside
        run_off = run_s - self._run_s
        self._beside += weight * beside_off
        self._run_s += weight * run_off
        keep = 1.0 - weight
        self._variance = keep * (self._variance + weight * beside_off * beside_off)
        self._both = keep * (self._both + weight * beside_off * run_off)

    def excess_s(self, beside: float) -> float:
        """Return how much longer than the mean a run beside so many calls takes."""
        return self.slope_s * (beside - self._beside)
