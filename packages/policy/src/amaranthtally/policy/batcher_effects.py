"""Calls with pieces in progress, and the effects of starting or ending one."""

from dataclasses import dataclass, field
from typing import NamedTuple

from amaranthtally.policy.actions import Action, PieceSpec
from amaranthtally.policy.piece_graph import StoredResult
from amaranthtally.policy.piece_messages import PieceJob, PieceReport, PiecesEnded

__all__ = ["BatcherEffects", "PieceCall", "piece_spec", "requests_to_retry"]


@dataclass(slots=True)
class BatcherEffects:
    """
    What follows from an event at the batcher.

    ``actions`` are to be carried out. ``consumed`` are results that every piece that
    needs them has read, so that they can be freed. ``reports`` are grouped by the
    submitter that they go to, empty for this entry.
    """

    actions: list[Action] = field(default_factory=list)
    consumed: list[StoredResult] = field(default_factory=list)
    reports: dict[str, list[PieceReport]] = field(default_factory=dict)


class PieceCall(NamedTuple):
    """
    A call in progress at an endpoint.

    ``complete_requests`` are the requests whose inputs are freed during the call, as
    every piece that reads them is in it.
    """

    endpoint: str
    jobs: tuple[PieceJob, ...]
    complete_requests: frozenset[str]


def piece_spec(job: PieceJob) -> PieceSpec:
    """Return what an endpoint is sent for a job."""
    return PieceSpec(
        job.piece.request_id,
        job.piece.stage,
        job.piece.number,
        job.deadline,
        job.key,
        tuple(result.handle for result in job.inputs),
    )


def requests_to_retry(call: PieceCall, end: PiecesEnded) -> frozenset[str]:
    """
    Return the requests of an ended call that still need their inputs.

    These are the requests with a piece that has to be computed again. Their inputs may
    not have been freed yet: an endpoint without room for results answers within
    milliseconds.
    """
    if not end.outcomes:
        return call.complete_requests
    outcomes = zip(call.jobs, end.outcomes, strict=True)
    return frozenset(j.piece.request_id for j, o in outcomes if o.fault is not None)
