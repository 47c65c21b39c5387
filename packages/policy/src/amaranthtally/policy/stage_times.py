"""What a stage is learned to take, and how one deadline is split by it."""

from collections.abc import Sequence
from math import sqrt

from amaranthtally.policy.model import Stage
from amaranthtally.policy.quantiles import TimeSketch
from amaranthtally.policy.regression import DecayingRegression

__all__ = ["StageStats", "StageTimes"]

DEFAULT_RUN_S = 0.05
ENOUGH_SAMPLES = 20.0
TYPICAL = 0.5
LIKELY = 0.9
LATE = 0.95
SLOW = 0.99
FLOOR = 0.05
SHARES = (FLOOR, TYPICAL, LIKELY, LATE, SLOW)
BYTES_WEIGHT = 0.05
DEFAULT_OUTPUT_BYTES = 1000.0
MEMO_SAMPLES = 8
LEAST_OF_MEAN = 0.3
# A run within the clock's resolution is told as 0 s; predictions divide by it.
LEAST_S = 1e-4
MOST_FADE = 0.998
CROWDING_PRIOR_VARIANCE = 1.0
PRIOR_CROWDING = 0.03
SAVING_PRIOR_VARIANCE = 0.1
PRIOR_SAVING = 0.1
MOST_SAVING = 0.8


class StageStats:
    """
    Run times and output sizes of one stage and model, as learned.

    Quantiles are kept for ``MEMO_SAMPLES`` samples: reading one costs a walk over
    the buckets, which each decision would otherwise pay several times. The mean and
    the slope are worked out once a sample, not once a candidate.
    """

    __slots__ = (
        "_crowding",
        "_floor",
        "_fresh",
        "_has_runs",
        "_hint_s",
        "_late",
        "_likely",
        "_mean_beside",
        "_mean_s",
        "_most_beside",
        "_output_bytes",
        "_pace",
        "_pace_s",
        "_run",
        "_saving",
        "_slope_s",
        "_slow",
        "_typical",
        "_until_pace",
    )

    def __init__(self) -> None:
        self._run = TimeSketch()
        self._pace = TimeSketch()
        self._pace_s = 0.0
        self._until_pace = int(ENOUGH_SAMPLES)
        self._crowding = DecayingRegression(CROWDING_PRIOR_VARIANCE)
        self._saving = DecayingRegression(SAVING_PRIOR_VARIANCE)
        self._has_runs = False
        self._mean_beside = 0.0
        self._most_beside = 0.0
        self._hint_s = DEFAULT_RUN_S
        self._mean_s = DEFAULT_RUN_S
        self._slope_s = PRIOR_CROWDING * DEFAULT_RUN_S
        self._output_bytes = DEFAULT_OUTPUT_BYTES
        self._fresh = 0
        self._typical = 0.0
        self._likely = 0.0
        self._late = 0.0
        self._slow = 0.0
        self._floor = 0.0

    @property
    def known(self) -> bool:
        """Whether enough samples are in to judge by."""
        return self._run.count >= ENOUGH_SAMPLES

    @property
    def mean_s(self) -> float:
        """Mean run time in seconds; never 0."""
        return self._mean_s

    @property
    def median_s(self) -> float:
        """Median run time in seconds."""
        if self._fresh <= 0:
            self._refresh()
        return self._typical

    @property
    def p90_s(self) -> float:
        """Run time in seconds that one run in ten exceeds."""
        if self._fresh <= 0:
            self._refresh()
        return self._likely

    @property
    def p95_s(self) -> float:
        """Run time in seconds that one run in twenty exceeds."""
        if self._fresh <= 0:
            self._refresh()
        return self._late

    @property
    def p99_s(self) -> float:
        """Run time in seconds that one run in a hundred exceeds."""
        if self._fresh <= 0:
            self._refresh()
        return self._slow

    @property
    def floor_s(self) -> float:
        """Run time in seconds that few runs stay under; 0 until known."""
        if self._fresh <= 0:
            self._refresh()
        return self._floor

    @property
    def output_bytes(self) -> float:
        """Smoothed size of the output."""
        return self._output_bytes

    def hint(self, seconds: float) -> None:
        """Use an endpoint's own word until samples are in."""
        if seconds > 0:
            self._hint_s = seconds
            self._note_mean()

    def add(
        self, run_s: float, output_bytes: int, beside: float, cached: float = 0.0
    ) -> None:
        """
        Learn from a run that had so many calls beside it.

        ``cached`` is the share of its prefix that its endpoint was taken to hold.
        """
        self._saving.add(cached, 1.0 - run_s / self.loaded_mean_s(beside))
        self._run.add(run_s)
        self._crowding.add(beside, run_s)
        self._note_mean()
        self._most_beside = max(beside, self._most_beside * MOST_FADE)
        self._output_bytes += BYTES_WEIGHT * (output_bytes - self._output_bytes)
        self._fresh -= 1

    @property
    def peak_mean_s(self) -> float:
        """Mean run time in seconds beside the most calls seen lately."""
        return self.loaded_mean_s(self._most_beside)

    def loaded_mean_s(self, beside: float) -> float:
        """Return the mean run time beside so many other calls, in seconds."""
        mean = self._mean_s
        beside_s = mean + self._slope_s * (beside - self._mean_beside)
        least = mean * LEAST_OF_MEAN
        return beside_s if beside_s > least else least

    def add_chunk_time(self, chunk_s: float, beside: float) -> None:
        """Learn from the seconds that a chunk took beside so many other calls."""
        self._pace.add(chunk_s * self._mean_s / self.loaded_mean_s(beside))
        self._until_pace -= 1
        if self._until_pace <= 0:
            self._until_pace = MEMO_SAMPLES
            self._pace_s = self._pace.quantile(TYPICAL)

    def chunk_time_s(self, beside: float) -> float:
        """Return the median time of a chunk, in seconds; 0 until known."""
        return self._pace_s * self.loaded_mean_s(beside) / self._mean_s

    def added_delay_s(self, beside: float) -> float:
        """Return by how much one more call lengthens those beside it, in seconds."""
        return self._slope_s * beside

    def cached_factor(self, cached: float) -> float:
        """Return what a run is multiplied by where a share of its prefix is cached."""
        return 1.0 - min(MOST_SAVING, self._saving.slope(PRIOR_SAVING)) * cached

    def tail(self, seconds: float) -> float:
        """Return the probability that a run takes longer."""
        if self._has_runs:
            return self._run.tail(seconds)
        return 1.0 if seconds < self._hint_s else 0.0

    def _note_mean(self) -> None:
        """
        Work out the mean, and by how many seconds a call beside a run lengthens it.

        An engine batches: one with a free slot is not as good as an idle one.
        The prior has equal endpoints chosen by who has fewer calls.
        """
        self._has_runs = self._run.count > 0
        self._mean_s = max(LEAST_S, self._run.mean) if self._has_runs else self._hint_s
        self._mean_beside = self._crowding.mean_x
        self._slope_s = self._crowding.slope(PRIOR_CROWDING * self._mean_s)

    def _refresh(self) -> None:
        self._fresh = MEMO_SAMPLES
        if not self._run.count:
            self._typical = self._likely = self._hint_s
            self._late = self._slow = self._hint_s
            self._fresh = 0
            return
        floor, typical, likely, late, slow = self._run.quantiles(SHARES)
        self._typical = typical
        self._likely = max(typical, likely)
        self._late = late
        self._slow = max(typical, slow)
        self._floor = floor if self.known else 0.0


class StageTimes:
    """Statistics of every stage and model in use, and the split of a deadline."""

    def __init__(self) -> None:
        self._stats: dict[tuple[str, str, str], StageStats] = {}

    def of(self, stage: Stage) -> StageStats:
        """Return the statistics of a stage; new ones when it was never seen."""
        found = self._stats.get(stage.key)
        if found is None:
            found = self._stats[stage.key] = StageStats()
        return found

    def needed_s(self, stages: Sequence[Stage]) -> float:
        """
        Return the time in which nearly all requests pass idle stages, in seconds.

        Medians are added; the spreads to the 90th percentile are added as roots
        of squares, since stages are rarely slow together. With the 99th, one
        slow endpoint in ten would have every request refused.
        """
        spread = 0.0
        total = 0.0
        for stage in stages:
            stats = self.of(stage)
            total += stats.median_s
            spread += (stats.p90_s - stats.median_s) ** 2
        return total + sqrt(spread)

    def median_s(self, stages: Sequence[Stage]) -> float:
        """Return the sum of the median run times, in seconds."""
        total = 0.0
        for stage in stages:
            total += self.of(stage).median_s
        return total

    def floor_s(self, stages: Sequence[Stage]) -> float:
        """Return a time that the stages hardly ever stay under, in seconds."""
        total = 0.0
        for stage in stages:
            total += self.of(stage).floor_s
        return total

    def slowest(self, stages: Sequence[Stage]) -> Stage:
        """Return the stage whose slow runs take longest."""
        return max(stages, key=lambda stage: self.of(stage).p99_s)

    def latest_finish(self, deadline: float, later: Sequence[Stage]) -> float:
        """Return when a stage must end for the ``later`` ones to be typical."""
        return deadline - self.median_s(later)

    def share_end(self, now: float, deadline: float, stages: Sequence[Stage]) -> float:
        """
        Return the end of the first stage's share of what is left of a deadline.

        Slack is split in proportion to the slow quantiles, so that a stage that
        varies much gets more of it.
        """
        first = self.of(stages[0]).p99_s
        total = first
        for stage in stages[1:]:
            total += self.of(stage).p99_s
        left = max(0.0, deadline - now)
        return now + left * first / max(total, 1e-9)
