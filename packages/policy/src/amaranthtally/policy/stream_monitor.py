"""Which streams will end late, learned from the chunks that came."""

from amaranthtally.policy.loads import LoadTable
from amaranthtally.policy.model import Stage
from amaranthtally.policy.requests import LiveAttempt, Request
from amaranthtally.policy.scoring import Choice
from amaranthtally.policy.stage_times import StageStats, StageTimes
from amaranthtally.policy.stream_progress import Stream

__all__ = ["STUCK_FACTOR", "StreamMonitor"]

# Times between chunks after which one is overdue.
OVERDUE = 2.0
# Times the slow quantile of whole runs after which an attempt is taken to be stuck.
STUCK_FACTOR = 2.0


class StreamMonitor:
    """
    Learns from chunks, and tells which streams will end late.

    A run that ends says how long its answer was as much as how fast its endpoint
    is, and a slow endpoint's runs end last. The time between chunks does not hang
    on the answer's length and is known while the run goes on.
    """

    def __init__(self, times: StageTimes, loads: LoadTable) -> None:
        self._times = times
        self._loads = loads

    def note(
        self, now: float, stage: Stage, endpoint: str, stream: Stream, chunks: int
    ) -> None:
        """Learn from a chunk how fast its endpoint and the stage are."""
        interval_s = stream.note(now, chunks)
        load = self._loads.find(endpoint)
        if interval_s <= 0 or load is None:
            return
        stats = self._times.of(stage)
        beside = load.concurrent(max(0.0, load.occupancy(now) - 1.0))
        usual_s = stats.chunk_time_s(beside)
        if usual_s > 0:
            load.note_chunk_time(now, interval_s / usual_s)
        stats.add_chunk_time(interval_s, beside)

    def note_quiet(self, now: float, attempt: LiveAttempt, stats: StageStats) -> None:
        """
        Learn from a chunk that is overdue how slow its endpoint is at least.

        A slow endpoint's second chunk comes seconds after the first requests are
        sent there; by then many more would have followed them.
        """
        load = self._loads.find(attempt.endpoint)
        usual_s = stats.chunk_time_s(attempt.beside)
        heard_at = attempt.stream.heard_at
        # Before the first chunk it may as well wait in a queue that nobody knew of.
        if load is None or usual_s <= 0 or not heard_at:
            return
        ratio = (now - heard_at) / usual_s
        if ratio >= OVERDUE:
            load.note_chunk_time(now, ratio)

    def risk(
        self, now: float, attempt: LiveAttempt, end: float, stats: StageStats
    ) -> float:
        """
        Return the probability that a streamed attempt ends after ``end``.

        Counted is in time as an endpoint of usual speed would take it: what is
        done, and what this one can do in the time left. One without a chunk is
        taken to begin now: most of those wait, and soon begin. One that has none
        after longer than nearly any whole run is taken to be stuck: its engine
        stands still, and half of the deadline goes by before its sidecar says so.
        """
        usual_s = stats.chunk_time_s(attempt.beside)
        stream = attempt.stream
        done_s = stream.chunks * usual_s
        left_s = end - now
        if not stream.heard_at:
            silent_s = now - attempt.sent_at - attempt.wait_s
            if stats.has_enough_samples and silent_s > STUCK_FACTOR * stats.p99_s:
                return 1.0
            return _tail_after(stats, done_s, left_s)
        quiet_s = now - stream.heard_at
        slowness = max(1.0, stream.pace_s / usual_s, quiet_s / usual_s - 1.0)
        done_s += min(usual_s, quiet_s / slowness)
        return _tail_after(stats, done_s, left_s / slowness)

    def resumed_risk(
        self, now: float, request: Request, choice: Choice, end: float
    ) -> float:
        """Return the probability that the rest of a stream ends late elsewhere."""
        stats = self._times.of(request.current)
        done_s = request.chunks * stats.chunk_time_s(choice.concurrent)
        slowness = choice.run_s / stats.mean_s
        left_s = (end - now - choice.delay_s) / slowness
        load = self._loads.find(choice.endpoint.id)
        failing = load.failure_rate(now) if load is not None else 0.0
        return 1.0 - (1.0 - _tail_after(stats, done_s, left_s)) * (1.0 - failing)


def _tail_after(stats: StageStats, done_s: float, left_s: float) -> float:
    """Return how likely a run that did so much takes longer than what is left."""
    if left_s <= 0:
        return 1.0
    reached = stats.tail(done_s)
    return stats.tail(done_s + left_s) / reached if reached else 0.0
