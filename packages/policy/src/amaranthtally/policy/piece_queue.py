"""Pieces that wait for a call, by request and in the order in which they go."""

from dataclasses import dataclass

from amaranthtally.policy.piece_messages import PieceAsk

__all__ = ["Waiting", "as_many", "by_request"]


@dataclass(slots=True)
class Waiting:
    """A piece that waits for a call since a time stamp."""

    ask: PieceAsk
    since: float

    def urgency(self, now: float) -> tuple[bool, int, float, str]:
        """
        Return a sort key: first who can still be on time, of them the most urgent.

        What is late already earns its caller little: served first, it would make
        others late as well, and in a burst all would be.
        """
        ask = self.ask
        late = now > ask.start_by
        return (late, ask.priority, ask.start_by, ask.piece.request_id)


def by_request(queue: list[Waiting]) -> list[list[Waiting]]:
    """
    Return the pieces of each request together, whichever stages they belong to.

    Parted, the branch of a graph that has more time would wait until it is late, and
    meanwhile the results of the others run out of theirs.
    """
    groups: dict[str, list[Waiting]] = {}
    for waiting in queue:
        groups.setdefault(waiting.ask.piece.request_id, []).append(waiting)
    return list(groups.values())


def as_many(group: list[Waiting], places: int, room: float) -> list[Waiting]:
    """Return as many pieces as fit, of a request that is too large for one call."""
    chosen: list[Waiting] = []
    for waiting in group[:places]:
        room -= waiting.ask.result_bytes
        if room < 0:
            break
        chosen.append(waiting)
    return chosen
