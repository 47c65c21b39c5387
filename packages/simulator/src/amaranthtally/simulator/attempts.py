"""Sends an entry's attempts to endpoints, reports their outcomes and cancels them."""

from collections.abc import Callable
from dataclasses import dataclass, field

from amaranthtally.policy import (
    UNREACHABLE,
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
from amaranthtally.simulator.servers import Attempt, RequestServer, Server

__all__ = ["AttemptExecutor", "LiveRequest"]

# Connect timeout of a call to an unreachable endpoint, in seconds.
CONNECT_TIMEOUT_S = 0.5


@dataclass(slots=True)
class LiveRequest:
    """A request in progress at an entry: its attempts and its event count."""

    request: Request
    attempts: dict[AttemptId, tuple[Server, Attempt]] = field(default_factory=dict)
    event_count: int = 0


class AttemptExecutor:
    """
    Executes a planner's attempt actions and reports the outcomes to the planner.

    ``first_attempts`` counts first attempts, ``failure_retries`` the retries that were
    sent after an attempt failed.
    """

    def __init__(
        self,
        process: Process,
        planner: Planner,
        live: dict[str, LiveRequest],
        execute_actions: Callable[[list[Action]], None],
        on_event: Callable[[Request], None],
    ) -> None:
        self.first_attempts = 0
        self.failure_retries = 0
        self._process = process
        self._clock = process.clock
        self._planner = planner
        self._live = live
        self._execute_actions = execute_actions
        self._on_event = on_event

    def send(self, send: Send, server: Server | None) -> None:
        """Send an attempt; ``server`` is ``None`` if the endpoint is not registered."""
        attempt_id = send.attempt
        live = self._live[attempt_id.request_id]
        self.first_attempts += attempt_id.number <= 1
        if server is None:
            self._process.call_later(0.0, lambda: self.ended(attempt_id, UNREACHABLE))
            return
        inputs = self._planner.inputs_of(attempt_id.request_id)
        attempt = self._new_attempt(send, live.request, server, inputs)
        live.attempts[attempt_id] = (server, attempt)
        if self._process.reaches_server(server):
            self._process.send_to(
                server.data_centre, lambda: self._arrive(server, attempt)
            )
        else:
            self._process.call_later(
                CONNECT_TIMEOUT_S, lambda: self.ended(attempt_id, UNREACHABLE)
            )

    def cancel(self, cancel: Cancel) -> None:
        """Cancel an attempt whose response is no longer needed."""
        live = self._live.get(cancel.attempt.request_id)
        sent = live.attempts.pop(cancel.attempt, None) if live else None
        if sent is not None:
            self._cancel_at_server(*sent)

    def cancel_all(self, live: LiveRequest) -> None:
        """Cancel all attempts of a request that has ended."""
        for server, attempt in live.attempts.values():
            self._cancel_at_server(server, attempt)
        live.attempts.clear()

    def ended(self, attempt_id: AttemptId, result: AttemptResult) -> None:
        """Report an attempt's outcome to the planner, unless it was cancelled."""
        live = self._live.get(attempt_id.request_id)
        if live is None or live.attempts.pop(attempt_id, None) is None:
            return
        if result.outcome is AttemptOutcome.LOST:
            result = _lost_result(live.request)
        retries = self._planner.counters.retries
        self._execute_actions(self._planner.reply(self._clock.now, attempt_id, result))
        if result.outcome is AttemptOutcome.FAILED:
            self.failure_retries += self._planner.counters.retries - retries

    def _arrive(self, server: Server, attempt: Attempt) -> None:
        if attempt.is_cancelled:
            return
        if not server.is_running:
            self._process.receive_from(
                server, lambda: self.ended(attempt.id, UNREACHABLE)
            )
        elif isinstance(server, RequestServer):
            server.run(attempt)

    def _new_attempt(
        self,
        send: Send,
        request: Request,
        server: Server,
        inputs: tuple[StoredResult, ...],
    ) -> Attempt:
        attempt_id = send.attempt
        receive = self._process.receive_from
        return Attempt(
            id=attempt_id,
            request=request,
            inputs=tuple(result.handle for result in inputs),
            resume_offset=send.resume_offset,
            on_load=lambda report: receive(
                server, lambda: self._load_reported(server, report)
            ),
            on_events=lambda count: receive(
                server, lambda: self._progress(attempt_id, count)
            ),
            on_end=lambda result: receive(
                server, lambda: self.ended(attempt_id, result)
            ),
        )

    def _load_reported(self, server: Server, report: LoadReport) -> None:
        endpoint_id = server.endpoint.id
        self._execute_actions(
            self._planner.load_report(self._clock.now, endpoint_id, report)
        )

    def _progress(self, attempt_id: AttemptId, event_count: int) -> None:
        live = self._live.get(attempt_id.request_id)
        if live is None or attempt_id not in live.attempts:
            return
        if event_count > live.event_count:
            self._on_event(live.request)
        live.event_count = max(live.event_count, event_count)
        self._execute_actions(
            self._planner.progress(self._clock.now, attempt_id, live.event_count)
        )

    def _cancel_at_server(self, server: Server, attempt: Attempt) -> None:
        attempt.is_cancelled = True
        if isinstance(server, RequestServer) and server.is_running:
            self._process.send_to(server.data_centre, lambda: server.cancel(attempt))


def _lost_result(request: Request) -> AttemptResult:
    """Return the outcome of a lost attempt: unknown if it may have had an effect."""
    is_effect = request.kind.call == "effect"
    return AttemptResult(AttemptOutcome.UNKNOWN if is_effect else AttemptOutcome.FAILED)
