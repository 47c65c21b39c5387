"""The progress of one streamed attempt, measured by its chunks."""

from dataclasses import dataclass

__all__ = ["StreamProgress"]

# Weight of a new sample in the smoothed time between chunks.
SMOOTHING = 0.5


@dataclass(slots=True)
class StreamProgress:
    """
    The chunks of one attempt; times in seconds.

    ``chunks`` counts from the start of the answer, also if the attempt resumed a
    stream. ``last_chunk_at`` is 0 until the attempt's first chunk. ``chunk_time_s`` is
    the smoothed time between chunks, 0 until the second.
    """

    chunks: int = 0
    last_chunk_at: float = 0.0
    chunk_time_s: float = 0.0

    def add_chunks(self, now: float, chunks: int) -> float:
        """
        Record that the stream has reached ``chunks`` chunks.

        Returns the seconds that each new chunk took; 0 if there is none, or for the
        first.
        """
        new_chunks = chunks - self.chunks
        if new_chunks <= 0:
            return 0.0
        # The time to the first chunk includes the wait in the queue and the prefill.
        interval_s = (
            (now - self.last_chunk_at) / new_chunks if self.last_chunk_at else 0.0
        )
        self.chunks = chunks
        self.last_chunk_at = now
        if interval_s:
            weight = SMOOTHING if self.chunk_time_s else 1.0
            self.chunk_time_s += weight * (interval_s - self.chunk_time_s)
        return interval_s
