"""Base classes of simulated endpoints, with their state and faults."""

from collections.abc import Callable
from dataclasses import dataclass

from amaranthtally.policy import (
    AttemptId,
    AttemptOutcome,
    AttemptResult,
    Endpoint,
    LoadReport,
)
from amaranthtally.simulator.clock import VirtualClock
from amaranthtally.simulator.requests import Request

__all__ = ["OVERLOADED", "RequestServer", "Attempt", "Server"]

# Result of a full endpoint: the attempt was not run, and may be sent again later.
OVERLOADED = AttemptResult(AttemptOutcome.NOT_RUN, retry_after_s=0.5)


@dataclass(slots=True, eq=False)
class Attempt:
    """
    An attempt at an endpoint.

    ``inputs`` holds the handles of the results that it reads, ``resume_offset`` the
    number of events that the caller already has. ``on_load`` is called with load
    reports, ``on_events`` with the number of events of the stream, and ``on_end`` with
    the result. ``is_cancelled`` is true after the entry has cancelled it.
    """

    id: AttemptId
    request: Request
    inputs: tuple[str, ...]
    resume_offset: int
    on_load: Callable[[LoadReport], None]
    on_events: Callable[[int], None]
    on_end: Callable[[AttemptResult], None]
    is_cancelled: bool = False


class Server:
    """
    A simulated endpoint.

    ``is_running`` is false while its process is down, ``is_unreachable`` true while no
    messages reach it. ``slowdown`` multiplies the duration of its work.
    ``drops_responses`` is true while connections break before the response.
    """

    def __init__(self, clock: VirtualClock, endpoint: Endpoint) -> None:
        self.clock = clock
        self.endpoint = endpoint
        self.is_running = True
        self.is_unreachable = False
        self.slowdown = 1.0
        self.drops_responses = False
        self._deferred: list[Callable[[], None]] | None = None
        self._crash_count = 0

    @property
    def data_centre(self) -> str:
        """The endpoint's data centre."""
        return self.endpoint.data_centre

    def hang(self) -> None:
        """Accept work, but finish none until ``resume``."""
        self._deferred = []

    def resume(self) -> None:
        """Run the callbacks that became due meanwhile."""
        due, self._deferred = self._deferred or [], None
        for callback in due:
            callback()

    def crash(self) -> None:
        """Terminate the process and discard its state."""
        self.is_running = False
        self._crash_count += 1
        self._deferred = None
        self.discard_state()

    def start(self) -> None:
        """Start the process again, with empty memory."""
        self.is_running = True

    def discard_state(self) -> None:
        """Discard all attempts or calls, and all data in memory."""
        raise NotImplementedError

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay in seconds, unless the process crashes first."""
        crash_count = self._crash_count

        def due() -> None:
            if self._crash_count != crash_count:
                return
            if self._deferred is not None:
                self._deferred.append(due)
            else:
                callback()

        self.clock.after(delay_s, due)


class RequestServer(Server):
    """An endpoint that serves requests."""

    def run(self, attempt: Attempt) -> None:
        """Start an attempt, or refuse it."""
        raise NotImplementedError

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt whose response is no longer needed."""
        raise NotImplementedError

    def report(self, running: int, queued: int, limit: int) -> LoadReport:
        """Return a report of the endpoint's load."""
        return LoadReport(
            incarnation=self.endpoint.incarnation,
            running=running,
            queued=queued,
            limit=limit,
            service_s=0.0,
            backlog_s=0.0,
            leaving=False,
        )
