"""An entry on the virtual clock: carries out a planner's actions."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol

from amaranthtally.operator.replay.errors import DoubleEndError, UnknownActionError
from amaranthtally.operator.replay.ledger import Ledger
from amaranthtally.operator.replay.network import Network
from amaranthtally.operator.replay.sidecar import Call, FakeSidecar
from amaranthtally.operator.replay.trace import TraceArrival
from amaranthtally.policy import (
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

__all__ = ["Decider", "EntryReplay"]

TICK_S = 0.01


class Decider(Protocol):
    """What an entry asks of its planner; the policy's ``Planner`` is one."""

    def request_arrived(self, now: float, arrival: Arrival) -> list[Action]:
        """Admit or refuse a request."""

    def reply(
        self, now: float, attempt: AttemptId, result: AttemptResult
    ) -> list[Action]:
        """Take the end of an attempt."""

    def progress(self, now: float, attempt: AttemptId, chunks: int) -> list[Action]:
        """Take the progress of a streamed stage."""

    def load_report(
        self, now: float, endpoint: str, report: LoadReport
    ) -> list[Action]:
        """Take an endpoint's load."""

    def cache_event(self, now: float, endpoint: str, event: CacheEvent) -> list[Action]:
        """Take an engine's word of its prefix cache."""

    def tick(self, now: float) -> list[Action]:
        """Act on the passing of time."""


@dataclass(slots=True)
class _Flight:
    endpoint: str
    size: int


@dataclass(slots=True)
class _Live:
    arrival: Arrival
    flights: dict[AttemptId, _Flight]
    output_bytes: int = 0


class EntryReplay:
    """Does what ``Executor`` of the daemon does, without I/O."""

    def __init__(
        self,
        region: str,
        planner: Decider,
        network: Network,
        fleet: Mapping[str, FakeSidecar],
        ledger: Ledger,
    ) -> None:
        self._region = region
        self._planner = planner
        self._network = network
        self._clock = network.clock
        self._fleet = fleet
        self._ledger = ledger
        self._live: dict[str, _Live] = {}
        self._carry_out_table: dict[type, Callable[[Any], None]] = {
            Send: self._send,
            Cancel: self._cancel,
            QueryAttempt: self._ask,
            PollLoad: self._greet,
            Answer: self._answer,
            Refuse: self._refuse,
        }

    @property
    def region(self) -> str:
        """The entry's region."""
        return self._region

    def greet(self) -> None:
        """Take the load that each sidecar greets with."""
        for name, sidecar in self._fleet.items():
            self._carry_out(self._planner.load_report(0.0, name, sidecar.load()))

    def hear_cache(self, sidecar: FakeSidecar, event: CacheEvent) -> None:
        """Take an engine's cache event, unless a cut keeps it."""
        if self._network.reaches(self._region, sidecar.plan):
            name = sidecar.plan.id
            now = self._clock.now
            self._carry_out(self._planner.cache_event(now, name, event))

    def arrive(self, recorded: TraceArrival, pipeline: Pipeline) -> None:
        """Hand a recorded request to the planner."""
        now = self._clock.now
        arrival = Arrival(
            request_id=recorded.id,
            account=recorded.account,
            pipeline=pipeline,
            deadline=now + pipeline.deadline_s,
            input_bytes=recorded.input_bytes,
            prefix=tuple(recorded.prefix),
        )
        self._live[recorded.id] = _Live(arrival, {})
        self._ledger.open(recorded, arrival.deadline)
        self._carry_out(self._planner.request_arrived(now, arrival))
        record = self._ledger.request(recorded.id)
        record.admitted = record.outcome is None

    def tick(self) -> None:
        """Let the planner act on the passing of time, again and again."""
        self._carry_out(self._planner.tick(self._clock.now))
        self._clock.after(TICK_S, self.tick)

    def lose_region(self, region: str) -> None:
        """Lose the attempts whose endpoint is across a cut around ``region``."""
        crossing = [
            attempt
            for live in self._live.values()
            for attempt, flight in live.flights.items()
            if (self._fleet[flight.endpoint].plan.region == region)
            != (self._region == region)
        ]
        for attempt in crossing:
            self._ended(attempt, AttemptResult(AttemptOutcome.LOST))

    # Actions

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            handler = self._carry_out_table.get(type(action))
            if handler is None:
                raise UnknownActionError(type(action))
            handler(action)

    def _send(self, send: Send) -> None:
        live = self._find(send.attempt.request_id, "Send")
        sidecar = self._fleet[send.endpoint]
        size = live.output_bytes or live.arrival.input_bytes
        live.flights[send.attempt] = _Flight(send.endpoint, size)
        self._count(send)
        if not self._network.reaches(self._region, sidecar.plan):
            lost = partial(self._ended, send.attempt, self._lost())
            self._clock.after(self._network.notice_s, lost)
            return
        self._count_bytes(send.attempt, sidecar, size)
        call = self._build_call(live, send, sidecar)
        self._clock.after(self._delay(sidecar), partial(sidecar.run, call))

    def _cancel(self, cancel: Cancel) -> None:
        live = self._live.get(cancel.attempt.request_id)
        if live is not None and live.flights.pop(cancel.attempt, None) is not None:
            self._withdraw(cancel.attempt, cancel.endpoint)

    def _ask(self, ask: QueryAttempt) -> None:
        live = self._find(ask.attempt.request_id, "QueryAttempt")
        live.flights[ask.attempt] = _Flight(ask.endpoint, 0)
        sidecar = self._fleet[ask.endpoint]
        if not self._network.reaches(self._region, sidecar.plan):
            unknown = partial(
                self._ended, ask.attempt, AttemptResult(AttemptOutcome.UNKNOWN)
            )
            self._clock.after(self._network.notice_s, unknown)
            return
        reply = partial(self._reply_from, sidecar, ask.attempt)
        outcome = partial(
            sidecar.outcome, ask.attempt.request_id, ask.attempt.stage, reply
        )
        self._clock.after(self._delay(sidecar), outcome)

    def _greet(self, greet: PollLoad) -> None:
        sidecar = self._fleet[greet.endpoint]
        if self._network.reaches(self._region, sidecar.plan):
            self._clock.after(2 * self._delay(sidecar), partial(self._greeted, sidecar))

    def _greeted(self, sidecar: FakeSidecar) -> None:
        now = self._clock.now
        self._carry_out(self._planner.load_report(now, sidecar.plan.id, sidecar.load()))

    def _answer(self, answer: Answer) -> None:
        self._end(answer.request_id, "Answer")
        self._ledger.end(answer.request_id, self._clock.now)

    def _refuse(self, refusal: Refuse) -> None:
        self._end(refusal.request_id, "Refuse")
        self._ledger.end(
            refusal.request_id, self._clock.now, refusal.outcome, refusal.reason
        )

    def _end(self, request_id: str, action: str) -> None:
        live = self._find(request_id, action)
        del self._live[request_id]
        for attempt, flight in live.flights.items():
            self._withdraw(attempt, flight.endpoint)

    def _find(self, request_id: str, action: str) -> _Live:
        live = self._live.get(request_id)
        if live is None:
            raise DoubleEndError(request_id, action)
        return live

    # Attempts

    def _build_call(self, live: _Live, send: Send, sidecar: FakeSidecar) -> Call:
        stage = live.arrival.pipeline.stages[send.attempt.stage]
        return Call(
            attempt=send.attempt,
            account=live.arrival.account,
            deadline=send.deadline,
            priority=live.arrival.priority,
            repeatable=stage.repeatable,
            prefix=live.arrival.prefix if stage.streams else (),
            resume_chunks=send.resume_offset,
            reply=partial(self._reply_from, sidecar, send.attempt),
            progress=partial(self._progress_from, sidecar, send.attempt),
        )

    def _reply_from(
        self, sidecar: FakeSidecar, attempt: AttemptId, result: AttemptResult
    ) -> None:
        if not self._network.reaches(self._region, sidecar.plan):
            return
        load = sidecar.load()
        self._count_bytes(attempt, sidecar, result.output_bytes)

        def take() -> None:
            now = self._clock.now
            self._carry_out(self._planner.load_report(now, sidecar.plan.id, load))
            self._ended(attempt, result)

        self._clock.after(self._delay(sidecar), take)

    def _lost(self) -> AttemptResult:
        if self._network.cut_unnoticed:
            return AttemptResult(AttemptOutcome.LOST)
        return AttemptResult(AttemptOutcome.NOT_RUN, unreachable=True)

    def _progress_from(
        self, sidecar: FakeSidecar, attempt: AttemptId, chunks: int
    ) -> None:
        if not self._network.reaches(self._region, sidecar.plan):
            return

        def take() -> None:
            live = self._live.get(attempt.request_id)
            if live is not None and attempt in live.flights:
                now = self._clock.now
                self._carry_out(self._planner.progress(now, attempt, chunks))

        self._clock.after(self._delay(sidecar), take)

    def _ended(self, attempt: AttemptId, result: AttemptResult) -> None:
        live = self._live.get(attempt.request_id)
        if live is None or live.flights.pop(attempt, None) is None:
            return
        if result.outcome is AttemptOutcome.FINISHED:
            live.output_bytes = result.output_bytes
            self._ledger.request(attempt.request_id).useful.add(attempt)
        self._carry_out(self._planner.reply(self._clock.now, attempt, result))

    def _withdraw(self, attempt: AttemptId, endpoint: str) -> None:
        sidecar = self._fleet[endpoint]
        if self._network.reaches(self._region, sidecar.plan):
            self._clock.after(self._delay(sidecar), partial(sidecar.cancel, attempt))

    def _delay(self, sidecar: FakeSidecar) -> float:
        return self._network.delay_s(self._region, sidecar.plan)

    # Counts

    def _count(self, send: Send) -> None:
        self._ledger.sends += 1
        if send.hedge:
            self._ledger.hedges += 1
        elif send.attempt.number > 1:
            self._ledger.retries += 1

    def _count_bytes(self, attempt: AttemptId, sidecar: FakeSidecar, size: int) -> None:
        if sidecar.plan.region != self._region:
            self._ledger.note_bytes(attempt.request_id, sidecar.pool.name, size)
