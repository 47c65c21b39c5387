"""The pieces of one request: which are due, which run, which results they have."""

from collections.abc import Container, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from amaranthtally.policy.routes import PieceStage

__all__ = [
    "Piece",
    "PieceGraph",
    "PieceState",
    "StoredResult",
]


class Piece(NamedTuple):
    """One piece of one stage of one request; both numbers count from 0."""

    request_id: str
    stage: int
    number: int


class StoredResult(NamedTuple):
    """A result that its maker keeps; ``handle`` names it to whoever reads it."""

    handle: str
    endpoint: str
    data_centre: str
    size_bytes: float


class PieceState(Enum):
    """Where a piece stands."""

    WAITING = "waiting"
    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"


@dataclass(slots=True)
class _PieceRecord:
    state: PieceState = PieceState.WAITING
    result: StoredResult | None = None
    failures: int = 0


class PieceGraph:
    """
    The stages of one request that come before the request itself.

    ``counts`` holds the pieces of each stage; a stage of 0 pieces is left out. A
    piece is due once every piece of the stages that it reads is done.
    """

    def __init__(
        self, request_id: str, stages: Sequence[PieceStage], counts: Sequence[int]
    ) -> None:
        self._request_id = request_id
        self._stages = tuple(stages)
        self._records = [[_PieceRecord() for _ in range(count)] for count in counts]
        self._records += [[] for _ in range(len(stages) - len(counts))]

    @property
    def request_id(self) -> str:
        """The request's id."""
        return self._request_id

    @property
    def stages(self) -> tuple[PieceStage, ...]:
        """The stages in the order of the route."""
        return self._stages

    @property
    def is_done(self) -> bool:
        """Whether every result that the request reads is there."""
        return all(
            record.state is PieceState.DONE
            for index in self.last_stages()
            for record in self._records[index]
        )

    @property
    def is_started(self) -> bool:
        """Whether a piece of any stage has been made."""
        return any(
            record.state is PieceState.DONE
            for records in self._records
            for record in records
        )

    def count(self, stage: int) -> int:
        """Return how many pieces a stage has."""
        return len(self._records[stage])

    def take_due(self, held: Container[int] = ()) -> list[Piece]:
        """Mark the pieces that can run now as queued, but for stages ``held`` back."""
        due: list[Piece] = []
        for index in range(len(self._stages)):
            if index in held:
                continue
            if not self._is_needed(index) or not self._is_fed(index):
                continue
            for number, record in enumerate(self._records[index]):
                if record.state is PieceState.WAITING:
                    record.state = PieceState.QUEUED
                    due.append(Piece(self._request_id, index, number))
        return due

    def unfinished_before(self, stage: int) -> list[int]:
        """Return the longest way of unfinished stages to one, itself included."""
        if self._is_stage_done(stage):
            return []
        ways = [self.unfinished_before(index) for index in self._stages[stage].after]
        return [*max(ways, key=len, default=[]), stage]

    def last_stages(self) -> list[int]:
        """Return the stages whose results the request itself reads."""
        return [i for i in range(len(self._stages)) if not self.readers(i)]

    def is_fed(self, piece: Piece) -> bool:
        """Whether every result that a piece reads is there now."""
        wanted = sum(self.count(i) for i in self._stages[piece.stage].after)
        return len(self.inputs_of(piece)) == wanted

    def started(self, piece: Piece) -> None:
        """Note that a piece is sent."""
        self._record(piece).state = PieceState.RUNNING

    def requeued(self, piece: Piece, failed: bool) -> int:
        """Note that a sent piece made no result; return how often it has failed."""
        record = self._record(piece)
        record.state = PieceState.QUEUED
        record.failures += failed
        return record.failures

    def finished(self, piece: Piece, result: StoredResult) -> None:
        """Take a piece's result."""
        record = self._record(piece)
        record.state = PieceState.DONE
        record.result = result

    def inputs_of(self, piece: Piece) -> tuple[StoredResult, ...]:
        """Return the results that a piece reads, in the order of their stages."""
        return self.inputs_of_stage(piece.stage)

    def inputs_of_stage(self, stage: int) -> tuple[StoredResult, ...]:
        """Return the results that every piece of a stage reads."""
        return self._results(self._stages[stage].after)

    def request_inputs(self) -> tuple[StoredResult, ...]:
        """Return the results that the request itself reads."""
        return self._results(self.last_stages())

    def take_unread(self) -> list[StoredResult]:
        """
        Return and forget results whose every reader is done.

        They fill their maker's memory until it is told; a result that the request
        itself reads stays.
        """
        unread: list[StoredResult] = []
        for index in range(len(self._stages)):
            readers = self.readers(index)
            if not readers or not all(self._is_stage_done(r) for r in readers):
                continue
            unread += self._take_results(index)
        return unread

    def take_all(self) -> list[StoredResult]:
        """Return and forget every result, as the request has ended."""
        taken: list[StoredResult] = []
        for index in range(len(self._stages)):
            taken += self._take_results(index)
        return taken

    def forget_inputs_of(self, piece: Piece) -> None:
        """Note that what a piece read is kept no more."""
        for index in self._stages[piece.stage].after:
            self._take_results(index)

    def lose_inputs_of(self, piece: Piece) -> list[StoredResult]:
        """
        Start the stages that a piece reads again, as one of their results is gone.

        Which one is not told; the others are returned, to be freed. Those that a
        sibling has had started again already go on.
        """
        self._record(piece).state = PieceState.WAITING
        return self._restart(self._stages[piece.stage].after)

    def lose_request_inputs(self) -> list[StoredResult]:
        """Start the last stages again, as a result that the request reads is gone."""
        return self._restart(self.last_stages())

    def _restart(self, stages: Sequence[int]) -> list[StoredResult]:
        lost: list[StoredResult] = []
        for index in stages:
            lost += self._take_results(index)
            for record in self._records[index]:
                if record.state is PieceState.DONE:
                    record.state = PieceState.WAITING
            lost += self._restart_unread(index)
        return lost

    def _restart_unread(self, index: int) -> list[StoredResult]:
        """Start what a stage reads again where it was freed already."""
        after = self._stages[index].after
        freed = any(
            record.state is PieceState.DONE and record.result is None
            for earlier in after
            for record in self._records[earlier]
        )
        return self._restart(after) if freed else []

    def _take_results(self, index: int) -> list[StoredResult]:
        taken = [r.result for r in self._records[index] if r.result is not None]
        for record in self._records[index]:
            record.result = None
        return taken

    def _results(self, stages: Sequence[int]) -> tuple[StoredResult, ...]:
        return tuple(
            record.result
            for index in stages
            for record in self._records[index]
            if record.result is not None
        )

    def _record(self, piece: Piece) -> _PieceRecord:
        return self._records[piece.stage][piece.number]

    def readers(self, index: int) -> list[int]:
        """Return the stages that read a stage's results."""
        return [i for i, stage in enumerate(self._stages) if index in stage.after]

    def _is_stage_done(self, index: int) -> bool:
        return all(r.state is PieceState.DONE for r in self._records[index])

    def _is_fed(self, index: int) -> bool:
        return all(
            record.state is PieceState.DONE and record.result is not None
            for earlier in self._stages[index].after
            for record in self._records[earlier]
        )

    def _is_needed(self, index: int) -> bool:
        # A stage whose readers are all done is not run again for its lost results.
        readers = self.readers(index)
        return not readers or not all(self._is_stage_done(r) for r in readers)
