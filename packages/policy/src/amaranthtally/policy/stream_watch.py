"""Predicts from the times between chunks which streams will end late."""

from amaranthtally.policy.loads import LoadTable
from amaranthtally.policy.model import Stage
from amaranthtally.policy.requests import LiveAttempt, Request
from amaranthtally.policy.scoring import Choice
from amaranthtally.policy.stage_times import StageStats, StageTimes
from amaranthtally.policy.streams import StreamProgress

__all__ = ["STUCK_FACTOR", "StreamMonitor"]

# Multiple of the usual time between chunks after which the next chunk is overdue.
OVERDUE_FACTOR = 2.0
# Multiple of the 99th percentile of run times after which an attempt counts as stuck.
STUCK_FACTOR = 2.0


class StreamMonitor:
    """
    Records the times between chunks, and predicts which streams will end late.

    The time of a whole run depends on the length of the answer as much as on the speed
    of the endpoint, and is known last at slow endpoints. The time between chunks does
    not depend on the length and can be measured during the run.
    """

    def __init__(self, times: StageTimes, loads: LoadTable) -> None:
        self._times = times
        self._loads = loads

    def add_chunks(
        self,
        now: float,
        stage: Stage,
        endpoint: str,
        stream: StreamProgress,
        chunks: int,
    ) -> None:
        """Record new chunks of a stream, for its endpoint and its stage."""
        interval_s = stream.add_chunks(now, chunks)
        load = self._loads.find(endpoint)
        if interval_s <= 0 or load is None:
            return
        stats = self._times.stats_for(stage)
        concurrent = load.concurrent(max(0.0, load.occupancy(now) - 1.0))
        usual_s = stats.chunk_time_s(concurrent)
        if usual_s > 0:
            load.note_chunk_time(now, interval_s / usual_s)
        stats.add_chunk_time(interval_s, concurrent)

    def add_overdue(self, now: float, attempt: LiveAttempt, stats: StageStats) -> None:
        """
        Record the time since the last chunk for the endpoint, if the next is overdue.

        An endpoint that has become slow sends its second chunk only seconds after its
        first request has arrived; until then many more requests would be sent there.
        """
        load = self._loads.find(attempt.endpoint)
        usual_s = stats.chunk_time_s(attempt.concurrent)
        last_chunk_at = attempt.stream.last_chunk_at
        # Without a first chunk, the attempt may be waiting in a queue that was not
        # predicted, which says nothing about the endpoint's speed.
        if load is None or usual_s <= 0 or not last_chunk_at:
            return
        ratio = (now - last_chunk_at) / usual_s
        if ratio >= OVERDUE_FACTOR:
            load.note_chunk_time(now, ratio)

    def late_probability(
        self, now: float, attempt: LiveAttempt, end: float, stats: StageStats
    ) -> float:
        """
        Return the probability that a streamed attempt ends after ``end``.

        The work done and the work that the endpoint can do in the time left are
        measured by the time that an endpoint of usual speed takes for them. An attempt
        without a chunk is assumed to begin now, since most of these wait in a queue and
        are about to begin. If it has been silent for longer than nearly all whole runs
        take, its engine is assumed to hang: the sidecar would report that only after
        half of the deadline.
        """
        usual_s = stats.chunk_time_s(attempt.concurrent)
        stream = attempt.stream
        done_s = stream.chunks * usual_s
        left_s = end - now
        if not stream.last_chunk_at:
            silent_s = now - attempt.sent_at - attempt.wait_s
            if stats.has_enough_samples and silent_s > STUCK_FACTOR * stats.p99_s:
                return 1.0
            return _tail_after(stats, done_s, left_s)
        since_chunk_s = now - stream.last_chunk_at
        slowness = max(
            1.0, stream.chunk_time_s / usual_s, since_chunk_s / usual_s - 1.0
        )
        done_s += min(usual_s, since_chunk_s / slowness)
        return _tail_after(stats, done_s, left_s / slowness)

    def resumed_late_probability(
        self, now: float, request: Request, choice: Choice, end: float
    ) -> float:
        """Return the probability that a stream ends after ``end`` if resumed there."""
        stats = self._times.stats_for(request.current_stage)
        done_s = request.chunks * stats.chunk_time_s(choice.concurrent)
        slowness = choice.run_s / stats.mean_s
        left_s = (end - now - choice.delay_s) / slowness
        load = self._loads.find(choice.endpoint.id)
        failure_rate = load.failure_rate(now) if load is not None else 0.0
        return 1.0 - (1.0 - _tail_after(stats, done_s, left_s)) * (1.0 - failure_rate)


def _tail_after(stats: StageStats, done_s: float, left_s: float) -> float:
    """Return the probability that a run that took ``done_s`` takes ``left_s`` more."""
    if left_s <= 0:
        return 1.0
    reached = stats.tail(done_s)
    return stats.tail(done_s + left_s) / reached if reached else 0.0
