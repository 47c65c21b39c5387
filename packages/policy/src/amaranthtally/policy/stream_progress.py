"""How far a streamed attempt is and how fast, from the chunks that came."""

from dataclasses import dataclass

__all__ = ["Stream"]

SMOOTHING = 0.5


@dataclass(slots=True)
class Stream:
    """
    The chunks of one attempt.

    ``chunks`` counts from the start of the answer, also where the attempt resumed
    one; ``heard_at`` is 0 until the attempt's first chunk, and ``pace_s`` is the
    smoothed time between chunks in seconds, 0 until the second.
    """

    chunks: int = 0
    heard_at: float = 0.0
    pace_s: float = 0.0

    def note(self, now: float, chunks: int) -> float:
        """Take a chunk; return the seconds each one took, or 0 for the first."""
        came = chunks - self.chunks
        if came <= 0:
            return 0.0
        # The first one's time holds the wait in the queue and the prefill.
        interval_s = (now - self.heard_at) / came if self.heard_at else 0.0
        self.chunks = chunks
        self.heard_at = now
        if interval_s:
            weight = SMOOTHING if self.pace_s else 1.0
            self.pace_s += weight * (interval_s - self.pace_s)
        return interval_s
