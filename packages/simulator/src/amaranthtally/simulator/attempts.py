"""The attempts of one entry: sent to endpoints, heard of, withdrawn."""

from collections.abc import Callable
from dataclasses import dataclass, field

from amaranthtally.policy import (
    Action,
    AttemptId,
    AttemptOutcome,
    AttemptResult,
    Cancel,
    LoadReport,
    Planner,
    Send,
    StoredResult,
)
from amaranthtally.simulator.processes import Process
from amaranthtally.simulator.requests import Request
from amaranthtally.simulator.servers import AnsweringServer, Attempt, Server

__all__ = ["Attempts", "LiveRequest"]

# What an entry waits for a connection that nobody answers, in seconds.
CONNECT_TIMEOUT_S = 0.5
UNREACHABLE = AttemptResult(AttemptOutcome.NOT_RUN, unreachable=True)


@dataclass(slots=True)
class LiveRequest:
    """A request that an entry has, its attempts, and the events that came."""

    request: Request
    attempts: dict[AttemptId, tuple[Server, Attempt]] = field(default_factory=dict)
    events: int = 0


class Attempts:
    """
    Carries out what a planner decides on attempts, and tells it what came of them.

    ``firsts`` counts first attempts, ``paid_retries`` those after a failure.
    """

    def __init__(
        self,
        process: Process,
        planner: Planner,
        live: dict[str, LiveRequest],
        carry_out: Callable[[list[Action]], None],
        on_begin: Callable[[Request], None],
    ) -> None:
        self.firsts = 0
        self.paid_retries = 0
        self._process = process
        self._clock = process.clock
        self._planner = planner
        self._live = live
        self._carry_out = carry_out
        self._on_begin = on_begin

    def send(self, send: Send, server: Server | None) -> None:
        """Send an attempt; ``None`` where its endpoint is registered no more."""
        name = send.attempt
        live = self._live[name.request_id]
        self.firsts += name.number <= 1
        if server is None:
            self._process.later(0.0, lambda: self.ended(name, UNREACHABLE))
            return
        inputs = self._planner.inputs_of(name.request_id)
        attempt = self._new_attempt(send, live.request, server, inputs)
        live.attempts[name] = (server, attempt)
        if self._process.reaches_server(server):
            self._process.send_to(server.place, lambda: self._arrive(server, attempt))
        else:
            self._process.later(
                CONNECT_TIMEOUT_S, lambda: self.ended(name, UNREACHABLE)
            )

    def cancel(self, cancel: Cancel) -> None:
        """Withdraw an attempt whose answer is no longer wanted."""
        live = self._live.get(cancel.attempt.request_id)
        found = live.attempts.pop(cancel.attempt, None) if live else None
        if found is not None:
            self._withdraw(*found)

    def leave(self, live: LiveRequest) -> None:
        """Withdraw all attempts of a request that has ended."""
        for server, attempt in live.attempts.values():
            self._withdraw(server, attempt)
        live.attempts.clear()

    def ended(self, name: AttemptId, result: AttemptResult) -> None:
        """Tell the planner how an attempt ended, unless it is withdrawn."""
        live = self._live.get(name.request_id)
        if live is None or live.attempts.pop(name, None) is None:
            return
        if result.outcome is AttemptOutcome.LOST:
            result = _lost(live.request)
        retries = self._planner.counters.retries
        self._carry_out(self._planner.reply(self._clock.now, name, result))
        if result.outcome is AttemptOutcome.FAILED:
            self.paid_retries += self._planner.counters.retries - retries

    def _arrive(self, server: Server, attempt: Attempt) -> None:
        if attempt.gone:
            return
        if not server.up:
            self._process.hear_from(server, lambda: self.ended(attempt.id, UNREACHABLE))
        elif isinstance(server, AnsweringServer):
            server.run(attempt)

    def _new_attempt(
        self,
        send: Send,
        request: Request,
        server: Server,
        inputs: tuple[StoredResult, ...],
    ) -> Attempt:
        name = send.attempt
        hear = self._process.hear_from
        return Attempt(
            id=name,
            request=request,
            inputs=tuple(one.handle for one in inputs),
            resume=send.resume_offset,
            on_load=lambda report: hear(server, lambda: self._heard(server, report)),
            on_events=lambda count: hear(server, lambda: self._progress(name, count)),
            on_end=lambda result: hear(server, lambda: self.ended(name, result)),
        )

    def _heard(self, server: Server, report: LoadReport) -> None:
        name = server.endpoint.id
        self._carry_out(self._planner.load_report(self._clock.now, name, report))

    def _progress(self, name: AttemptId, events: int) -> None:
        live = self._live.get(name.request_id)
        if live is None or name not in live.attempts:
            return
        if not live.events:
            self._on_begin(live.request)
        live.events = max(live.events, events)
        self._carry_out(self._planner.progress(self._clock.now, name, live.events))

    def _withdraw(self, server: Server, attempt: Attempt) -> None:
        attempt.gone = True
        if isinstance(server, AnsweringServer) and server.up:
            self._process.send_to(server.place, lambda: server.cancel(attempt))


def _lost(request: Request) -> AttemptResult:
    """Say that nobody can be asked what became of an attempt."""
    is_effect = request.kind.call == "effect"
    return AttemptResult(AttemptOutcome.UNKNOWN if is_effect else AttemptOutcome.FAILED)
