"""The events of pieces, and of the other entries that run some of them."""

from collections.abc import Callable, Iterable

from amaranthtally.policy.actions import Action
from amaranthtally.policy.piece_coordinator import (
    CoordinatorEffects,
    PieceCoordinator,
)
from amaranthtally.policy.piece_graph import Piece, StoredResult
from amaranthtally.policy.piece_messages import PieceJob, PieceReport, PiecesEnded
from amaranthtally.policy.result_memory import DropCounts

__all__ = ["PieceEvents"]


class PieceEvents:
    """
    Passes events on to the coordinator of pieces.

    Each event method takes the current time and returns the actions to execute.
    ``apply`` turns what an event means for requests into actions.
    """

    def __init__(
        self,
        coordinator: PieceCoordinator,
        apply: Callable[[float, CoordinatorEffects], list[Action]],
    ) -> None:
        self._coordinator = coordinator
        self._apply = apply

    @property
    def is_busy(self) -> bool:
        """Whether pieces are queued or running here, for any entry's requests."""
        return self._coordinator.batcher.is_busy

    @property
    def waiting(self) -> int:
        """Number of pieces that are queued here, for any entry's requests."""
        return self._coordinator.batcher.queued_count

    @property
    def moving(self) -> int:
        """Number of own jobs that are being withdrawn to run elsewhere."""
        return self._coordinator.moving_count

    @property
    def drops(self) -> DropCounts:
        """How many pieces were not computed as nobody could use their results."""
        return self._coordinator.batcher.drops

    def reserved(self, now: float) -> int:
        """Return the number of queued pieces for which result memory is reserved."""
        return self._coordinator.batcher.memory.reservation_count(now)

    @property
    def awaited_peers(self) -> frozenset[str]:
        """The entries that currently run jobs submitted by this one."""
        return self._coordinator.awaited_peers

    def unavailable_peers(self, now: float) -> frozenset[str]:
        """Return the live entries that get no jobs because they have failed."""
        return self._coordinator.unavailable_peers(now)

    # Pieces

    def call_ended(self, now: float, call: int, end: PiecesEnded) -> list[Action]:
        """Handle the end of a call with pieces."""
        return self._apply(now, self._coordinator.call_ended(now, call, end))

    def jobs_submitted(
        self, now: float, submitter: str, jobs: Iterable[PieceJob]
    ) -> list[Action]:
        """Accept jobs from another entry."""
        return self._apply(now, self._coordinator.accept_jobs(now, submitter, jobs))

    def jobs_withdrawn(self, pieces: Iterable[Piece]) -> tuple[Piece, ...]:
        """Drop those of another entry's jobs that are still queued; return them."""
        return self._coordinator.withdraw_jobs(pieces)

    def withdrawal_answered(
        self, now: float, peer: str, serial: int, withdrawn: Iterable[Piece]
    ) -> list[Action]:
        """Handle which jobs another entry has withdrawn."""
        return self._apply(
            now, self._coordinator.withdrawal_answered(now, peer, serial, withdrawn)
        )

    def withdrawal_failed(
        self, now: float, peer: str, serial: int, pieces: Iterable[Piece]
    ) -> list[Action]:
        """Handle that another entry did not answer a withdrawal of these jobs."""
        return self._apply(
            now, self._coordinator.withdrawal_failed(now, peer, serial, pieces)
        )

    def reports_received(
        self, now: float, reports: Iterable[PieceReport]
    ) -> list[Action]:
        """Handle another entry's reports on jobs that were submitted to it."""
        return self._apply(now, self._coordinator.take_reports(now, reports))

    def results_freed(
        self, now: float, results: Iterable[StoredResult], ended: str = ""
    ) -> list[Action]:
        """
        Release results that another entry no longer needs.

        ``ended`` is the id of a request that has ended there, if any.
        """
        return self._coordinator.free_for_peer(now, results, ended)

    # Entries

    def peer_failed(self, now: float, peer: str) -> list[Action]:
        """Submit no jobs for a while to an entry that did not answer."""
        return self._apply(now, self._coordinator.peer_failed(now, peer))

    def submitter_lost(self, peer: str) -> None:
        """Compute no more pieces for an entry that could not be told of outcomes."""
        self._coordinator.submitter_lost(peer)

    def peer_recovered(self, peer: str) -> None:
        """Submit jobs again to an entry that has answered and runs jobs."""
        self._coordinator.peer_recovered(peer)
