"""What stages of requests took and where it went, from the daemons' log lines."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from amaranthtally.operator.log_lines import MS_PER_S, LogLine

__all__ = ["PoolSpan", "RouteSummary", "StageReport", "build_report"]

# What became of a request that no line says the end of.
UNENDED = "no end"


class _Call(NamedTuple):
    """A call with pieces: time stamps in seconds, and the requests it worked for."""

    pool: str
    begin: float
    end: float
    requests: tuple[str, ...]


@dataclass(slots=True)
class PoolSpan:
    """
    Calls to one pool that ended in one span of time.

    ``busy_s`` is the sum of their lengths; ``shortages`` counts why calls had places
    left.
    """

    calls: int = 0
    pieces: int = 0
    places: int = 0
    waiting: int = 0
    busy_s: float = 0.0
    endpoints: set[str] = field(default_factory=set)
    waits_ms: list[float] = field(default_factory=list)
    shortages: Counter[str] = field(default_factory=Counter)


@dataclass(slots=True)
class RouteSummary:
    """
    Requests of one route: how they ended, and where their time went, in seconds.

    ``waits_s`` and ``calls_s`` hold, for each pool, the waits of requests for a call
    and the calls themselves; ``staged_s`` all until its engine was asked, and
    ``refused_s`` the whole time of those that no engine was asked for.
    """

    ends: Counter[str] = field(default_factory=Counter)
    waits_s: dict[str, list[float]] = field(default_factory=dict)
    calls_s: dict[str, list[float]] = field(default_factory=dict)
    staged_s: list[float] = field(default_factory=list)
    refused_s: list[float] = field(default_factory=list)


@dataclass(slots=True)
class StageReport:
    """
    The whole report; ``spans`` by pool and begin of the span in seconds.

    ``spent_s`` is the endpoints' time by what became of the requests it was spent on.
    """

    spans: dict[tuple[str, float], PoolSpan] = field(default_factory=dict)
    routes: dict[str, RouteSummary] = field(default_factory=dict)
    spent_s: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class _Request:
    route: str = ""
    received: float = 0.0
    sent: float = 0.0
    ended: float = 0.0
    end: str = UNENDED
    calls: list[_Call] = field(default_factory=list)


def build_report(lines: Iterable[LogLine], span_s: float) -> StageReport:
    """Build the report from lines of all processes; ``span_s`` parts the time."""
    report = StageReport()
    requests: defaultdict[str, _Request] = defaultdict(_Request)
    ordered = sorted(lines, key=lambda line: line.at)
    start = ordered[0].at.timestamp() if ordered else 0.0
    for line in ordered:
        at = line.at.timestamp() - start
        if line.event == "pieces_ended":
            _take_call(report, requests, line, at, span_s)
        elif line.event in _TAKERS:
            _TAKERS[line.event](requests[line.text("request_id")], line, at)
    for request in requests.values():
        _summarize(report, request)
    return report


def _received(request: _Request, line: LogLine, at: float) -> None:
    request.route = line.text("route")
    request.received = at


def _sent(request: _Request, line: LogLine, at: float) -> None:
    request.sent = request.sent or at


def _ended(request: _Request, line: LogLine, at: float) -> None:
    request.ended = at
    reason = line.text("reason")
    request.end = line.text("outcome") + (f" {reason}" if reason else "")


def _abandoned(request: _Request, line: LogLine, at: float) -> None:
    request.ended = at
    request.end = "abandoned"


_TAKERS = {
    "request_received": _received,
    "attempt_sent": _sent,
    "request_ended": _ended,
    "request_abandoned": _abandoned,
}


def _take_call(
    report: StageReport,
    requests: defaultdict[str, _Request],
    line: LogLine,
    at: float,
    span_s: float,
) -> None:
    took_s = line.number("ms") / MS_PER_S
    pool = line.text("pool")
    span = report.spans.setdefault((pool, at // span_s * span_s), PoolSpan())
    span.calls += 1
    span.pieces += int(line.number("pieces"))
    span.places += int(line.number("places"))
    span.waiting += int(line.number("waiting"))
    span.busy_s += took_s
    span.endpoints.add(line.text("endpoint"))
    span.waits_ms.append(line.number("waited_ms"))
    span.shortages[line.text("shortage")] += 1
    call = _Call(pool, at - took_s, at, tuple(line.names("requests")))
    for request_id in call.requests:
        requests[request_id].calls.append(call)


def _summarize(report: StageReport, request: _Request) -> None:
    for call in request.calls:
        share_s = (call.end - call.begin) / len(call.requests)
        spent_s = report.spent_s.get(request.end, 0.0)
        report.spent_s[request.end] = spent_s + share_s
    if not request.route:
        return
    summary = report.routes.setdefault(request.route, RouteSummary())
    summary.ends[request.end] += 1
    if request.sent and request.calls:
        summary.staged_s.append(request.sent - request.received)
    if request.ended and not request.sent:
        summary.refused_s.append(request.ended - request.received)
    ready = request.received
    for call in sorted(request.calls, key=lambda call: call.begin):
        summary.waits_s.setdefault(call.pool, []).append(max(0.0, call.begin - ready))
        summary.calls_s.setdefault(call.pool, []).append(call.end - call.begin)
        ready = max(ready, call.end)
