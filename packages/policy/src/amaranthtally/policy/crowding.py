"""How much longer a call runs for each call beside it, as learned."""

__all__ = ["Crowding"]

WEIGHT = 0.02
LEAST_VARIANCE = 0.05


class Crowding:
    """
    A fading regression of run time on the calls that run beside.

    An engine batches: each call beside makes a run longer, so that an endpoint
    with a free slot is not as good as an idle one. A service whose slots do not
    disturb each other shows a slope near 0.
    """

    __slots__ = ("_beside", "_both", "_run_s", "_variance")

    def __init__(self) -> None:
        self._beside = 0.0
        self._run_s = 0.0
        self._variance = 0.0
        self._both = 0.0

    @property
    def slope_s(self) -> float:
        """Seconds that a run is longer for each call beside it; never below 0."""
        if self._variance < LEAST_VARIANCE:
            return 0.0
        return max(0.0, self._both / self._variance)

    def add(self, beside: float, run_s: float) -> None:
        """Learn from a run."""
        beside_off = beside - self._beside
        run_off = run_s - self._run_s
        self._beside += WEIGHT * beside_off
        self._run_s += WEIGHT * run_off
        keep = 1.0 - WEIGHT
        self._variance = keep * (self._variance + WEIGHT * beside_off * beside_off)
        self._both = keep * (self._both + WEIGHT * beside_off * run_off)

    def excess_s(self, beside: float) -> float:
        """Return how much longer than the mean a run beside so many calls takes."""
        return self.slope_s * (beside - self._beside)
