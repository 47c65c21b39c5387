"""Learns how long engines take until the first event of a stream."""

__all__ = ["FirstEventTimes"]

# Time to the first event in seconds, until one has been observed.
DEFAULT_S = 0.25
# Weight of a new sample. The last three dozen samples make up most of the mean.
WEIGHT = 0.05
# Longer times count as this many seconds: how long an engine hangs says nothing about
# the usual time.
LONGEST_S = 3.0
# Maximum number of pipelines; the one not observed for longest is forgotten.
MAX_PIPELINES = 1_024


class FirstEventTimes:
    """Smoothed times from sending an attempt to its first event, by pipeline."""

    def __init__(self) -> None:
        self._means_s: dict[str, float] = {}

    def add(self, pipeline: str, took_s: float) -> None:
        """Add the time to the first event of an attempt."""
        took_s = min(LONGEST_S, max(0.0, took_s))
        mean_s = self._means_s.pop(pipeline, DEFAULT_S)
        self._means_s[pipeline] = mean_s + WEIGHT * (took_s - mean_s)
        if len(self._means_s) > MAX_PIPELINES:
            del self._means_s[next(iter(self._means_s))]

    def mean_s(self, pipeline: str) -> float:
        """Return the smoothed time to a pipeline's first event, in seconds."""
        return self._means_s.get(pipeline, DEFAULT_S)
