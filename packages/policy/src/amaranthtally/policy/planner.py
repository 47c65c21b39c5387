"""Decisions of an entry: admission, routing, retries, answers."""

from dataclasses import dataclass, field

from amaranthtally.policy.actions import (
    Action,
    Answer,
    Ask,
    Outcome,
    Reason,
    Refuse,
    Send,
)
from amaranthtally.policy.events import Arrival, Fate, LoadReport, StageResult
from amaranthtally.policy.model import AttemptId, Endpoint, PolicySettings, Stage

__all__ = ["Planner"]

MAX_ATTEMPTS = 3
DEFAULT_RETRY_AFTER_S = 1.0


@dataclass(slots=True)
class _Request:
    arrival: Arrival
    stage: int = 0
    attempts: int = 0
    started: bool = False
    chunks: int = 0
    live: dict[AttemptId, str] = field(default_factory=dict)


class Planner:
    """One entry's decisions. Each method takes the time and returns actions."""

    def __init__(self, settings: PolicySettings) -> None:
        self._settings = settings
        self._requests: dict[str, _Request] = {}
        self._loads: dict[str, LoadReport] = {}
        self._outstanding: dict[str, int] = {}
        self._leaving: set[str] = set()

    @property
    def in_flight(self) -> int:
        """Requests admitted and not yet ended."""
        return len(self._requests)

    # Events

    def request_arrived(self, now: float, arrival: Arrival) -> list[Action]:
        """Admit and send the first stage, or refuse."""
        request = _Request(arrival)
        self._requests[arrival.request_id] = request
        return self._send(now, request)

    def reply(
        self, now: float, attempt: AttemptId, result: StageResult
    ) -> list[Action]:
        """Take the end of an attempt; one that is no longer awaited is dropped."""
        request = self._requests.get(attempt.request_id)
        if request is None or attempt not in request.live:
            return []
        endpoint = request.live.pop(attempt)
        self._outstanding[endpoint] -= 1
        if result.fate is not Fate.NOT_RUN:
            request.started = True
        if result.fate is Fate.FINISHED:
            return self._advance(now, request)
        return self._recover(now, request, attempt, endpoint, result)

    def progress(self, now: float, attempt: AttemptId, chunks: int) -> list[Action]:
        """Note that the caller has ``chunks`` chunks of a streamed stage."""
        request = self._requests.get(attempt.request_id)
        if request is not None and attempt in request.live:
            request.chunks = max(request.chunks, chunks)
        return []

    def load_report(
        self, now: float, endpoint: str, report: LoadReport
    ) -> list[Action]:
        """Take an endpoint's load, from a reply or a greeting."""
        self._loads[endpoint] = report
        if report.leaving:
            self._leaving.add(endpoint)
        else:
            self._leaving.discard(endpoint)
        return []

    def endpoint_leaving(self, now: float, endpoint: str) -> list[Action]:
        """Send nothing new to an endpoint."""
        self._leaving.add(endpoint)
        return []

    def settings_changed(self, now: float, settings: PolicySettings) -> list[Action]:
        """Use newer settings for what comes; live requests keep their pipeline."""
        self._settings = settings
        return []

    def caller_gone(self, now: float, request_id: str) -> list[Action]:
        """Forget a request whose caller has closed the connection."""
        request = self._requests.pop(request_id, None)
        if request is not None:
            for endpoint in request.live.values():
                self._outstanding[endpoint] -= 1
        return []

    def tick(self, now: float) -> list[Action]:
        """End the requests whose deadline has passed."""
        late = [r for r in self._requests.values() if r.arrival.deadline <= now]
        actions: list[Action] = []
        for request in late:
            actions.extend(self._refuse(request, Reason.DEADLINE))
        return actions

    # Steps

    def _advance(self, now: float, request: _Request) -> list[Action]:
        request.stage += 1
        request.attempts = 0
        request.chunks = 0
        if request.stage == len(request.arrival.pipeline.stages):
            del self._requests[request.arrival.request_id]
            return [Answer(request.arrival.request_id)]
        return self._send(now, request)

    def _recover(
        self,
        now: float,
        request: _Request,
        attempt: AttemptId,
        endpoint: str,
        result: StageResult,
    ) -> list[Action]:
        stage = request.arrival.pipeline.stages[request.stage]
        may_resend = stage.repeatable or result.fate is Fate.NOT_RUN
        if result.fate is Fate.LOST and not stage.repeatable:
            request.live[attempt] = endpoint
            self._outstanding[endpoint] += 1
            return [Ask(attempt, endpoint)]
        if may_resend and not result.permanent and request.attempts < MAX_ATTEMPTS:
            return self._send(now, request, avoid=endpoint)
        return self._refuse(request, Reason.STAGE_FAILED, result.retry_after_s)

    def _send(self, now: float, request: _Request, avoid: str = "") -> list[Action]:
        stage = request.arrival.pipeline.stages[request.stage]
        endpoint = self._choose(stage, avoid)
        if endpoint is None:
            return self._refuse(request, Reason.NO_ENDPOINT, DEFAULT_RETRY_AFTER_S)
        request.attempts += 1
        attempt = AttemptId(request.arrival.request_id, request.stage, request.attempts)
        request.live[attempt] = endpoint.id
        self._outstanding[endpoint.id] = self._outstanding.get(endpoint.id, 0) + 1
        return [
            Send(
                attempt,
                endpoint.id,
                request.arrival.deadline,
                resume_offset=request.chunks,
            )
        ]

    def _choose(self, stage: Stage, avoid: str) -> Endpoint | None:
        candidates = [
            e
            for e in self._settings.endpoints.values()
            if e.pool == stage.pool and e.id not in self._leaving
        ]
        preferred = [e for e in candidates if e.id != avoid] or candidates
        if not preferred:
            return None
        return min(
            preferred,
            key=lambda e: (
                self._outstanding.get(e.id, 0),
                e.region != self._settings.region,
                e.id,
            ),
        )

    def _refuse(
        self, request: _Request, reason: Reason, retry_after_s: float = 0.0
    ) -> list[Action]:
        del self._requests[request.arrival.request_id]
        sent = bool(request.live) or request.started
        for endpoint in request.live.values():
            self._outstanding[endpoint] -= 1
        outcome = Outcome.UNKNOWN if sent else Outcome.NOT_RUN
        return [
            Refuse(
                request.arrival.request_id,
                outcome,
                reason,
                retry_after_s or DEFAULT_RETRY_AFTER_S,
            )
        ]
