"""Calculates the figures of one replay from its recorded requests."""

from collections import Counter
from collections.abc import Iterable

import msgspec

from amaranthtally.operator.quantiles import quantile
from amaranthtally.operator.replay.recorder import ReplayRecorder, RequestRecord
from amaranthtally.operator.replay.trace import FaultKind, Header

__all__ = ["Figures", "jain_index", "max_min_shares", "measure"]

P99 = 0.99
# A burst affects the answers only after its first requests can have finished.
BURST_LAG_S = 1.5


class Figures(msgspec.Struct, frozen=True):
    """
    Figures of one contender on one trace.

    Shares are from 0 to 1. Costs are in the unit of the prices in the trace's header,
    where one engine slot costs 1 per second. ``goodput`` is answers in time per second
    of the trace. ``burst_goodput`` is answers in time per second of the burst, for
    requests that need the bottleneck pool; the burst is counted from ``BURST_LAG_S``
    after its start to ``BURST_LAG_S`` after its end.
    """

    contender: str
    requests: int
    admitted: int
    good: int
    attainment: float
    admitted_attainment: float
    goodput: float
    burst_goodput: float
    latency_p50_s: float
    latency_p99_s: float
    cost_by_stage: dict[str, float]
    cost_per_answer: float
    region_bytes: int
    region_bytes_by_stage: dict[str, int]
    sends: int
    retries: int
    hedges: int
    wasted_s: float
    wasted_share: float
    fairness: float
    refusals: dict[str, int]
    unended: int
    doubled_effects: int
    false_not_run: int


def measure(
    name: str, header: Header, recorder: ReplayRecorder, bottleneck: str
) -> Figures:
    """Return the figures of a finished replay; ``bottleneck`` is the name of a pool."""
    requests = recorder.requests
    good = [r for r in requests if r.good]
    admitted = [r for r in requests if r.admitted]
    latencies = [(r.ended_at or 0.0) - r.arrival.at for r in good]
    cost = _cost_by_pool(requests, header)
    region_bytes = _bytes_by_pool(requests)
    spent_s, wasted_s = _slot_seconds(requests)
    return Figures(
        contender=name,
        requests=len(requests),
        admitted=len(admitted),
        good=len(good),
        attainment=_share(len(good), len(requests)),
        admitted_attainment=_share(sum(r.good for r in admitted), len(admitted)),
        goodput=_round(len(good) / header.duration_s),
        burst_goodput=_burst_goodput(good, header, bottleneck),
        latency_p50_s=_round(quantile(latencies, 0.5)),
        latency_p99_s=_round(quantile(latencies, P99)),
        cost_by_stage={pool: _round(value) for pool, value in sorted(cost.items())},
        cost_per_answer=_round(sum(cost.values()) / max(1, len(good))),
        region_bytes=sum(region_bytes.values()),
        region_bytes_by_stage=dict(sorted(region_bytes.items())),
        sends=recorder.sends,
        retries=recorder.retries,
        hedges=recorder.hedges,
        wasted_s=_round(wasted_s),
        wasted_share=_round(wasted_s / spent_s if spent_s else 0.0),
        fairness=_fairness(requests),
        refusals=_refusals(requests),
        unended=sum(r.ended_at is None for r in requests),
        doubled_effects=recorder.doubled_effects,
        false_not_run=recorder.false_not_run,
    )


def max_min_shares(demands: list[int], total: float) -> list[float]:
    """Return the max-min fair shares of ``total`` for the given demands."""
    shares = [0.0] * len(demands)
    remaining = sorted(range(len(demands)), key=lambda i: demands[i])
    unshared = total
    while remaining:
        equal = unshared / len(remaining)
        smallest = remaining.pop(0)
        shares[smallest] = min(float(demands[smallest]), equal)
        unshared -= shares[smallest]
    return shares


def jain_index(values: list[float]) -> float:
    """Return Jain's index: 1 if all n values are equal, 1/n if one has all."""
    squares = sum(v * v for v in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 1.0


def _fairness(requests: list[RequestRecord]) -> float:
    """Return Jain's index of answers per max-min fair share, over all accounts."""
    submitted = Counter(r.arrival.account for r in requests)
    good = Counter(r.arrival.account for r in requests if r.good)
    accounts = sorted(submitted)
    shares = max_min_shares([submitted[a] for a in accounts], sum(good.values()))
    return _round(
        jain_index([good[a] / s for a, s in zip(accounts, shares, strict=True) if s])
    )


def _cost_by_pool(
    requests: Iterable[RequestRecord], header: Header
) -> dict[str, float]:
    cost: dict[str, float] = {pool.name: 0.0 for pool in header.pools}
    for record in requests:
        for attempt in record.costs.values():
            cost[attempt.pool] += attempt.run_s * attempt.price
        for pool, size in record.region_bytes.items():
            cost[pool] += size * header.region_byte_price
    return {pool: value for pool, value in cost.items() if value}


def _bytes_by_pool(requests: Iterable[RequestRecord]) -> dict[str, int]:
    total: Counter[str] = Counter()
    for record in requests:
        total.update(record.region_bytes)
    return dict(total)


def _slot_seconds(requests: Iterable[RequestRecord]) -> tuple[float, float]:
    spent_s = wasted_s = 0.0
    for record in requests:
        for attempt, cost in record.costs.items():
            spent_s += cost.run_s
            if not record.good or attempt not in record.useful:
                wasted_s += cost.run_s
    return spent_s, wasted_s


def _burst_goodput(good: list[RequestRecord], header: Header, bottleneck: str) -> float:
    burst_kinds = (FaultKind.BURST, FaultKind.FLOOD)
    burst = next((f for f in header.faults if f.kind in burst_kinds), None)
    if burst is None:
        return 0.0
    start, end = burst.start_s + BURST_LAG_S, burst.end_s + BURST_LAG_S
    pipelines = {
        plan.name
        for plan in header.pipelines
        if any(stage.pool == bottleneck for stage in plan.stages)
    }
    answers = sum(
        r.arrival.pipeline in pipelines and start <= (r.ended_at or 0.0) < end
        for r in good
    )
    return _round(answers / (end - start))


def _refusals(requests: Iterable[RequestRecord]) -> dict[str, int]:
    counts = Counter(
        f"{r.reason.value}/{r.outcome.value}"
        for r in requests
        if r.reason and r.outcome
    )
    return dict(sorted(counts.items()))


def _share(part: int, whole: int) -> float:
    return _round(part / whole) if whole else 1.0


def _round(value: float) -> float:
    return round(value, 4)
