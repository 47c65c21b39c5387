"""What engines take to the first event of a stream, as observed."""

__all__ = ["FirstEventTimes"]

# Seconds to a first event until one was observed.
DEFAULT_S = 0.25
# How much the newest sample counts; the last three dozen make up most of the mean.
WEIGHT = 0.05
# Samples beyond this, in seconds, count as this much: an engine that hangs says nothing
# of what engines take.
LONGEST_S = 3.0
# Pipelines whose times are kept; the one not observed for longest is forgotten.
MOST_PIPELINES = 1_024


class FirstEventTimes:
    """Learns times from an attempt's sending to its first event, by pipeline."""

    def __init__(self) -> None:
        self._means_s: dict[str, float] = {}

    def note(self, pipeline: str, took_s: float) -> None:
        """Learn from the first event of an attempt."""
        took_s = min(LONGEST_S, max(0.0, took_s))
        mean_s = self._means_s.pop(pipeline, DEFAULT_S)
        self._means_s[pipeline] = mean_s + WEIGHT * (took_s - mean_s)
        if len(self._means_s) > MOST_PIPELINES:
            del self._means_s[next(iter(self._means_s))]

    def usual_s(self, pipeline: str) -> float:
        """Return the usual time to a pipeline's first event, in seconds."""
        return self._means_s.get(pipeline, DEFAULT_S)
