"""How loaded each endpoint is, from late reports and the entry's own attempts."""

from collections.abc import Callable
from math import copysign, exp

from amaranthtally.policy.events import LoadReport
from amaranthtally.policy.invariants import ensure
from amaranthtally.policy.model import Endpoint
from amaranthtally.policy.pool_loads import PoolLoad, other_calls_decay

__all__ = ["EndpointLoad", "LoadTable", "PoolLoad"]

UNHEARD_LIMIT = 4
SMOOTHING_S = 0.5
DOUBT_SMOOTHING_S = 5.0
SLOWNESS_WEIGHT = 0.1
PACE_WEIGHT = 0.3
SLOWNESS_NOISE = 0.25
FAILURE_WEIGHT = 0.2
FAILING_NOISE = 0.05
FADE_S = 10.0
LEAST_SLOWNESS = 0.25
MOST_SLOWNESS = 50.0


class EndpointLoad:
    """
    One endpoint as this entry sees it; about 300 bytes.

    ``pending_prefill_tokens`` counts the prompt tokens of this entry's attempts there
    that have not yet produced output.

    A report that lags also counts attempts of our own that ended since, and
    misses those sent since. So a report is only used for what other entries do
    there: the report less our own attempts, smoothed. Our own attempts, which we
    count exactly, are added on top, so that no two decisions between reports
    take an endpoint for equally idle.
    """

    __slots__ = (
        "_failing",
        "_failing_at",
        "_other_calls",
        "_other_calls_at",
        "_own_then",
        "_slow",
        "_slow_at",
        "_total_then",
        "endpoint",
        "in_pool_sums",
        "incarnation",
        "leaving",
        "limit",
        "models",
        "outstanding",
        "pending_prefill_tokens",
        "pool",
        "report_requested_at",
        "reported_at",
    )

    def __init__(self, endpoint: Endpoint, pool: PoolLoad) -> None:
        self.pool = pool
        self.endpoint = endpoint
        self.outstanding = 0
        self.limit = endpoint.slots or UNHEARD_LIMIT
        self.pending_prefill_tokens = 0
        self.reported_at = -1.0
        self.report_requested_at = -1.0
        self.incarnation = 0
        self.leaving = False
        self.models: frozenset[str] | None = None
        self.in_pool_sums = False
        self._other_calls = 0.0
        self._other_calls_at = 0.0
        self._own_then = 0
        self._total_then = 0
        self._slow = 1.0
        self._slow_at = 0.0
        self._failing = 0.0
        self._failing_at = 0.0

    def may_serve(self, model: str) -> bool:
        """Whether it has a model by its own word; true where it has said nothing."""
        if self.models is None:
            return True
        return model in self.models if model else bool(self.models)

    def accepts(self, model: str) -> bool:
        """Whether it takes new work and has the model."""
        return not self.leaving and self.may_serve(model)

    def other_calls(self, now: float) -> float:
        """
        Return the smoothed calls of other entries; may be below 0.

        They fade when nothing is heard: an endpoint that was once reported to be
        crowded would get no attempt, send no report, and stay avoided for ever.
        """
        return self._other_calls * other_calls_decay(now - self._other_calls_at)

    def occupancy(self, now: float) -> float:
        """
        Return the predicted calls at the endpoint, running and queued.

        The less reports can be trusted, the more is it taken to be average.
        """
        others = self.other_calls(now) if self._other_calls > 0.0 else 0.0
        trust = self.pool.report_weight
        if trust < 1.0:
            others = trust * others + (1.0 - trust) * self.pool.mean_other_calls(now)
        return self.outstanding + others

    def concurrent(self, occupancy: float) -> float:
        """Return the predicted calls that run beside a new one."""
        most = self.limit - 1
        return occupancy if occupancy < most else most

    def wait_s(self, occupancy: float, mean_s: float) -> float:
        """Return the predicted wait of a new call, in seconds."""
        ahead = occupancy + 1 - self.limit
        return ahead * mean_s / self.limit if ahead > 0 else 0.0

    def slowness(self, now: float) -> float:
        """
        Return how much slower than its pool it runs; fades to 1 unheard.

        Little off 1 is taken for 1: runs differ by a third among themselves, and
        to follow that noise costs more than it finds.
        """
        off = self._slow - 1.0
        if -SLOWNESS_NOISE <= off <= SLOWNESS_NOISE:
            return 1.0
        off *= _faded(now - self._slow_at)
        if abs(off) <= SLOWNESS_NOISE:
            return 1.0
        return 1.0 + off - copysign(SLOWNESS_NOISE, off)

    def failure_rate(self, now: float) -> float:
        """
        Return the smoothed share of attempts that fail; fades to 0 unheard.

        A small rest is taken for 0: among equals it would keep an endpoint from
        ever getting the attempt that clears it.
        """
        if self._failing <= FAILING_NOISE:
            return 0.0
        failing = self._failing * _faded(now - self._failing_at)
        return failing if failing > FAILING_NOISE else 0.0

    def note_run_time(self, now: float, ratio: float) -> None:
        """Learn from a run that took ``ratio`` times its pool's mean."""
        self._note_slowness(now, ratio, SLOWNESS_WEIGHT)

    def note_chunk_time(self, now: float, ratio: float) -> None:
        """
        Learn from a chunk that took ``ratio`` times its pool's median.

        It counts for more than a run, which is also long by a long answer.
        """
        self._note_slowness(now, ratio, PACE_WEIGHT)

    def _note_slowness(self, now: float, ratio: float, weight: float) -> None:
        ratio = min(MOST_SLOWNESS, max(LEAST_SLOWNESS, ratio))
        current = 1.0 + (self._slow - 1.0) * _faded(now - self._slow_at)
        self._slow = current + weight * (ratio - current)
        self._slow_at = now

    def note_outcome(self, now: float, failed: bool) -> None:
        """Learn from an attempt's end."""
        current = self._failing * _faded(now - self._failing_at)
        self._failing = current + FAILURE_WEIGHT * (failed - current)
        self._failing_at = now

    def apply_report(self, now: float, report: LoadReport) -> None:
        """Learn from a report, however late."""
        total = report.running + report.queued
        # A reply's report no longer counts its own call, one asked for does. Taken
        # alike, they would seem not to follow our attempts: reports of now would be
        # doubted, and prefixes be left out of routing.
        own = max(0, self.outstanding - report.ended)
        if self.reported_at >= 0:
            self.pool.note_report(total - self._total_then, own - self._own_then)
        self._total_then = total
        self._own_then = own
        others = total - own
        current = self.other_calls(now)
        if self.reported_at < 0:
            weight = 1.0
        else:
            smoothing_s = (
                SMOOTHING_S + (1.0 - self.pool.report_weight) * DOUBT_SMOOTHING_S
            )
            weight = 1.0 - exp(-max(0.0, now - self.reported_at) / smoothing_s)
        self._other_calls = current + weight * (others - current)
        self._other_calls_at = now
        self.reported_at = now
        self.limit = max(1, report.limit)
        self.models = report.models


BuildLoad = Callable[[Endpoint, PoolLoad], EndpointLoad]


class LoadTable:
    """The endpoints that this entry has used or heard of, and sums by pool."""

    def __init__(self, build: BuildLoad = EndpointLoad) -> None:
        self._build = build
        self._loads: dict[str, EndpointLoad] = {}
        self._pools: dict[str, PoolLoad] = {}

    def __len__(self) -> int:
        return len(self._loads)

    def pool(self, name: str) -> PoolLoad:
        """Return the sums of a pool."""
        found = self._pools.get(name)
        if found is None:
            found = self._pools[name] = PoolLoad()
        return found

    def find(self, endpoint: str) -> EndpointLoad | None:
        """Return what is known of an endpoint, or ``None``."""
        return self._loads.get(endpoint)

    def get_or_create(self, endpoint: Endpoint) -> EndpointLoad:
        """Return an endpoint's load, made at first use."""
        load = self._loads.get(endpoint.id)
        if load is None:
            load = self._build(endpoint, self.pool(endpoint.pool))
            self._loads[endpoint.id] = load
        return load

    def add_to_pool(self, now: float, load: EndpointLoad) -> None:
        """Add a usable endpoint to its pool's sums."""
        if load.in_pool_sums:
            return
        load.in_pool_sums = True
        pool = load.pool
        pool.size += 1
        pool.capacity += load.limit
        pool.add_other_calls(now, load.other_calls(now))

    def remove_from_pool(self, now: float, load: EndpointLoad) -> None:
        """Take an endpoint that is leaving, ejected or gone out of the sums."""
        if not load.in_pool_sums:
            return
        load.in_pool_sums = False
        pool = load.pool
        pool.size -= 1
        pool.capacity -= load.limit
        pool.add_other_calls(now, -load.other_calls(now))
        ensure(pool.size >= 0, "a pool's size is not negative")

    def apply_report(self, now: float, load: EndpointLoad, report: LoadReport) -> None:
        """Learn from a report, and keep the sums."""
        if not load.in_pool_sums:
            load.apply_report(now, report)
            return
        old_limit, old_others = load.limit, load.other_calls(now)
        load.apply_report(now, report)
        load.pool.capacity += load.limit - old_limit
        load.pool.replace_other_calls(now, old_others, load.other_calls(now))

    def add_attempt(self, load: EndpointLoad) -> None:
        """Count an attempt at an endpoint."""
        load.outstanding += 1
        load.pool.outstanding += 1

    def remove_attempt(self, endpoint: str, pool: str) -> None:
        """Count an attempt as ended, also at an endpoint that is forgotten."""
        load = self._loads.get(endpoint)
        if load is not None:
            # One that was forgotten and registered anew starts from 0 again.
            load.outstanding = max(0, load.outstanding - 1)
        sums = self.pool(pool)
        sums.outstanding -= 1
        ensure(sums.outstanding >= 0, "attempts at a pool are not negative")

    def remove(self, now: float, endpoint: str) -> None:
        """Forget an endpoint that is no longer registered."""
        load = self._loads.pop(endpoint, None)
        if load is not None:
            self.remove_from_pool(now, load)

    def ids(self) -> list[str]:
        """Return the ids of the endpoints held."""
        return list(self._loads)


def _faded(age_s: float) -> float:
    return 0.5 ** (age_s / FADE_S) if age_s > 0 else 1.0
