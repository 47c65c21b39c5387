"""A caller's request, and the record of how it ended."""

from dataclasses import dataclass
from enum import Enum

from amaranthtally.simulator.deployment import RequestKind

__all__ = ["Ending", "Request", "RequestRecord"]


class Ending(Enum):
    """How a request ended for its caller."""

    ON_TIME = "on_time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    ABANDONED = "gone"


@dataclass(slots=True, eq=False)
class Request:
    """
    A request from its caller's view; times in seconds.

    ``piece_counts`` holds the number of pieces of each stage, ``prefix`` the ids of the
    prompt segments and ``prefix_sizes`` their sizes in tokens. ``tries`` counts how
    often it was sent, last at ``sent_at``; ``awaits_response`` is false between tries.
    ``first_event_at`` and ``last_event_at`` are the times of the first and the latest
    event of the current try, whose longest gap between two is ``longest_gap_s``.
    ``stage_s`` is the stage time spent on the request.
    """

    id: str
    kind: RequestKind
    arrived_at: float
    piece_counts: tuple[int, ...]
    prefix: tuple[int, ...]
    prefix_sizes: tuple[int, ...]
    output_tokens: int
    tries: int = 0
    sent_at: float = 0.0
    awaits_response: bool = False
    first_event_at: float | None = None
    last_event_at: float = 0.0
    longest_gap_s: float = 0.0
    stage_s: float = 0.0

    @property
    def deadline(self) -> float:
        """The time at which the caller disconnects."""
        return self.arrived_at + self.kind.deadline_s

    @property
    def objective(self) -> float:
        """The time after which a response is late."""
        return self.arrived_at + self.kind.objective_s

    @property
    def try_id(self) -> str:
        """The id of the current try, different each time the request is sent."""
        return f"{self.id}.{self.tries}"


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """How a request ended, its worth, what it earned and the stage time spent on it."""

    kind: str
    ending: Ending
    arrived_at: float
    ended_at: float
    worth: float
    earned: float
    tries: int
    stage_s: float = 0.0
