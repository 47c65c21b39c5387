"""What every endpoint of a deployment shares: its place, its state and its faults."""

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

__all__ = ["FULL", "AnsweringServer", "Attempt", "Server"]

# What a full endpoint answers: it was not run, and may be sent again after a time.
FULL = AttemptResult(AttemptOutcome.NOT_RUN, retry_after_s=0.5)


@dataclass(slots=True, eq=False)
class Attempt:
    """
    An attempt as an endpoint has it.

    ``inputs`` are handles of results that it reads, ``resume`` the events that its
    caller has. ``on_load`` is told a report, ``on_events`` how many events of its
    stream there are, ``on_end`` how it ended. ``gone`` says that its entry has left.
    """

    id: AttemptId
    request: Request
    inputs: tuple[str, ...]
    resume: int
    on_load: Callable[[LoadReport], None]
    on_events: Callable[[int], None]
    on_end: Callable[[AttemptResult], None]
    gone: bool = False


class Server:
    """
    An endpoint on the virtual clock.

    ``up`` is false while its process is gone, ``dark`` true while no message comes
    through, ``slowness`` how many times as long as usual its work takes, and
    ``loses_answers`` true while connections break before an answer.
    """

    def __init__(self, clock: VirtualClock, endpoint: Endpoint) -> None:
        self.clock = clock
        self.endpoint = endpoint
        self.up = True
        self.dark = False
        self.slowness = 1.0
        self.loses_answers = False
        self._hung: list[Callable[[], None]] | None = None
        self._starts = 0

    @property
    def place(self) -> str:
        """Its data centre."""
        return self.endpoint.data_centre

    def hang(self) -> None:
        """Take work and finish none, until it is thawed."""
        self._hung = []

    def thaw(self) -> None:
        """Finish what was due meanwhile."""
        due, self._hung = self._hung or [], None
        for work in due:
            work()

    def crash(self) -> None:
        """Lose the process and all that it holds."""
        self.up = False
        self._starts += 1
        self._hung = None
        self.lose_all()

    def start(self) -> None:
        """Come back with nothing in memory."""
        self.up = True

    def lose_all(self) -> None:
        """Drop what the process held."""
        raise NotImplementedError

    def after(self, delay_s: float, work: Callable[[], None]) -> None:
        """Do something later, unless the process is gone by then."""
        start = self._starts

        def due() -> None:
            if self._starts != start:
                return
            if self._hung is not None:
                self._hung.append(due)
            else:
                work()

        self.clock.after(delay_s, due)


class AnsweringServer(Server):
    """An endpoint that answers requests."""

    def run(self, attempt: Attempt) -> None:
        """Run an attempt, or refuse it."""
        raise NotImplementedError

    def cancel(self, attempt: Attempt) -> None:
        """Drop an attempt whose answer is no longer wanted."""
        raise NotImplementedError

    def report(self, running: int, queued: int, limit: int) -> LoadReport:
        """Return what the endpoint says of its load."""
        return LoadReport(
            incarnation=self.endpoint.incarnation,
            running=running,
            queued=queued,
            limit=limit,
            service_s=0.0,
            backlog_s=0.0,
            leaving=False,
        )
