"""One request of a caller, and how it ended."""

from dataclasses import dataclass
from enum import Enum

from amaranthtally.simulator.deployment import Kind

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
    A request as its caller knows it; times are time stamps in seconds.

    ``counts`` are the pieces of each stage, ``prefix`` the parts of its prompt with
    their ``sizes`` in tokens. ``tries`` counts how often it was sent, last at
    ``sent_at``; ``is_waiting`` says that it waits for an answer now, and ``began_at``
    is when its first event came.
    """

    id: str
    kind: Kind
    arrived_at: float
    counts: tuple[int, ...]
    prefix: tuple[int, ...]
    sizes: tuple[int, ...]
    tokens: int
    tries: int = 0
    sent_at: float = 0.0
    is_waiting: bool = False
    began_at: float | None = None
    stage_s: float = 0.0

    @property
    def deadline(self) -> float:
        """When its caller leaves."""
        return self.arrived_at + self.kind.deadline_s

    @property
    def objective(self) -> float:
        """When its answer is late."""
        return self.arrived_at + self.kind.objective_s

    @property
    def try_id(self) -> str:
        """Its id at entries, another one each time it is sent."""
        return f"{self.id}.{self.tries}"


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """The end of a request: what it was worth, and what was spent on it."""

    kind: str
    ending: Ending
    arrived_at: float
    ended_at: float
    worth: float
    earned: float
    tries: int
    stage_s: float = 0.0
