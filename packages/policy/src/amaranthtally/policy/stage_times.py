"""Learned run times of stages, and the split of a request's deadline by them."""

from collections.abc import Sequence
from math import sqrt

from amaranthtally.policy.model import Stage
from amaranthtally.policy.quantiles import TimeSketch
from amaranthtally.policy.regression import DecayingRegression

__all__ = ["StageStats", "StageTimes"]

# Predicted run time before any sample or hint, in seconds.
DEFAULT_RUN_S = 0.05
# Samples needed before a stage's quantiles are relied on.
MIN_SAMPLES = 20.0
MEDIAN = 0.5
P90 = 0.9
P95 = 0.95
P99 = 0.99
P05 = 0.05
QUANTILES = (P05, MEDIAN, P90, P95, P99)
# Weight of the newest sample in the smoothed output size.
BYTES_WEIGHT = 0.05
DEFAULT_OUTPUT_BYTES = 1000.0
# Number of samples for which computed quantiles are cached.
CACHED_SAMPLES = 8
# Lower bound of a predicted mean, as a share of the mean over all runs.
MIN_OF_MEAN = 0.3
# Lower bound of the mean run time, in seconds. A run within the clock's resolution is
# reported as 0 s, and predictions divide by the mean.
MIN_MEAN_S = 1e-4
# Factor by which the recorded peak of concurrent calls decays with each sample.
PEAK_DECAY = 0.998
# Prior for how much each concurrent call lengthens a run, as a share of the mean.
CROWDING_PRIOR_VARIANCE = 1.0
PRIOR_CROWDING = 0.03
# Prior and upper bound for the share of a run that a fully cached prefix saves.
SAVING_PRIOR_VARIANCE = 0.1
PRIOR_SAVING = 0.1
MAX_SAVING = 0.8


class StageStats:
    """
    Learned run times and output sizes of one stage and model.

    Quantiles are cached for ``CACHED_SAMPLES`` samples, since computing one iterates
    over the buckets of a sketch and each decision reads several. The mean and the slope
    are computed once for each sample, not for each candidate endpoint.

    ``concurrent`` is the number of other calls running at the same endpoint.
    """

    __slots__ = (
        "_chunk_time_s",
        "_chunk_times",
        "_chunks_until_refresh",
        "_crowding",
        "_has_samples",
        "_hint_s",
        "_mean_concurrency",
        "_mean_s",
        "_median",
        "_output_bytes",
        "_p05",
        "_p90",
        "_p95",
        "_p99",
        "_peak_concurrency",
        "_run_times",
        "_samples_until_refresh",
        "_saving",
        "_slope_s",
    )

    def __init__(self) -> None:
        self._run_times = TimeSketch()
        self._chunk_times = TimeSketch()
        self._chunk_time_s = 0.0
        self._chunks_until_refresh = int(MIN_SAMPLES)
        self._crowding = DecayingRegression(CROWDING_PRIOR_VARIANCE)
        self._saving = DecayingRegression(SAVING_PRIOR_VARIANCE)
        self._has_samples = False
        self._mean_concurrency = 0.0
        self._peak_concurrency = 0.0
        self._hint_s = DEFAULT_RUN_S
        self._mean_s = DEFAULT_RUN_S
        self._slope_s = PRIOR_CROWDING * DEFAULT_RUN_S
        self._output_bytes = DEFAULT_OUTPUT_BYTES
        self._samples_until_refresh = 0
        self._median = 0.0
        self._p90 = 0.0
        self._p95 = 0.0
        self._p99 = 0.0
        self._p05 = 0.0

    @property
    def has_enough_samples(self) -> bool:
        """Whether there are enough samples to rely on the quantiles."""
        return self._run_times.count >= MIN_SAMPLES

    @property
    def mean_s(self) -> float:
        """Mean run time in seconds; never 0."""
        return self._mean_s

    @property
    def median_s(self) -> float:
        """Median run time in seconds."""
        if self._samples_until_refresh <= 0:
            self._refresh()
        return self._median

    @property
    def p90_s(self) -> float:
        """The 90th percentile of run times, in seconds."""
        if self._samples_until_refresh <= 0:
            self._refresh()
        return self._p90

    @property
    def p95_s(self) -> float:
        """The 95th percentile of run times, in seconds."""
        if self._samples_until_refresh <= 0:
            self._refresh()
        return self._p95

    @property
    def p99_s(self) -> float:
        """The 99th percentile of run times, in seconds."""
        if self._samples_until_refresh <= 0:
            self._refresh()
        return self._p99

    @property
    def floor_s(self) -> float:
        """The 5th percentile of run times, in seconds; 0 without enough samples."""
        if self._samples_until_refresh <= 0:
            self._refresh()
        return self._p05

    @property
    def output_bytes(self) -> float:
        """Smoothed size of the output, in bytes."""
        return self._output_bytes

    def hint(self, seconds: float) -> None:
        """Use the run time that an endpoint announces until there are samples."""
        if seconds > 0:
            self._hint_s = seconds
            self._update_mean()

    def add(
        self, run_s: float, output_bytes: int, concurrent: float, cached: float = 0.0
    ) -> None:
        """
        Add a sample of a run.

        ``cached`` is the share of its prefix that the endpoint was expected to have in
        its cache.
        """
        self._saving.add(cached, 1.0 - run_s / self.loaded_mean_s(concurrent))
        self._run_times.add(run_s)
        self._crowding.add(concurrent, run_s)
        self._update_mean()
        self._peak_concurrency = max(concurrent, self._peak_concurrency * PEAK_DECAY)
        self._output_bytes += BYTES_WEIGHT * (output_bytes - self._output_bytes)
        self._samples_until_refresh -= 1

    @property
    def peak_mean_s(self) -> float:
        """Mean run time at the recent peak of concurrent calls, in seconds."""
        return self.loaded_mean_s(self._peak_concurrency)

    def loaded_mean_s(self, concurrent: float) -> float:
        """Return the mean run time with this many concurrent calls, in seconds."""
        mean_s = self._mean_s
        predicted_s = mean_s + self._slope_s * (concurrent - self._mean_concurrency)
        least_s = mean_s * MIN_OF_MEAN
        return predicted_s if predicted_s > least_s else least_s

    def add_chunk_time(self, chunk_s: float, concurrent: float) -> None:
        """Add a sample of the seconds that one chunk of a stream took."""
        self._chunk_times.add(chunk_s * self._mean_s / self.loaded_mean_s(concurrent))
        self._chunks_until_refresh -= 1
        if self._chunks_until_refresh <= 0:
            self._chunks_until_refresh = CACHED_SAMPLES
            self._chunk_time_s = self._chunk_times.quantile(MEDIAN)

    def chunk_time_s(self, concurrent: float) -> float:
        """Return the median time for a chunk, in seconds; 0 without enough samples."""
        return self._chunk_time_s * self.loaded_mean_s(concurrent) / self._mean_s

    def added_delay_s(self, concurrent: float) -> float:
        """Return how much one more call lengthens the concurrent ones, in seconds."""
        return self._slope_s * concurrent

    def cached_factor(self, cached: float) -> float:
        """Return the factor on the run time if this share of its prefix is cached."""
        return 1.0 - min(MAX_SAVING, self._saving.slope(PRIOR_SAVING)) * cached

    def tail(self, seconds: float) -> float:
        """Return the probability that a run takes longer than this."""
        if self._has_samples:
            return self._run_times.tail(seconds)
        return 1.0 if seconds < self._hint_s else 0.0

    def _update_mean(self) -> None:
        """
        Compute the mean, and how many seconds each concurrent call adds to a run.

        An engine batches requests, so a run takes longer on a busy engine than on an
        idle one even if it has a free slot. The slope's prior makes routing prefer the
        endpoint with fewer calls among equal ones.
        """
        self._has_samples = self._run_times.count > 0
        self._mean_s = (
            max(MIN_MEAN_S, self._run_times.mean) if self._has_samples else self._hint_s
        )
        self._mean_concurrency = self._crowding.mean_x
        self._slope_s = self._crowding.slope(PRIOR_CROWDING * self._mean_s)

    def _refresh(self) -> None:
        self._samples_until_refresh = CACHED_SAMPLES
        if not self._run_times.count:
            self._median = self._p90 = self._hint_s
            self._p95 = self._p99 = self._hint_s
            self._samples_until_refresh = 0
            return
        p05, median, p90, p95, p99 = self._run_times.quantiles(QUANTILES)
        self._median = median
        self._p90 = max(median, p90)
        self._p95 = p95
        self._p99 = max(median, p99)
        self._p05 = p05 if self.has_enough_samples else 0.0


class StageTimes:
    """Statistics by stage and model, and the split of a deadline over stages."""

    def __init__(self) -> None:
        self._stats: dict[tuple[str, str, str], StageStats] = {}

    def stats_for(self, stage: Stage) -> StageStats:
        """Return the statistics of a stage, which are created at its first use."""
        stats = self._stats.get(stage.key)
        if stats is None:
            stats = self._stats[stage.key] = StageStats()
        return stats

    def needed_s(self, stages: Sequence[Stage]) -> float:
        """
        Return the time in which nearly all requests complete idle stages, in seconds.

        Adds the medians, and the root of the sum of squares of the distances from the
        median to the 90th percentile, since stages are rarely slow at the same time.
        With the 99th percentile, one slow endpoint in ten would cause every request to
        be refused.
        """
        spread_squares = 0.0
        total_s = 0.0
        for stage in stages:
            stats = self.stats_for(stage)
            total_s += stats.median_s
            spread_squares += (stats.p90_s - stats.median_s) ** 2
        return total_s + sqrt(spread_squares)

    def median_s(self, stages: Sequence[Stage]) -> float:
        """Return the sum of the median run times, in seconds."""
        total_s = 0.0
        for stage in stages:
            total_s += self.stats_for(stage).median_s
        return total_s

    def floor_s(self, stages: Sequence[Stage]) -> float:
        """Return the sum of the 5th percentiles of the run times, in seconds."""
        total_s = 0.0
        for stage in stages:
            total_s += self.stats_for(stage).floor_s
        return total_s

    def slowest(self, stages: Sequence[Stage]) -> Stage:
        """Return the stage with the highest 99th percentile of run times."""
        return max(stages, key=lambda stage: self.stats_for(stage).p99_s)

    def latest_finish(self, deadline: float, later: Sequence[Stage]) -> float:
        """Return when a stage must end if the ``later`` ones take their median time."""
        return deadline - self.median_s(later)

    def share_end(self, now: float, deadline: float, stages: Sequence[Stage]) -> float:
        """
        Return the time stamp at which the first stage's share of the deadline ends.

        The time left is split in proportion to the 99th percentiles, so that stages
        with more variable run times get more of it.
        """
        first_s = self.stats_for(stages[0]).p99_s
        total_s = first_s
        for stage in stages[1:]:
            total_s += self.stats_for(stage).p99_s
        left_s = max(0.0, deadline - now)
        return now + left_s * first_s / max(total_s, 1e-9)
