"""Endpoints of a soak: they misbehave when told to and keep records of what ran."""

import itertools
import json
from collections import Counter

from amaranthtally.adapter import headers as names
from tests.gateway.fake_endpoint import (
    STREAM_END,
    Reset,
    complete_response,
    http_chunk,
    not_executed_response,
    stream_response_head,
)

EVENTS = 6
# Pieces of the two stages of a streamed request, and its handles at the engine.
PIECES = (1, 2)


def events_of(request_id, first=1):
    """Return the events of a request's stream from one on."""
    return [
        b"id: %d\ndata: %s/%d\n\n" % (n, request_id.encode(), n)
        for n in range(first, EVENTS + 1)
    ]


class Records:
    """What ran where, and what was given to whom."""

    def __init__(self):
        self.runs = Counter()
        self.wrong_inputs = []
        self.serial = itertools.count()
        self.made_for = {}


class Script:
    """Answers one endpoint's requests; ``fault`` is spent on the next few."""

    def __init__(self, records, kind):
        self.records = records
        self.kind = kind
        self.fault = ""
        self.left = 0

    def break_next(self, fault, count):
        self.fault, self.left = fault, count

    def __call__(self, request):
        fault = self._take_fault(request)
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

    def _take_fault(self, request):
        if self.left <= 0 or request.target.endswith("free"):
            return ""
        self.left -= 1
        return self.fault

    def _work(self, request):
        self.records.runs[request.id] += 1
        return [0.02, complete_response(request, request.id.encode())]

    def _pieces(self, request):
        made = []
        for entry in json.loads(request.body)["entries"]:
            handle = f"h{next(self.records.serial)}"
            self.records.made_for[handle] = (entry["id"], entry["phase"])
            inputs = entry.get("inputHandles", [])
            wanted = [(entry["id"], 0)] * PIECES[0] if entry["phase"] else []
            if [self.records.made_for.get(h) for h in inputs] != wanted:
                self.records.wrong_inputs.append((entry["id"], inputs))
            made.append({"handle": handle})
        body = json.dumps({"entries": made}).encode()
        return [0.03, complete_response(request, body, signed=False)]

    def _engine(self, request):
        self.records.runs[request.id] += 1
        handles = request.headers[names.INPUT_HANDLES.lower()].split(",")
        given = [self.records.made_for.get(h) for h in handles]
        if given != [(request.id, 1)] * PIECES[1] or len(set(handles)) != len(handles):
            self.records.wrong_inputs.append((request.id, handles))
        first = int(request.headers.get("last-event-id", 0)) + 1
        steps = [stream_response_head(request)]
        for event in events_of(request.id, first):
            steps += [0.01, http_chunk(event)]
        return [*steps, STREAM_END]
