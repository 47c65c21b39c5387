"""Fake entry on the virtual clock, which executes a planner's actions."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol

from amaranthtally.operator.replay.errors import DoubleEndError, UnknownActionError
from amaranthtally.operator.replay.network import Network
from amaranthtally.operator.replay.recorder import ReplayRecorder
from amaranthtally.operator.replay.sidecar import Call, FakeSidecar
from amaranthtally.operator.replay.trace import TraceArrival
from amaranthtally.policy import (
    UNREACHABLE,
    Action,
    Answer,
    Arrival,
    AttemptId,
    AttemptOutcome,
    AttemptResult,
    CacheEvent,
    Cancel,
    LoadReport,
    Pipeline,
    PollLoad,
    QueryAttempt,
    Refuse,
    Send,
)

__all__ = ["EntryPlanner", "FakeEntry"]

TICK_S = 0.01


class EntryPlanner(Protocol):
    """Interface of an entry's planner; the policy's ``Planner`` implements it."""

    def request_arrived(self, now: float, arrival: Arrival) -> list[Action]:
        """Admit or refuse a request."""

    def reply(
        self, now: float, attempt: AttemptId, result: AttemptResult
    ) -> list[Action]:
        """Handle the result of an attempt."""

    def progress(self, now: float, attempt: AttemptId, chunks: int) -> list[Action]:
        """Handle the progress of a streamed stage: the chunks sent so far."""

    def load_report(
        self, now: float, endpoint: str, report: LoadReport
    ) -> list[Action]:
        """Handle an endpoint's load report."""

    def cache_event(self, now: float, endpoint: str, event: CacheEvent) -> list[Action]:
        """Handle a change of an engine's prefix cache."""

    def tick(self, now: float) -> list[Action]:
        """Handle timers, such as expired deadlines; called every ``TICK_S`` seconds."""


@dataclass(slots=True)
class _LiveAttempt:
    endpoint: str
    size: int


@dataclass(slots=True)
class _LiveRequest:
    arrival: Arrival
    attempts: dict[AttemptId, _LiveAttempt]
    output_bytes: int = 0


class FakeEntry:
    """Stands in for the daemon's ``Executor``, without I/O."""

    def __init__(
        self,
        region: str,
        planner: EntryPlanner,
        network: Network,
        fleet: Mapping[str, FakeSidecar],
        recorder: ReplayRecorder,
    ) -> None:
        self._region = region
        self._planner = planner
        self._network = network
        self._clock = network.clock
        self._fleet = fleet
        self._recorder = recorder
        self._live_requests: dict[str, _LiveRequest] = {}
        self._handlers: dict[type, Callable[[Any], None]] = {
            Send: self._send,
            Cancel: self._cancel,
            QueryAttempt: self._query_attempt,
            PollLoad: self._poll_load,
            Answer: self._answer,
            Refuse: self._refuse,
        }

    @property
    def region(self) -> str:
        """The entry's region."""
        return self._region

    def load_initial_reports(self) -> None:
        """Give the planner the current load of every sidecar."""
        for name, sidecar in self._fleet.items():
            self._execute(self._planner.load_report(0.0, name, sidecar.load()))

    def deliver_cache_event(self, sidecar: FakeSidecar, event: CacheEvent) -> None:
        """Pass an engine's cache event to the planner, unless a cut prevents it."""
        if self._network.is_reachable(self._region, sidecar.plan):
            name = sidecar.plan.id
            now = self._clock.now
            self._execute(self._planner.cache_event(now, name, event))

    def submit(self, recorded: TraceArrival, pipeline: Pipeline) -> None:
        """Submit a recorded request to the planner."""
        now = self._clock.now
        arrival = Arrival(
            request_id=recorded.id,
            account=recorded.account,
            pipeline=pipeline,
            deadline=now + pipeline.deadline_s,
            input_bytes=recorded.input_bytes,
            prefix=tuple(recorded.prefix),
        )
        self._live_requests[recorded.id] = _LiveRequest(arrival, {})
        self._recorder.start_request(recorded, arrival.deadline)
        self._execute(self._planner.request_arrived(now, arrival))
        record = self._recorder.request(recorded.id)
        record.admitted = record.outcome is None

    def tick(self) -> None:
        """Call the planner's ``tick`` now and every ``TICK_S`` seconds."""
        self._execute(self._planner.tick(self._clock.now))
        self._clock.after(TICK_S, self.tick)

    def lose_attempts_across(self, region: str) -> None:
        """End as lost the attempts that cross the cut around ``region``."""
        lost_attempts = [
            attempt
            for live_request in self._live_requests.values()
            for attempt, live_attempt in live_request.attempts.items()
            if (self._fleet[live_attempt.endpoint].plan.region == region)
            != (self._region == region)
        ]
        for attempt in lost_attempts:
            self._finish_attempt(attempt, AttemptResult(AttemptOutcome.LOST))

    # Actions

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            handler = self._handlers.get(type(action))
            if handler is None:
                raise UnknownActionError(type(action))
            handler(action)

    def _send(self, send: Send) -> None:
        live_request = self._require_live(send.attempt.request_id, "Send")
        sidecar = self._fleet[send.endpoint]
        size = live_request.output_bytes or live_request.arrival.input_bytes
        live_request.attempts[send.attempt] = _LiveAttempt(send.endpoint, size)
        self._count_send(send)
        if not self._network.is_reachable(self._region, sidecar.plan):
            report_lost = partial(
                self._finish_attempt, send.attempt, self._unreachable_result()
            )
            self._clock.after(self._network.detection_delay_s, report_lost)
            return
        self._count_region_bytes(send.attempt, sidecar, size)
        call = self._build_call(live_request, send, sidecar)
        self._clock.after(self._delay(sidecar), partial(sidecar.run, call))

    def _cancel(self, cancel: Cancel) -> None:
        live_request = self._live_requests.get(cancel.attempt.request_id)
        if (
            live_request is not None
            and live_request.attempts.pop(cancel.attempt, None) is not None
        ):
            self._cancel_attempt(cancel.attempt, cancel.endpoint)

    def _query_attempt(self, query: QueryAttempt) -> None:
        live_request = self._require_live(query.attempt.request_id, "QueryAttempt")
        live_request.attempts[query.attempt] = _LiveAttempt(query.endpoint, 0)
        sidecar = self._fleet[query.endpoint]
        if not self._network.is_reachable(self._region, sidecar.plan):
            report_unknown = partial(
                self._finish_attempt,
                query.attempt,
                AttemptResult(AttemptOutcome.UNKNOWN),
            )
            self._clock.after(self._network.detection_delay_s, report_unknown)
            return
        reply = partial(self._deliver_reply, sidecar, query.attempt)
        query_outcome = partial(
            sidecar.query_outcome, query.attempt.request_id, query.attempt.stage, reply
        )
        self._clock.after(self._delay(sidecar), query_outcome)

    def _poll_load(self, poll: PollLoad) -> None:
        sidecar = self._fleet[poll.endpoint]
        if self._network.is_reachable(self._region, sidecar.plan):
            self._clock.after(
                2 * self._delay(sidecar), partial(self._apply_load, sidecar)
            )

    def _apply_load(self, sidecar: FakeSidecar) -> None:
        now = self._clock.now
        self._execute(self._planner.load_report(now, sidecar.plan.id, sidecar.load()))

    def _answer(self, answer: Answer) -> None:
        self._remove_request(answer.request_id, "Answer")
        self._recorder.end_request(answer.request_id, self._clock.now)

    def _refuse(self, refusal: Refuse) -> None:
        self._remove_request(refusal.request_id, "Refuse")
        self._recorder.end_request(
            refusal.request_id, self._clock.now, refusal.outcome, refusal.reason
        )

    def _remove_request(self, request_id: str, action: str) -> None:
        live_request = self._require_live(request_id, action)
        del self._live_requests[request_id]
        for attempt, live_attempt in live_request.attempts.items():
            self._cancel_attempt(attempt, live_attempt.endpoint)

    def _require_live(self, request_id: str, action: str) -> _LiveRequest:
        live_request = self._live_requests.get(request_id)
        if live_request is None:
            raise DoubleEndError(request_id, action)
        return live_request

    # Attempts

    def _build_call(
        self, live_request: _LiveRequest, send: Send, sidecar: FakeSidecar
    ) -> Call:
        stage = live_request.arrival.pipeline.stages[send.attempt.stage]
        return Call(
            attempt=send.attempt,
            account=live_request.arrival.account,
            deadline=send.deadline,
            priority=live_request.arrival.priority,
            repeatable=stage.repeatable,
            prefix=live_request.arrival.prefix if stage.streams else (),
            resume_chunks=send.resume_offset,
            reply=partial(self._deliver_reply, sidecar, send.attempt),
            progress=partial(self._deliver_progress, sidecar, send.attempt),
        )

    def _deliver_reply(
        self, sidecar: FakeSidecar, attempt: AttemptId, result: AttemptResult
    ) -> None:
        if not self._network.is_reachable(self._region, sidecar.plan):
            return
        load = sidecar.load()
        self._count_region_bytes(attempt, sidecar, result.output_bytes)

        def deliver() -> None:
            now = self._clock.now
            self._execute(self._planner.load_report(now, sidecar.plan.id, load))
            self._finish_attempt(attempt, result)

        self._clock.after(self._delay(sidecar), deliver)

    def _unreachable_result(self) -> AttemptResult:
        if self._network.is_cut_undetected:
            return AttemptResult(AttemptOutcome.LOST)
        return UNREACHABLE

    def _deliver_progress(
        self, sidecar: FakeSidecar, attempt: AttemptId, chunks: int
    ) -> None:
        if not self._network.is_reachable(self._region, sidecar.plan):
            return

        def deliver() -> None:
            live_request = self._live_requests.get(attempt.request_id)
            if live_request is not None and attempt in live_request.attempts:
                now = self._clock.now
                self._execute(self._planner.progress(now, attempt, chunks))

        self._clock.after(self._delay(sidecar), deliver)

    def _finish_attempt(self, attempt: AttemptId, result: AttemptResult) -> None:
        live_request = self._live_requests.get(attempt.request_id)
        if live_request is None or live_request.attempts.pop(attempt, None) is None:
            return
        if result.outcome is AttemptOutcome.FINISHED:
            live_request.output_bytes = result.output_bytes
            self._recorder.request(attempt.request_id).useful.add(attempt)
        self._execute(self._planner.reply(self._clock.now, attempt, result))

    def _cancel_attempt(self, attempt: AttemptId, endpoint: str) -> None:
        sidecar = self._fleet[endpoint]
        if self._network.is_reachable(self._region, sidecar.plan):
            self._clock.after(self._delay(sidecar), partial(sidecar.cancel, attempt))

    def _delay(self, sidecar: FakeSidecar) -> float:
        return self._network.delay_s(self._region, sidecar.plan)

    # Counts

    def _count_send(self, send: Send) -> None:
        self._recorder.sends += 1
        if send.hedge:
            self._recorder.hedges += 1
        elif send.attempt.number > 1:
            self._recorder.retries += 1

    def _count_region_bytes(
        self, attempt: AttemptId, sidecar: FakeSidecar, size: int
    ) -> None:
        if sidecar.plan.region != self._region:
            self._recorder.note_bytes(attempt.request_id, sidecar.pool.name, size)
