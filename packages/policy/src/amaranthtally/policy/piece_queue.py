"""Pieces that wait for a call, by request and in the order in which they go."""

from dataclasses import dataclass

from amaranthtally.policy.piece_messages import PieceJob
from amaranthtally.policy.routes import PieceLimits

__all__ = ["QueuedPiece", "by_part", "take_fitting"]


# How much later a request is taken to be due for each second that its pieces take from
# others, in seconds.
SIZE_WEIGHT = 2.0


@dataclass(slots=True)
class QueuedPiece:
    """A piece that waits for a call since a time stamp."""

    ask: PieceJob
    since: float

    def urgency(self, now: float, piece_share_s: float) -> tuple[bool, int, float, str]:
        """
        Return a sort key: first who can still be on time, of them the most urgent.

        What is late already earns its caller little: served first, it would make
        others late as well, and in a burst all would be. Among equals a request goes
        behind others by what its pieces take from them, ``piece_share_s`` seconds each:
        the largest have to begin first to be on time, and would each make several
        small ones late.
        """
        ask = self.ask
        late = now > ask.start_by
        due = ask.start_by + SIZE_WEIGHT * piece_share_s * ask.siblings
        return (late, ask.priority, due, ask.piece.request_id)


def by_part(queue: list[QueuedPiece], limits: PieceLimits) -> list[list[QueuedPiece]]:
    """
    Return the pieces of each request together, whichever stages they belong to.

    Parted by stage, the branch of a graph that has more time would wait until it is
    late, and meanwhile the results of the others run out of theirs. Only a stage that
    is larger than a call is parted.
    """
    groups: dict[tuple[str, int], list[QueuedPiece]] = {}
    for waiting in queue:
        piece = waiting.ask.piece
        part = limits.part_index(piece.number, waiting.ask.siblings)
        groups.setdefault((piece.request_id, part), []).append(waiting)
    return list(groups.values())


def take_fitting(
    group: list[QueuedPiece], places: int, room: float
) -> list[QueuedPiece]:
    """Return as many pieces as fit, of a group that is too large for one call."""
    chosen: list[QueuedPiece] = []
    for waiting in group[:places]:
        room -= waiting.ask.result_bytes
        if room < 0:
            break
        chosen.append(waiting)
    return chosen
