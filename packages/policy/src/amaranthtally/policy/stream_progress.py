"""How far a streamed attempt is and how fast, from the chunks that came."""

from dataclasses import dataclass

__all__ = ["StreamProgress"]

SMOOTHING = 0.5


@dataclass(slots=True)
class StreamProgress:
    """
    The chunks of one attempt.

    ``chunks`` counts from the start of the answer, also where the attempt resumed
    one; ``last_chunk_at`` is 0 until the attempt's first chunk, and ``chunk_time_s`` is the
    smoothed time between chunks in seconds, 0 until the second.
    """

    chunks: int = 0
    last_chunk_at: float = 0.0
    chunk_time_s: float = 0.0

    def add_chunks(self, now: float, chunks: int) -> float:
        """Take a chunk; return the seconds each one took, or 0 for the first."""
        came = chunks - self.chunks
        if came <= 0:
            return 0.0
        # The first one's time holds the wait in the queue and the prefill.
        interval_s = (now - self.last_chunk_at) / came if self.last_chunk_at else 0.0
        self.chunks = chunks
        self.last_chunk_at = now
        if interval_s:
            weight = SMOOTHING if self.chunk_time_s else 1.0
            self.chunk_time_s += weight * (interval_s - self.chunk_time_s)
        return interval_s
