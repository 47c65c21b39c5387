"""
Clairvoyant upper bound on the requests that any scheduler can answer in time.

The bound uses every arrival and the work of every call. Each pool is modelled as one
fluid server as fast as all its slots together, and slower during faults. A call is
released after the shortest time that any request spends in the earlier stages, and
its due time leaves the shortest time that any request needs for the later stages.
The maximum number of calls that this server finishes on time bounds the number of
requests that can be answered in time.

The model leaves out the network, prefill, partly filled batches, the speed of a
single slot, placement, cut regions and the other pools. Each of them could only lower
the bound, so the bound can be loose but is never too low. The calls have the same
order by release and by due time; for such jobs the algorithm of Kise, Ibaraki and
Mine (1978) maximises the number on time.
"""

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass

from amaranthtally.operator.replay.trace import (
    FaultKind,
    Header,
    PipelinePlan,
    PoolPlan,
    Trace,
)
from amaranthtally.operator.replay.work import WorkModel

__all__ = ["Bound", "Job", "clairvoyant_bound", "max_on_time_jobs"]


@dataclass(frozen=True, slots=True)
class Bound:
    """
    The maximum number of requests answered in time, and the bottleneck pool.

    ``capacity`` is the bottleneck pool's rate without faults, in calls per second.
    """

    good: int
    attainment: float
    pool: str
    capacity: float


@dataclass(frozen=True, slots=True)
class Job:
    """
    A call at the fluid server.

    ``release`` and ``due`` are not times but the work, in seconds, that the pool can
    have done by the call's release time and its due time.
    """

    release: float
    due: float
    work: float


def clairvoyant_bound(trace: Trace) -> Bound:
    """Return the minimum of all pools' bounds, and the pool with the highest load."""
    total = len(trace.arrivals)
    good, bottleneck, highest_load = total, "", 0.0
    capacity = 0.0
    for pool in trace.header.pools:
        jobs = _jobs(trace, pool)
        if not jobs:
            continue
        good = min(good, total - len(jobs) + max_on_time_jobs(jobs))
        calls_per_s = _calls_per_s(trace.header, pool, jobs)
        load = len(jobs) / trace.header.duration_s / calls_per_s
        if load > highest_load:
            bottleneck, highest_load, capacity = pool.name, load, calls_per_s
    attainment = round(good / total, 4) if total else 1.0
    return Bound(good, attainment, bottleneck, round(capacity, 2))


def max_on_time_jobs(jobs: list[Job]) -> int:
    """
    Return the maximum number of jobs that can end on time.

    ``jobs`` must be in order of release, which is also the order of due.
    """
    kept: list[Job] = []
    ends: list[float] = []
    for job in jobs:
        start = max(job.release, ends[-1] if ends else job.release)
        kept.append(job)
        ends.append(start + job.work)
        if ends[-1] > job.due:
            _drop_job(kept, ends)
    return len(kept)


def _drop_job(kept: list[Job], ends: list[float]) -> None:
    """Remove the job whose removal lets the last job end earliest."""
    slack = float("inf")
    best_index, best_saving = len(kept) - 1, -1.0
    for i in range(len(kept) - 1, -1, -1):
        saving = min(kept[i].work, slack)
        if saving > best_saving:
            best_index, best_saving = i, saving
        slack = min(slack, ends[i] - kept[i].work - kept[i].release)
        if slack <= 0.0:
            break
    del kept[best_index]
    del ends[best_index:]
    for job in kept[best_index:]:
        start = max(job.release, ends[-1] if ends else job.release)
        ends.append(start + job.work)


def _calls_per_s(header: Header, pool: PoolPlan, jobs: list[Job]) -> float:
    mean_work = sum(job.work for job in jobs) / len(jobs)
    endpoints = sum(e.pool == pool.name for e in header.endpoints)
    return endpoints * _endpoint_rate(pool) / mean_work


# Jobs


class _CumulativeWork:
    """Maps a time to the work that a pool can have done by that time."""

    def __init__(self, header: Header, pool: PoolPlan) -> None:
        faults = [f for f in header.faults if f.endpoints]
        self._times = sorted({0.0, *(t for f in faults for t in (f.start_s, f.end_s))})
        self._rates = [_pool_rate(header, pool, t) for t in self._times]
        self._work_done = [0.0]
        for i in range(1, len(self._times)):
            span = self._times[i] - self._times[i - 1]
            self._work_done.append(self._work_done[-1] + span * self._rates[i - 1])

    def work_by(self, time: float) -> float:
        """Return the work, in seconds, that the pool can do from 0 to ``time``."""
        i = max(0, bisect_right(self._times, time) - 1)
        return self._work_done[i] + (time - self._times[i]) * self._rates[i]


def _jobs(trace: Trace, pool: PoolPlan) -> list[Job]:
    header = trace.header
    work = WorkModel(header.seed)
    plans = {plan.name: plan for plan in header.pipelines}
    stage_indexes = {
        name: _stage_index(plan, pool.name) for name, plan in plans.items()
    }
    pool_arrivals = [a for a in trace.arrivals if stage_indexes[a.pipeline] is not None]
    cumulative_work = _CumulativeWork(header, pool)
    before, after = _min_time_around(trace, pool, work)
    jobs = []
    for arrival in pool_arrivals:
        stage = stage_indexes[arrival.pipeline]
        assert stage is not None
        deadline_s = plans[arrival.pipeline].deadline_s
        seconds = work.stage_work(arrival.id, stage, pool).seconds
        jobs.append(
            Job(
                cumulative_work.work_by(arrival.at + before),
                cumulative_work.work_by(arrival.at + deadline_s - after),
                seconds,
            )
        )
    return jobs


def _min_time_around(
    trace: Trace, pool: PoolPlan, work: WorkModel
) -> tuple[float, float]:
    """Return the minimum time, over all requests, before and after the pool's call."""
    pools = {p.name: p for p in trace.header.pools}
    plans = {plan.name: plan for plan in trace.header.pipelines}
    before, after = [], []
    for arrival in trace.arrivals:
        plan = plans[arrival.pipeline]
        stage_index = _stage_index(plan, pool.name)
        if stage_index is None:
            continue
        seconds = [
            work.stage_work(arrival.id, i, pools[stage.pool]).seconds
            for i, stage in enumerate(plan.stages)
        ]
        before.append(sum(seconds[:stage_index]))
        after.append(sum(seconds[stage_index + 1 :]))
    return min(before, default=0.0), min(after, default=0.0)


def _stage_index(plan: PipelinePlan, pool: str) -> int | None:
    return next((i for i, s in enumerate(plan.stages) if s.pool == pool), None)


def _endpoint_rate(pool: PoolPlan) -> float:
    """Return an endpoint's work per second, counted in run time of a call alone."""
    return pool.slots / (1.0 + pool.batch_slope * (pool.slots - 1))


def _pool_rate(header: Header, pool: PoolPlan, time: float) -> float:
    names = [e.id for e in header.endpoints if e.pool == pool.name]
    return _endpoint_rate(pool) * sum(_speed(header, name, time) for name in names)


def _speed(header: Header, endpoint: str, time: float) -> float:
    speed = 1.0
    for fault in _active_faults(header, endpoint, time):
        speed *= 0.0 if fault is FaultKind.FAILING else _slowed_speed(header, endpoint)
    return speed


def _slowed_speed(header: Header, endpoint: str) -> float:
    factors = [
        f.factor
        for f in header.faults
        if f.kind is FaultKind.SLOW and endpoint in f.endpoints
    ]
    return 1.0 / max(factors)


def _active_faults(header: Header, endpoint: str, time: float) -> Iterable[FaultKind]:
    return [
        f.kind
        for f in header.faults
        if endpoint in f.endpoints and f.start_s <= time < f.end_s
    ]
