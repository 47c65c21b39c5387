"""What goes into the next call for pieces, and what kept it from being full."""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from amaranthtally.policy.actions import CallDetails
from amaranthtally.policy.piece_queue import QueuedPiece, by_part, take_fitting
from amaranthtally.policy.routes import PieceLimits

__all__ = ["CallFill", "FillCall", "Shortage", "fill_call"]


class Shortage(Enum):
    """Why a call has places left."""

    NONE = "full"
    WORK = "work"
    WHOLE_REQUESTS = "whole_requests"
    MEMORY = "memory"


class CallFill(NamedTuple):
    """The pieces of a call, and what decided on them."""

    pieces: tuple[QueuedPiece, ...]
    details: CallDetails


FillCall = Callable[[float, list[QueuedPiece], PieceLimits, float], CallFill]


def fill_call(
    now: float, queue: list[QueuedPiece], limits: PieceLimits, memory_bytes: float
) -> CallFill:
    """
    Choose the most urgent pieces for a call: all of a part where they fit.

    A request goes on when its last piece is made. Cut by the end of a batch, its
    stage takes two calls, and the pieces in the first have gained nothing.
    """
    free = limits.batch
    left = memory_bytes
    chosen: list[QueuedPiece] = []
    groups = by_part(queue, limits)
    groups.sort(
        key=lambda group: min(w.urgency(now, limits.piece_share_s) for w in group)
    )
    for group in groups:
        size = sum(waiting.ask.result_bytes for waiting in group)
        if len(group) <= free and size <= left:
            chosen += group
            free -= len(group)
            left -= size
    chosen = chosen or take_fitting(groups[0], free, left)
    details = CallDetails(
        limits.batch,
        len(queue),
        max((now - waiting.since for waiting in chosen), default=0.0),
        memory_bytes,
        _shortage(groups, chosen, limits.batch).value,
    )
    return CallFill(tuple(chosen), details)


def _shortage(
    groups: list[list[QueuedPiece]], chosen: list[QueuedPiece], places: int
) -> Shortage:
    free = places - len(chosen)
    if not free:
        return Shortage.NONE
    taken = {id(waiting) for waiting in chosen}
    others = [group for group in groups if id(group[0]) not in taken]
    if not others:
        return Shortage.WORK
    if any(len(group) <= free for group in others):
        return Shortage.MEMORY
    return Shortage.WHOLE_REQUESTS
