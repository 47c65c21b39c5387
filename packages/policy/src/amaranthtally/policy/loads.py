"""Load of each endpoint, estimated from late reports and the entry's own attempts."""

from collections.abc import Callable, Collection
from math import copysign, exp

from amaranthtally.policy.events import LoadReport
from amaranthtally.policy.invariants import ensure
from amaranthtally.policy.model import Endpoint
from amaranthtally.policy.pool_loads import PoolLoad, other_calls_decay

__all__ = ["EndpointLoad", "LoadTable", "PoolLoad"]

DEFAULT_LIMIT = 4
SMOOTHING_S = 0.5
STALE_SMOOTHING_S = 5.0
RUN_WEIGHT = 0.1
CHUNK_WEIGHT = 0.3
SLOWNESS_NOISE = 0.25
FAILURE_WEIGHT = 0.2
FAILURE_NOISE = 0.05
HALF_LIFE_S = 10.0
MIN_SLOWNESS = 0.25
MAX_SLOWNESS = 50.0


class EndpointLoad:
    """
    The load and state of one endpoint as known to this entry; about 300 bytes.

    ``pending_prefill_tokens`` counts the prompt tokens of this entry's attempts that
    the endpoint has still to process before their first output.

    A report that arrives late still counts this entry's attempts that have ended
    since, and misses those sent since. A report is therefore only used to estimate
    the calls of other entries: its total less this entry's attempts, smoothed. The
    entry's own attempts, whose number is known exactly, are added to this estimate,
    so that each decision between two reports takes the earlier decisions into account.
    """

    __slots__ = (
        "_failure_rate",
        "_failure_rate_at",
        "_last_own_calls",
        "_last_total_calls",
        "_other_calls",
        "_other_calls_at",
        "_slowness",
        "_slowness_at",
        "endpoint",
        "in_pool_sums",
        "incarnation",
        "leaving",
        "limit",
        "models",
        "outstanding",
        "pending_prefill_tokens",
        "polled_at",
        "pool",
        "reported_at",
    )

    def __init__(self, endpoint: Endpoint, pool: PoolLoad) -> None:
        self.pool = pool
        self.endpoint = endpoint
        self.outstanding = 0
        self.limit = endpoint.slots or DEFAULT_LIMIT
        self.pending_prefill_tokens = 0
        self.reported_at = -1.0
        self.polled_at = -1.0
        self.incarnation = 0
        self.leaving = False
        self.models: frozenset[str] | None = None
        self.in_pool_sums = False
        self._other_calls = 0.0
        self._other_calls_at = 0.0
        self._last_own_calls = 0
        self._last_total_calls = 0
        self._slowness = 1.0
        self._slowness_at = 0.0
        self._failure_rate = 0.0
        self._failure_rate_at = 0.0

    def may_serve(self, model: str) -> bool:
        """Whether it has reported a model, or has not reported its models at all."""
        if self.models is None:
            return True
        return model in self.models if model else bool(self.models)

    def accepts(self, model: str) -> bool:
        """Whether it takes new work and may serve the model."""
        return not self.leaving and self.may_serve(model)

    def other_calls(self, now: float) -> float:
        """
        Return the smoothed number of calls of other entries; may be below 0.

        The number decays while no report arrives. Otherwise an endpoint that was once
        reported as heavily loaded would receive no attempt, hence send no report, and
        be avoided for ever.
        """
        return self._other_calls * other_calls_decay(now - self._other_calls_at)

    def occupancy(self, now: float) -> float:
        """
        Return the predicted number of calls at the endpoint, running and queued.

        The lower the weight of reports, the closer the calls of other entries are
        taken to be to the pool's average. Where entries share a view of the pool, its
        figures count the more the newer they are.
        """
        others = self.other_calls(now) if self._other_calls > 0.0 else 0.0
        weight = self.pool.report_weight
        if weight < 1.0:
            others = weight * others + (1.0 - weight) * self.pool.mean_other_calls(now)
        view = self.pool.view
        if view is not None:
            shared = view.find(now, self.endpoint.id)
            if shared is not None:
                others += shared.weight * (shared.calls - others)
        return self.outstanding + others

    def concurrent(self, occupancy: float) -> float:
        """Return the predicted number of other calls running beside a new one."""
        max_concurrent = self.limit - 1
        return occupancy if occupancy < max_concurrent else max_concurrent

    def wait_s(self, occupancy: float, mean_s: float) -> float:
        """Return the predicted queueing time of a new call, in seconds."""
        ahead = occupancy + 1 - self.limit
        return ahead * mean_s / self.limit if ahead > 0 else 0.0

    def slowness(self, now: float) -> float:
        """
        Return the ratio of its run times to those of its pool; decays to 1.

        Deviations up to ``SLOWNESS_NOISE`` are treated as 1: the run times of equal
        endpoints differ by a third, and following that noise costs more than it gains.
        """
        deviation = self._slowness - 1.0
        if -SLOWNESS_NOISE <= deviation <= SLOWNESS_NOISE:
            return 1.0
        deviation *= _decay(now - self._slowness_at)
        if abs(deviation) <= SLOWNESS_NOISE:
            return 1.0
        return 1.0 + deviation - copysign(SLOWNESS_NOISE, deviation)

    def failure_rate(self, now: float) -> float:
        """
        Return the smoothed share of attempts that fail; decays to 0.

        Rates up to ``FAILURE_NOISE`` are treated as 0. A small remainder would make
        routing prefer every equal endpoint, so that this one never received the
        attempt that clears it.
        """
        if self._failure_rate <= FAILURE_NOISE:
            return 0.0
        rate = self._failure_rate * _decay(now - self._failure_rate_at)
        return rate if rate > FAILURE_NOISE else 0.0

    def note_run_time(self, now: float, ratio: float) -> None:
        """Update the slowness from a run that took ``ratio`` times its pool's mean."""
        self._note_slowness(now, ratio, RUN_WEIGHT)

    def note_chunk_time(self, now: float, ratio: float) -> None:
        """
        Update the slowness from a chunk that took ``ratio`` times its pool's median.

        A chunk has more weight than a run, whose time also depends on the length of
        the answer.
        """
        self._note_slowness(now, ratio, CHUNK_WEIGHT)

    def _note_slowness(self, now: float, ratio: float, weight: float) -> None:
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
        current = 1.0 + (self._slowness - 1.0) * _decay(now - self._slowness_at)
        self._slowness = current + weight * (ratio - current)
        self._slowness_at = now

    def note_outcome(self, now: float, failed: bool) -> None:
        """Update the failure rate from an attempt that ended."""
        current = self._failure_rate * _decay(now - self._failure_rate_at)
        self._failure_rate = current + FAILURE_WEIGHT * (failed - current)
        self._failure_rate_at = now

    def apply_report(self, now: float, report: LoadReport) -> None:
        """Update the estimate from a load report, which may be late."""
        total = report.running + report.queued
        # A report sent with a reply no longer counts that call; the report of a poll
        # counts all calls. Without the correction the reports would seem not to follow
        # this entry's attempts: current ones would lose their weight, and routing would
        # ignore cached prefixes.
        own = max(0, self.outstanding - report.ended)
        if self.reported_at >= 0:
            self.pool.note_report(
                total - self._last_total_calls, own - self._last_own_calls
            )
        self._last_total_calls = total
        self._last_own_calls = own
        others = total - own
        current = self.other_calls(now)
        if self.reported_at < 0:
            weight = 1.0
        else:
            smoothing_s = (
                SMOOTHING_S + (1.0 - self.pool.report_weight) * STALE_SMOOTHING_S
            )
            weight = 1.0 - exp(-max(0.0, now - self.reported_at) / smoothing_s)
        self._other_calls = current + weight * (others - current)
        self._other_calls_at = now
        self.reported_at = now
        self.limit = max(1, report.limit)
        self.models = report.models


BuildLoad = Callable[[Endpoint, PoolLoad], EndpointLoad]


class LoadTable:
    """The loads of endpoints that this entry has used, and their sums by pool."""

    def __init__(self, build: BuildLoad = EndpointLoad) -> None:
        self._build = build
        self._loads: dict[str, EndpointLoad] = {}
        self._pools: dict[str, PoolLoad] = {}
        self._changed: set[str] | None = None

    def __len__(self) -> int:
        return len(self._loads)

    def pool(self, name: str) -> PoolLoad:
        """Return the sums of a pool, created at first use."""
        pool = self._pools.get(name)
        if pool is None:
            pool = self._pools[name] = PoolLoad()
        return pool

    def find(self, endpoint: str) -> EndpointLoad | None:
        """Return an endpoint's load, or ``None``."""
        return self._loads.get(endpoint)

    def get_or_create(self, endpoint: Endpoint) -> EndpointLoad:
        """Return an endpoint's load, created at first use."""
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
        """Subtract a leaving, ejected or removed endpoint from its pool's sums."""
        if not load.in_pool_sums:
            return
        load.in_pool_sums = False
        pool = load.pool
        pool.size -= 1
        pool.capacity -= load.limit
        pool.add_other_calls(now, -load.other_calls(now))
        ensure(pool.size >= 0, "a pool's size is not negative")

    def apply_report(self, now: float, load: EndpointLoad, report: LoadReport) -> None:
        """Update an endpoint's load from a report, and its pool's sums."""
        if not load.in_pool_sums:
            load.apply_report(now, report)
            return
        old_limit, old_others = load.limit, load.other_calls(now)
        load.apply_report(now, report)
        load.pool.capacity += load.limit - old_limit
        load.pool.replace_other_calls(now, old_others, load.other_calls(now))

    def watch(self, watched: bool) -> None:
        """Note from now on which endpoints' own attempts change; first, all of them."""
        self._changed = set(self._loads) if watched else None

    def take_changed(self) -> Collection[str]:
        """Return the endpoints whose own attempts have changed since the last call."""
        if not self._changed:
            return ()
        changed, self._changed = self._changed, set()
        return changed

    def note_changed(self, endpoint: str) -> None:
        """Note that the calls or prompt tokens of an endpoint have changed."""
        if self._changed is not None:
            self._changed.add(endpoint)

    def add_attempt(self, load: EndpointLoad) -> None:
        """Count an attempt that is sent to an endpoint."""
        load.outstanding += 1
        load.pool.outstanding += 1
        if self._changed is not None:
            self._changed.add(load.endpoint.id)

    def remove_attempt(self, endpoint: str, pool: str) -> None:
        """Subtract an attempt that ended; its endpoint may have been removed."""
        load = self._loads.get(endpoint)
        if load is not None:
            # An endpoint that was removed and registered again starts from 0.
            load.outstanding = max(0, load.outstanding - 1)
            if self._changed is not None:
                self._changed.add(endpoint)
        sums = self.pool(pool)
        sums.outstanding -= 1
        ensure(sums.outstanding >= 0, "attempts at a pool are not negative")

    def remove(self, now: float, endpoint: str) -> None:
        """Remove an endpoint that is no longer registered."""
        load = self._loads.pop(endpoint, None)
        if load is not None:
            self.remove_from_pool(now, load)
            self.note_changed(endpoint)

    def ids(self) -> list[str]:
        """Return the ids of the endpoints in the table."""
        return list(self._loads)


def _decay(age_s: float) -> float:
    return 0.5 ** (age_s / HALF_LIFE_S) if age_s > 0 else 1.0
