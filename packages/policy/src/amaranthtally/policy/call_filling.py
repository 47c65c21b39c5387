"""Chooses the pieces of the next call, and tells why the call is not full."""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from amaranthtally.policy.actions import CallDetails
from amaranthtally.policy.piece_queue import QueuedPiece, group_by_part, take_fitting
from amaranthtally.policy.routes import PieceLimits

__all__ = ["CallFill", "FillCall", "Shortage", "fill_call"]


class Shortage(Enum):
    """
    What kept a call from holding as many pieces as its endpoint accepts.

    ``NONE``: the call is full. ``WORK``: no more pieces were queued.
    ``WHOLE_REQUESTS``: no queued request or part of one fits whole into what is left.
    ``MEMORY``: the endpoint has no memory for the results of more pieces.
    """

    NONE = "full"
    WORK = "work"
    WHOLE_REQUESTS = "whole_requests"
    MEMORY = "memory"


class CallFill(NamedTuple):
    """The pieces chosen for a call, and the figures that the choice was based on."""

    pieces: tuple[QueuedPiece, ...]
    details: CallDetails


FillCall = Callable[[float, list[QueuedPiece], PieceLimits, float], CallFill]


def fill_call(
    now: float, queue: list[QueuedPiece], limits: PieceLimits, memory_bytes: float
) -> CallFill:
    """
    Choose the most urgent pieces for a call, whole requests or parts where they fit.

    A request continues only when the last piece of its stage is computed. If a full
    call split the stage, it would take two calls, and computing some of its pieces in
    the first one would gain nothing.
    """
    free_places = limits.batch
    free_bytes = memory_bytes
    chosen: list[QueuedPiece] = []
    groups = group_by_part(queue, limits)
    groups.sort(
        key=lambda group: min(q.urgency(now, limits.piece_share_s) for q in group)
    )
    for group in groups:
        result_bytes = sum(queued.job.result_bytes for queued in group)
        if len(group) <= free_places and result_bytes <= free_bytes:
            chosen += group
            free_places -= len(group)
            free_bytes -= result_bytes
    chosen = chosen or take_fitting(groups[0], free_places, free_bytes)
    details = CallDetails(
        limits.batch,
        len(queue),
        max((now - queued.queued_at for queued in chosen), default=0.0),
        memory_bytes,
        _shortage(groups, chosen, limits.batch).value,
    )
    return CallFill(tuple(chosen), details)


def _shortage(
    groups: list[list[QueuedPiece]], chosen: list[QueuedPiece], capacity: int
) -> Shortage:
    free_places = capacity - len(chosen)
    if not free_places:
        return Shortage.NONE
    chosen_ids = {id(queued) for queued in chosen}
    left_out = [group for group in groups if id(group[0]) not in chosen_ids]
    if not left_out:
        return Shortage.WORK
    if any(len(group) <= free_places for group in left_out):
        return Shortage.MEMORY
    return Shortage.WHOLE_REQUESTS
