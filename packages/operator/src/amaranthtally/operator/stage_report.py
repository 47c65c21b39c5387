"""Summarises the time of requests' stages, from the daemons' log lines."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from amaranthtally.operator.log_lines import MS_PER_S, LogLine

__all__ = ["PoolSpan", "RouteSummary", "StageReport", "build_report"]

# Outcome of a request for which no line records an end.
NO_OUTCOME = "no end"


class _Call(NamedTuple):
    """A call with pieces: begin and end in seconds, and the requests it served."""

    pool: str
    begin: float
    end: float
    requests: tuple[str, ...]


@dataclass(slots=True)
class PoolSpan:
    """
    Sums over the calls to one pool that ended in one span of time.

    ``pieces`` were in the calls, of at most ``batch_limit``, while ``waiting`` pieces
    were queued. ``busy_s`` is the sum of the calls' durations; ``shortages`` counts
    the reasons why calls held fewer pieces than their limit.
    """

    calls: int = 0
    pieces: int = 0
    batch_limit: int = 0
    waiting: int = 0
    busy_s: float = 0.0
    endpoints: set[str] = field(default_factory=set)
    waits_ms: list[float] = field(default_factory=list)
    shortages: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True)
class RouteSummary:
    """
    Requests of one route: how they ended, and where their time went, in seconds.

    ``waits_s`` and ``calls_s`` hold, for each pool, how long requests waited for a
    call and how long the calls took. ``staged_s`` holds the times from a request's
    arrival to its first attempt at an engine, for requests with calls; ``refused_s``
    the total times of ended requests without such an attempt.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    waits_s: dict[str, list[float]] = field(default_factory=dict)
    calls_s: dict[str, list[float]] = field(default_factory=dict)
    staged_s: list[float] = field(default_factory=list)
    refused_s: list[float] = field(default_factory=list)


@dataclass(slots=True)
class StageReport:
    """
    The report over all logs.

    ``spans`` is keyed by pool and the span's begin, in seconds since the first line.
    ``spent_s`` is the endpoints' time by the outcome of the requests that used it.
    """

    spans: dict[tuple[str, float], PoolSpan] = field(default_factory=dict)
    routes: dict[str, RouteSummary] = field(default_factory=dict)
    spent_s: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class _Request:
    """Times in seconds since the first line; 0 for an event not seen."""

    route: str = ""
    received: float = 0.0
    sent: float = 0.0
    ended: float = 0.0
    outcome: str = NO_OUTCOME
    calls: list[_Call] = field(default_factory=list)


def build_report(lines: Iterable[LogLine], span_s: float) -> StageReport:
    """Build the report from lines of all processes, in spans of ``span_s`` seconds."""
    report = StageReport()
    requests: defaultdict[str, _Request] = defaultdict(_Request)
    ordered = sorted(lines, key=lambda line: line.timestamp)
    start = ordered[0].timestamp.timestamp() if ordered else 0.0
    for line in ordered:
        at_s = line.timestamp.timestamp() - start
        if line.event == "pieces_ended":
            _add_call(report, requests, line, at_s, span_s)
        elif line.event in _EVENT_HANDLERS:
            _EVENT_HANDLERS[line.event](requests[line.text("request_id")], line, at_s)
    for request in requests.values():
        _summarize(report, request)
    return report


def _note_received(request: _Request, line: LogLine, at_s: float) -> None:
    request.route = line.text("route")
    request.received = at_s


def _note_sent(request: _Request, line: LogLine, at_s: float) -> None:
    request.sent = request.sent or at_s


def _note_ended(request: _Request, line: LogLine, at_s: float) -> None:
    request.ended = at_s
    reason = line.text("reason")
    request.outcome = line.text("outcome") + (f" {reason}" if reason else "")


def _note_abandoned(request: _Request, line: LogLine, at_s: float) -> None:
    request.ended = at_s
    request.outcome = "abandoned"


_EVENT_HANDLERS = {
    "request_received": _note_received,
    "attempt_sent": _note_sent,
    "request_ended": _note_ended,
    "request_abandoned": _note_abandoned,
}


def _add_call(
    report: StageReport,
    requests: defaultdict[str, _Request],
    line: LogLine,
    at_s: float,
    span_s: float,
) -> None:
    call_s = line.number("ms") / MS_PER_S
    pool = line.text("pool")
    span = report.spans.setdefault((pool, at_s // span_s * span_s), PoolSpan())
    span.calls += 1
    span.pieces += int(line.number("pieces"))
    span.batch_limit += int(line.number("places"))
    span.waiting += int(line.number("waiting"))
    span.busy_s += call_s
    span.endpoints.add(line.text("endpoint"))
    span.waits_ms.append(line.number("waited_ms"))
    span.shortages[line.text("shortage")] += 1
    call = _Call(pool, at_s - call_s, at_s, tuple(line.values("requests")))
    for request_id in call.requests:
        requests[request_id].calls.append(call)


def _summarize(report: StageReport, request: _Request) -> None:
    for call in request.calls:
        # A call's time is divided equally among the requests it served.
        share_s = (call.end - call.begin) / len(call.requests)
        total_s = report.spent_s.get(request.outcome, 0.0)
        report.spent_s[request.outcome] = total_s + share_s
    if not request.route:
        return
    summary = report.routes.setdefault(request.route, RouteSummary())
    summary.outcomes[request.outcome] += 1
    if request.sent and request.calls:
        summary.staged_s.append(request.sent - request.received)
    if request.ended and not request.sent:
        summary.refused_s.append(request.ended - request.received)
    ready_at = request.received
    for call in sorted(request.calls, key=lambda call: call.begin):
        summary.waits_s.setdefault(call.pool, []).append(
            max(0.0, call.begin - ready_at)
        )
        summary.calls_s.setdefault(call.pool, []).append(call.end - call.begin)
        ready_at = max(ready_at, call.end)
