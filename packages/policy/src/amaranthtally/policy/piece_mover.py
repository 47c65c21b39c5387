"""Chooses the submitted jobs of an entry that are moved to another pool site."""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from amaranthtally.policy.batcher import Batcher
from amaranthtally.policy.piece_graph import Piece
from amaranthtally.policy.piece_moves import (
    Moves,
    SiteWait,
    is_move_worth_it,
    may_gain,
)
from amaranthtally.policy.pool_sites import CROSSING_S_PER_BYTE, PoolSites
from amaranthtally.policy.stage_plans import StagePlans
from amaranthtally.policy.staged_requests import StagedRequest
from amaranthtally.policy.submitted_pieces import SubmittedPiece, SubmittedPieces

__all__ = ["PieceMover", "Withdrawal"]

# Interval between two searches for jobs to move, in seconds. The shortest call with
# pieces takes twice as long.
INTERVAL_S = 0.1


class Withdrawal(NamedTuple):
    """Jobs to be withdrawn from an entry, empty for this one, and moved."""

    serial: int
    owner: str
    pieces: tuple[Piece, ...]


class _Group(NamedTuple):
    """What is moved as one: the pieces of a part of a stage at one site."""

    request_id: str
    stage: int
    part: int
    submitted: SubmittedPiece


class PieceMover:
    """
    Chooses the jobs to withdraw as they would be done earlier elsewhere.

    Also those whose site has a new owner, or is not in the home regions of their
    request any more. Applies to active pools only.
    """

    def __init__(
        self,
        batcher: Batcher,
        sites: PoolSites,
        plans: StagePlans,
        submitted: SubmittedPieces,
        requests: Mapping[str, StagedRequest],
    ) -> None:
        self._batcher = batcher
        self._sites = sites
        self._plans = plans
        self._submitted = submitted
        self._requests = requests
        self._moves = Moves()
        self._next_at = 0.0

    @property
    def moves(self) -> Moves:
        """The moves in progress."""
        return self._moves

    def due(self, now: float) -> list[Withdrawal]:
        """Begin the moves that are worth it now; return the withdrawals to make."""
        active = self._batcher.active_pools
        if not active or now < self._next_at:
            return []
        self._next_at = now + INTERVAL_S
        groups: dict[_Group, list[Piece]] = {}
        for piece, submitted in self._submitted.in_pools(active):
            staged = self._requests.get(piece.request_id)
            if staged is None or not self._moves.may_begin(now, piece, submitted.owner):
                continue
            part = self._plans.part_index(staged.graph, piece)
            group = _Group(piece.request_id, piece.stage, part, submitted)
            groups.setdefault(group, []).append(piece)
        return self._begin(now, groups)

    def _begin(self, now: float, groups: dict[_Group, list[Piece]]) -> list[Withdrawal]:
        by_route: dict[tuple[str, str], list[Piece]] = {}
        # A site gets one part of a stage in each search. Every entry sees the same idle
        # site; if each sent it all that gains, it would be overloaded by the next one.
        added: Counter[tuple[str, str]] = Counter()
        # Those submitted last wait longest; the first may be in a call already.
        for group, pieces in reversed(groups.items()):
            pool = group.submitted.pool
            target = self._target(now, group, len(pieces), added)
            if target is not None:
                added[pool, target] += len(pieces)
                by_route.setdefault((group.submitted.owner, target), []).extend(pieces)
        return [
            Withdrawal(
                self._moves.begin(now, pieces, owner, target), owner, tuple(pieces)
            )
            for (owner, target), pieces in by_route.items()
        ]

    def _target(
        self, now: float, group: _Group, count: int, added: Counter[tuple[str, str]]
    ) -> str | None:
        """Return the data centre to move a group to, ``None`` to leave it as it is."""
        staged = self._requests[group.request_id]
        submitted = group.submitted
        pool, here = submitted.pool, submitted.data_centre
        candidates = self._plans.candidates(pool, staged.regions)
        waited_s = now - submitted.submitted_at
        current = self._site_wait(now, staged, group.stage, pool, here, count, added)
        if here in candidates:
            if self._has_new_owner(now, submitted):
                return here
            if not may_gain(waited_s, current):
                return None
        others = [
            self._site_wait(now, staged, group.stage, pool, name, count, added)
            for name in candidates
            if name != here
        ]
        best = min(others, key=lambda site: site.wait_s + site.crossing_s, default=None)
        if best is None or here not in candidates:
            return None if best is None else best.data_centre
        call_s = self._plans.full_call_time_s(pool)
        if added[pool, best.data_centre]:
            return None
        is_worth_it = is_move_worth_it(waited_s, current, best, call_s)
        return best.data_centre if is_worth_it else None

    def _has_new_owner(self, now: float, submitted: SubmittedPiece) -> bool:
        owner = self._sites.owner(now, submitted.pool, submitted.data_centre)
        return owner != submitted.owner

    def _site_wait(
        self,
        now: float,
        staged: StagedRequest,
        stage: int,
        pool: str,
        data_centre: str,
        count: int,
        added: Counter[tuple[str, str]],
    ) -> SiteWait:
        graph = staged.graph
        rank, size_bytes = staged.priority, graph.stages[stage].result_bytes
        wait_s = max(
            self._plans.wait_s(now, pool, data_centre, rank),
            self._plans.room_wait_s(now, pool, data_centre, size_bytes),
        )
        wait_s += added[pool, data_centre] * self._plans.piece_share_s(pool)
        crossing_bytes = sum(
            result.size_bytes
            for result in graph.inputs_of_stage(stage)
            if result.data_centre != data_centre
        )
        if not graph.readers(stage) and staged.reader not in ("", data_centre):
            crossing_bytes += count * size_bytes
        return SiteWait(data_centre, wait_s, crossing_bytes * CROSSING_S_PER_BYTE)

    # Ends of moves

    def answered(
        self, owner: str, serial: int, withdrawn: Iterable[Piece]
    ) -> dict[Piece, str]:
        """
        End the moves of a withdrawal; return the data centres to submit its jobs to.

        A withdrawn job whose move was cancelled meanwhile is returned too, with the
        data centre it was submitted to, if its owner was to run it.
        """
        withdrawn = tuple(withdrawn)
        moved, _ = self._moves.end(serial, withdrawn)
        targets: dict[Piece, str] = {}
        for piece in withdrawn:
            submitted = self._submitted.find(piece)
            if submitted is not None and submitted.owner == owner:
                move = moved.get(piece)
                targets[piece] = move.data_centre if move else submitted.data_centre
        return targets

    def failed(
        self, now: float, owner: str, serial: int, pieces: Iterable[Piece]
    ) -> dict[Piece, str]:
        """
        End the moves of a withdrawal that was not answered.

        The owner may have withdrawn the jobs. Returns the data centres to submit them
        to again, which are those where they are; a job still queued is not run twice.
        """
        self._moves.fail(now, serial, owner)
        targets: dict[Piece, str] = {}
        for piece in pieces:
            submitted = self._submitted.find(piece)
            if submitted is not None and submitted.owner == owner:
                targets[piece] = submitted.data_centre
        return targets
