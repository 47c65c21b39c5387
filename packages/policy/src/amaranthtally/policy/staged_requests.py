"""Requests whose pieces are being made, and what follows from an event."""

from dataclasses import dataclass, field

from amaranthtally.policy.actions import Action
from amaranthtally.policy.piece_graph import PieceGraph

__all__ = ["CoordinatorEffects", "StagedRequest"]


@dataclass(slots=True)
class StagedRequest:
    """
    A request whose pieces are made; times are time stamps in seconds.

    ``engine_s`` is what its engine takes to the first event, in seconds.
    """

    graph: PieceGraph
    key: str
    objective: float
    deadline: float
    priority: int
    reader: str
    engine_s: float


@dataclass(slots=True)
class CoordinatorEffects:
    """
    What follows from an event.

    Actions, and requests whose inputs are complete, could not be made, or come too
    late.
    """

    actions: list[Action] = field(default_factory=list)
    ready: list[str] = field(default_factory=list)
    failed: list[str] = field(default_factory=list)
    late: list[str] = field(default_factory=list)
