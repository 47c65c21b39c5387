"""What goes into the next call for pieces, and what kept it from being full."""

from dataclasses import dataclass
from enum import Enum

from amaranthtally.policy.piece_queue import Waiting, as_many, by_part
from amaranthtally.policy.routes import PieceLimits

__all__ = ["CallFill", "Shortage", "fill_call"]


class Shortage(Enum):
    """Why a call has places left."""

    NOTHING = "full"
    WORK = "work"
    WHOLE_REQUESTS = "whole_requests"
    MEMORY = "memory"


@dataclass(frozen=True, slots=True)
class CallFill:
    """
    The pieces of a call and the facts that decided on them.

    ``waiting`` counts the pieces that were to choose from, ``memory_bytes`` is what the
    endpoint had left for results before.
    """

    pieces: tuple[Waiting, ...]
    places: int
    waiting: int
    memory_bytes: float
    shortage: Shortage


def fill_call(
    now: float, queue: list[Waiting], limits: PieceLimits, memory_bytes: float
) -> CallFill:
    """
    Choose the most urgent pieces for a call: all of a request's where they fit.

    A request goes on when its last piece is made. Cut by the end of a batch, its
    stage takes two calls, and the pieces in the first have gained nothing.
    """
    places = limits.batch
    free = places
    left = memory_bytes
    chosen: list[Waiting] = []
    groups = by_part(queue, places)
    groups.sort(key=lambda group: min(w.urgency(now, limits.share_s) for w in group))
    for group in groups:
        size = sum(waiting.ask.result_bytes for waiting in group)
        if len(group) <= free and size <= left:
            chosen += group
            free -= len(group)
            left -= size
    chosen = chosen or as_many(groups[0], free, left)
    return CallFill(
        tuple(chosen),
        places,
        len(queue),
        memory_bytes,
        _shortage(groups, chosen, places, memory_bytes),
    )


def _shortage(
    groups: list[list[Waiting]],
    chosen: list[Waiting],
    places: int,
    memory_bytes: float,
) -> Shortage:
    free = places - len(chosen)
    if not free:
        return Shortage.NOTHING
    taken = {id(waiting) for waiting in chosen}
    others = [group for group in groups if id(group[0]) not in taken]
    if not others:
        return Shortage.WORK
    if any(len(group) <= free for group in others):
        return Shortage.MEMORY
    return Shortage.WHOLE_REQUESTS
