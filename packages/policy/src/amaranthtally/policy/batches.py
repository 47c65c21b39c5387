"""Calls with pieces under way, and what follows when one is sent or ends."""

from dataclasses import dataclass, field
from typing import NamedTuple

from amaranthtally.policy.actions import Action, PieceSpec
from amaranthtally.policy.piece_graph import StoredResult
from amaranthtally.policy.piece_messages import PieceJob, PieceReport, PiecesEnded

__all__ = ["Batches", "PieceCall", "piece_order", "unmade_requests"]


@dataclass(slots=True)
class Batches:
    """
    What follows from an event: actions, and what askers are to be told.

    ``read`` are results that every piece has read that was to read them.
    """

    actions: list[Action] = field(default_factory=list)
    read: list[StoredResult] = field(default_factory=list)
    told: dict[str, list[PieceReport]] = field(default_factory=dict)


class PieceCall(NamedTuple):
    """A call under way; ``whole`` are requests that have every sibling in it."""

    endpoint: str
    asks: tuple[PieceJob, ...]
    whole: frozenset[str]


def piece_order(ask: PieceJob) -> PieceSpec:
    """Return what an endpoint is told of a piece."""
    return PieceSpec(
        ask.piece.request_id,
        ask.piece.stage,
        ask.piece.number,
        ask.deadline,
        ask.key,
        tuple(result.handle for result in ask.inputs),
    )


def unmade_requests(call: PieceCall, end: PiecesEnded) -> frozenset[str]:
    """
    Return the requests of a call whose inputs are still needed.

    Those with a piece that has to be made again, where nothing was freed yet: an
    endpoint that has no room says so in milliseconds.
    """
    if not end.outcomes:
        return call.whole
    outcomes = zip(call.asks, end.outcomes, strict=True)
    return frozenset(a.piece.request_id for a, o in outcomes if o.fault is not None)
