"""Linear regression with exponentially decaying samples."""

__all__ = ["DecayingRegression"]

MIN_WEIGHT = 0.005


class DecayingRegression:
    """
    A regression of ``y`` on ``x`` in which the weight of old samples decays.

    A prior slope has the weight of samples whose variance of ``x`` is
    ``prior_variance``: with few samples, noise would otherwise be taken for a slope.
    """

    __slots__ = (
        "_covariance",
        "_mean_x",
        "_mean_y",
        "_prior_variance",
        "_samples",
        "_variance",
    )

    def __init__(self, prior_variance: float) -> None:
        self._prior_variance = prior_variance
        self._samples = 0
        self._mean_x = 0.0
        self._mean_y = 0.0
        self._variance = 0.0
        self._covariance = 0.0

    @property
    def mean_x(self) -> float:
        """Mean of ``x``."""
        return self._mean_x

    def slope(self, prior: float) -> float:
        """Return the slope, shrunk towards a prior slope; never below 0."""
        covariance = self._covariance + prior * self._prior_variance
        return max(0.0, covariance / (self._variance + self._prior_variance))

    def add(self, x: float, y: float) -> None:
        """Add a sample."""
        self._samples += 1
        weight = max(MIN_WEIGHT, 1.0 / self._samples)
        x_deviation = x - self._mean_x
        y_deviation = y - self._mean_y
        self._mean_x += weight * x_deviation
        self._mean_y += weight * y_deviation
        keep = 1.0 - weight
        self._variance = keep * (self._variance + weight * x_deviation * x_deviation)
        self._covariance = keep * (
            self._covariance + weight * x_deviation * y_deviation
        )
