"""Fading regressions: by how much one learned quantity changes with another."""

__all__ = ["DecayingRegression"]

WEIGHT = 0.005


class DecayingRegression:
    """
    A regression of ``y`` on ``x`` in which old samples fade.

    A prior slope counts as much as samples whose variance of ``x`` is
    ``prior_variance``: with little known, noise would otherwise pass for a slope.
    """

    __slots__ = ("_both", "_prior_variance", "_samples", "_variance", "_x", "_y")

    def __init__(self, prior_variance: float) -> None:
        self._prior_variance = prior_variance
        self._samples = 0
        self._x = 0.0
        self._y = 0.0
        self._variance = 0.0
        self._both = 0.0

    @property
    def mean_x(self) -> float:
        """Mean of ``x``."""
        return self._x

    def slope(self, prior: float) -> float:
        """Return the slope, drawn towards a prior; never below 0."""
        both = self._both + prior * self._prior_variance
        return max(0.0, both / (self._variance + self._prior_variance))

    def add(self, x: float, y: float) -> None:
        """Learn from a sample."""
        self._samples += 1
        weight = max(WEIGHT, 1.0 / self._samples)
        x_off = x - self._x
        y_off = y - self._y
        self._x += weight * x_off
        self._y += weight * y_off
        keep = 1.0 - weight
        self._variance = keep * (self._variance + weight * x_off * x_off)
        self._both = keep * (self._both + weight * x_off * y_off)
