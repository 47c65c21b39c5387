"""Requests whose pieces are being computed, and the effects of an event on them."""

from dataclasses import dataclass, field

from amaranthtally.policy.actions import Action
from amaranthtally.policy.home_regions import Regions
from amaranthtally.policy.piece_graph import PieceGraph

__all__ = ["CoordinatorEffects", "StagedRequest"]


@dataclass(slots=True)
class StagedRequest:
    """
    A request whose pieces are being computed; times are time stamps in seconds.

    ``key`` is the input of the first stages. ``reader`` is the data centre in which the
    request itself is expected to run. ``engine_s`` is how long its engine usually takes
    until the first event, in seconds. Its pieces run in ``regions`` only, anywhere if
    it is ``None``. With ``has_begun`` its caller has events of the response already.
    """

    graph: PieceGraph
    key: str
    objective: float
    deadline: float
    priority: int
    reader: str
    engine_s: float
    regions: Regions | None = None
    has_begun: bool = False


@dataclass(slots=True)
class CoordinatorEffects:
    """
    What follows from an event at the coordinator.

    ``actions`` are to be carried out. The lists hold the ids of requests: ``ready`` if
    all inputs of the request are stored, ``failed`` if they could not be computed, and
    ``late`` if they would be ready after the deadline.
    """

    actions: list[Action] = field(default_factory=list)
    ready: list[str] = field(default_factory=list)
    failed: list[str] = field(default_factory=list)
    late: list[str] = field(default_factory=list)
