"""Scripts of a soak run's endpoints, which inject faults and record executions."""

import itertools
import json
import time
from collections import Counter

from amaranthtally.adapter import headers as header_names
from tests.gateway.fake_endpoint import (
    STREAM_END,
    Reset,
    complete_response,
    http_chunk,
    not_executed_response,
    response_head,
    stream_response_head,
)

EVENTS = 6
# Number of pieces of each of the two stages before the engine. The engine gets one
# input handle for each piece of the second stage.
PIECES = (1, 2)
# Well below the time-out of the routes, as stages come before an engine, in seconds.
MAX_PAUSE_S = 1.0


def events_of(key, version, first=1):
    """Return the events of the stream for a key, from number ``first``."""
    return [
        b"id: %d\ndata: %s/%s/%d\n\n" % (n, key.encode(), version.encode(), n)
        for n in range(first, EVENTS + 1)
    ]


class RunRecords:
    """
    The number of runs of each request, and the requests that came with wrong inputs.

    ``piece_of_handle`` maps each handle that an endpoint returned to the request id and
    the stage of its piece.
    """

    def __init__(self):
        self.runs = Counter()
        self.wrong_inputs = []
        self.serial = itertools.count()
        self.piece_of_handle = {}


class EndpointScript:
    """Serves one endpoint's requests; the next ``faults_left`` fail with ``fault``."""

    def __init__(self, records, kind, version):
        self.records = records
        self.kind = kind
        self.version = version
        self.fault = ""
        self.faults_left = 0
        self.rate = None
        self.backoff_s = 0.0
        self.strays = None
        # Longest time before each part of a response, in seconds, and its draw.
        self.max_pause_s = 0.0
        self.draw = None
        self.arrivals = []
        # Times and ids of requests, and of those that were turned away for a backoff.
        self.received = []
        self.turned_away = []

    def inject_fault(self, fault, count):
        self.fault, self.faults_left = fault, count

    def __call__(self, request):
        if not request.target.endswith("free"):
            self.arrivals.append(time.monotonic())
            self.received.append((time.monotonic(), request.id))
        if self.backoff_s:
            self.turned_away.append((time.monotonic(), request.id))
            return [_asks_backoff(request, self.backoff_s)]
        steps = self._steps(request)
        if self.strays is not None:
            steps = self.strays.add(request, steps)
        return steps if self.rate is None else _with_limit(steps, self.rate)

    def _steps(self, request):
        fault = self._next_fault(request)
        if fault == "refuse":
            return [not_executed_response(request)]
        if request.target.endswith("free"):
            return [complete_response(request, b"{}", signed=False)]
        steps = getattr(self, f"_{self.kind}")(request)
        if fault == "reset before":
            return [Reset]
        if fault == "reset after":
            return [*steps[:-1], Reset]
        if fault == "twice":
            return [*steps, steps[-1]]
        if fault == "hang":
            return [6.0]
        return steps

    def _next_fault(self, request):
        if self.faults_left <= 0 or request.target.endswith("free"):
            return ""
        self.faults_left -= 1
        return self.fault

    def _work(self, request):
        self.records.runs[request.id] += 1
        return [
            0.02 + self._pause_s(),
            complete_response(request, request.id.encode()),
        ]

    def _pieces(self, request):
        results = []
        for entry in json.loads(request.body)["entries"]:
            handle = f"h{next(self.records.serial)}"
            self.records.piece_of_handle[handle] = (entry["id"], entry["phase"])
            inputs = entry.get("inputHandles", [])
            expected = [(entry["id"], 0)] * PIECES[0] if entry["phase"] else []
            if [self.records.piece_of_handle.get(h) for h in inputs] != expected:
                self.records.wrong_inputs.append((entry["id"], inputs))
            results.append({"handle": handle})
        body = json.dumps({"entries": results}).encode()
        return [0.03, complete_response(request, body, signed=False)]

    def _engine(self, request):
        self.records.runs[request.id] += 1
        handles = request.headers[header_names.INPUT_HANDLES.lower()].split(",")
        actual = [self.records.piece_of_handle.get(h) for h in handles]
        if actual != [(request.id, 1)] * PIECES[1] or len(set(handles)) != len(handles):
            self.records.wrong_inputs.append((request.id, handles))
        first = int(request.headers.get("last-event-id", 0)) + 1
        steps = [stream_response_head(request)]
        key = request.headers[header_names.CHUNK_KEY.lower()]
        for event in events_of(key, self.version, first):
            steps += [0.01 + self._pause_s() / EVENTS, http_chunk(event)]
        return [*steps, STREAM_END]

    def _pause_s(self):
        return self.draw.uniform(0.0, self.max_pause_s) if self.draw else 0.0


def slow_down_endpoints(run, draw):
    """Let all endpoints take up to ``MAX_PAUSE_S`` longer, so that stops meet work."""
    for script in run.scripts.values():
        script.max_pause_s, script.draw = MAX_PAUSE_S, draw


def _asks_backoff(request, backoff_s):
    extra = {header_names.NOT_EXECUTED.replace("-", "_"): "1", "Retry_After": backoff_s}
    status = "503 Service Unavailable"
    return response_head(request, status, length=0, signed=False, **extra)


def _with_limit(steps, rate):
    """Return steps whose response names a limit, as the first header."""
    named = f"\r\n{header_names.RATE_LIMIT}: {rate}\r\n".encode()
    first = next((n for n, step in enumerate(steps) if isinstance(step, bytes)), None)
    if first is None:
        return steps
    head = steps[first].replace(b"\r\n", named, 1)
    return [*steps[:first], head, *steps[first + 1 :]]
