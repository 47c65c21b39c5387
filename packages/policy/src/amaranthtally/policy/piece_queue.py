"""Queued pieces, their order of urgency, and their grouping by request."""

from dataclasses import dataclass

from amaranthtally.policy.piece_messages import PieceJob
from amaranthtally.policy.routes import PieceLimits

__all__ = ["QueuedPiece", "group_by_part", "take_fitting"]


# How many seconds later a request is sorted for each second of call time that its
# pieces take from other requests.
SIZE_WEIGHT = 2.0


@dataclass(slots=True)
class QueuedPiece:
    """A job that has been waiting for a call since the time stamp ``queued_at``."""

    job: PieceJob
    queued_at: float

    def urgency(self, now: float, piece_share_s: float) -> tuple[bool, int, float, str]:
        """
        Return a sort key that puts requests that can still be on time first.

        A request that is late already has little value for its caller. If late requests
        were served first, they would make others late too, in a burst all of them.

        Requests of equal priority are sorted by the time at which their call must
        begin, and larger ones are moved back by the call time that their pieces take,
        ``piece_share_s`` seconds each. The largest requests have to begin first to be
        on time; without the shift, each of them would make several small ones late.
        """
        job = self.job
        late = now > job.start_by
        sort_time = job.start_by + SIZE_WEIGHT * piece_share_s * job.siblings
        return (late, job.priority, sort_time, job.piece.request_id)


def group_by_part(
    queue: list[QueuedPiece], limits: PieceLimits
) -> list[list[QueuedPiece]]:
    """
    Return the queued pieces grouped by request, whichever stages they belong to.

    If the stages of a request were grouped separately, the branch of its graph that has
    more time would wait until it is late, and meanwhile the stored results of the other
    branches expire. Only a stage with more pieces than a call accepts is split.
    """
    groups: dict[tuple[str, int], list[QueuedPiece]] = {}
    for queued in queue:
        piece = queued.job.piece
        part = limits.part_index(piece.number, queued.job.siblings)
        groups.setdefault((piece.request_id, part), []).append(queued)
    return list(groups.values())


def take_fitting(
    group: list[QueuedPiece], capacity: int, free_bytes: float
) -> list[QueuedPiece]:
    """Return the first pieces of a group, as many as fit into one call."""
    chosen: list[QueuedPiece] = []
    for queued in group[:capacity]:
        free_bytes -= queued.job.result_bytes
        if free_bytes < 0:
            break
        chosen.append(queued)
    return chosen
