"""The stage graph of one request: the state and the result of each piece."""

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
    """A result stored at the endpoint that computed it; readers fetch it by handle."""

    handle: str
    endpoint: str
    data_centre: str
    size_bytes: float


class PieceState(Enum):
    """State of a piece: waiting for inputs, due, submitted, or computed."""

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
    The stages of one request that run before the request itself is sent to an engine.

    ``counts`` holds the number of pieces of each stage; a stage without pieces is
    skipped. A piece is due once every piece of the stages that it reads is done.
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
        """Whether every piece whose result the request itself reads is done."""
        return all(
            record.state is PieceState.DONE
            for index in self.last_stages()
            for record in self._records[index]
        )

    @property
    def is_started(self) -> bool:
        """Whether any piece has been computed."""
        return any(
            record.state is PieceState.DONE
            for records in self._records
            for record in records
        )

    def count(self, stage: int) -> int:
        """Return how many pieces a stage has."""
        return len(self._records[stage])

    def take_due(self, deferred: Container[int] = ()) -> list[Piece]:
        """Mark due pieces as queued and return them, except those of ``deferred``."""
        due: list[Piece] = []
        for index in range(len(self._stages)):
            if index in deferred:
                continue
            if not self._is_needed(index) or not self._has_inputs(index):
                continue
            for number, record in enumerate(self._records[index]):
                if record.state is PieceState.WAITING:
                    record.state = PieceState.QUEUED
                    due.append(Piece(self._request_id, index, number))
        return due

    def longest_unfinished_path(self, stage: int) -> list[int]:
        """Return the longest path of unfinished stages that ends at this stage."""
        if self._is_stage_done(stage):
            return []
        paths = [
            self.longest_unfinished_path(index) for index in self._stages[stage].after
        ]
        return [*max(paths, key=len, default=[]), stage]

    def last_stages(self) -> list[int]:
        """Return the stages whose results the request itself reads."""
        return [i for i in range(len(self._stages)) if not self.readers(i)]

    def has_inputs(self, piece: Piece) -> bool:
        """Whether every result that a piece reads is stored now."""
        needed = sum(self.count(i) for i in self._stages[piece.stage].after)
        return len(self.inputs_of(piece)) == needed

    def mark_running(self, piece: Piece) -> None:
        """Mark a piece as running, as its job is being submitted."""
        self._record(piece).state = PieceState.RUNNING

    def mark_requeued(self, piece: Piece, failed: bool) -> int:
        """Mark a piece without result as queued; return how often it has failed."""
        record = self._record(piece)
        record.state = PieceState.QUEUED
        record.failures += failed
        return record.failures

    def mark_done(self, piece: Piece, result: StoredResult) -> None:
        """Store a piece's result."""
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

    def take_consumed(self) -> list[StoredResult]:
        """
        Remove and return the results of stages whose readers are all done.

        These results occupy memory at their endpoints until they are freed. Results
        that the request itself reads are kept.
        """
        consumed: list[StoredResult] = []
        for index in range(len(self._stages)):
            readers = self.readers(index)
            if not readers or not all(self._is_stage_done(r) for r in readers):
                continue
            consumed += self._take_stage_results(index)
        return consumed

    def take_results(self) -> list[StoredResult]:
        """Remove and return every result."""
        results: list[StoredResult] = []
        for index in range(len(self._stages)):
            results += self._take_stage_results(index)
        return results

    def discard_inputs_of(self, piece: Piece) -> None:
        """Remove the results that a piece read, as they have been freed."""
        for index in self._stages[piece.stage].after:
            self._take_stage_results(index)

    def invalidate_inputs_of(self, piece: Piece) -> list[StoredResult]:
        """
        Mark the stages that a piece reads to run again, as a result of them is lost.

        The endpoint does not say which result is missing, so all are computed again.
        Returns the results that are still recorded, to be freed. Pieces that run again
        already, because of a sibling of this piece, are left as they are.
        """
        self._record(piece).state = PieceState.WAITING
        return self._restart(self._stages[piece.stage].after)

    def invalidate_request_inputs(self) -> list[StoredResult]:
        """Mark the last stages to run again, as a result the request reads is lost."""
        return self._restart(self.last_stages())

    def _restart(self, stages: Sequence[int]) -> list[StoredResult]:
        removed: list[StoredResult] = []
        for index in stages:
            removed += self._take_stage_results(index)
            for record in self._records[index]:
                if record.state is PieceState.DONE:
                    record.state = PieceState.WAITING
            removed += self._restart_freed_inputs(index)
        return removed

    def _restart_freed_inputs(self, index: int) -> list[StoredResult]:
        """Mark the stages before this one to run again if their results are freed."""
        after = self._stages[index].after
        freed = any(
            record.state is PieceState.DONE and record.result is None
            for input_stage in after
            for record in self._records[input_stage]
        )
        return self._restart(after) if freed else []

    def _take_stage_results(self, index: int) -> list[StoredResult]:
        results = [r.result for r in self._records[index] if r.result is not None]
        for record in self._records[index]:
            record.result = None
        return results

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

    def _has_inputs(self, index: int) -> bool:
        return all(
            record.state is PieceState.DONE and record.result is not None
            for input_stage in self._stages[index].after
            for record in self._records[input_stage]
        )

    def _is_needed(self, index: int) -> bool:
        # A stage whose readers are all done does not have to run, though its results
        # may have been removed.
        readers = self.readers(index)
        return not readers or not all(self._is_stage_done(r) for r in readers)
