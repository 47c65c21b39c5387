"""What is asked of endpoints and entries about pieces, and what they tell."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from amaranthtally.policy.piece_graph import Piece, StoredResult

__all__ = ["PieceFault", "PieceJob", "PieceOutcome", "PieceReport", "PiecesEnded"]


class PieceFault(Enum):
    """Why no result of a piece was made."""

    LATE = "late"
    INPUT_MISSING = "input_gone"
    NO_ROOM = "no_room"
    FAILED = "failed"
    HANDED_BACK = "handed_back"


class PieceOutcome(NamedTuple):
    """A piece's result by its handle, or why there is none."""

    handle: str = ""
    fault: PieceFault | None = None


@dataclass(frozen=True, slots=True)
class PiecesEnded:
    """
    The end of a call with pieces; ``outcomes`` in the order in which they were sent.

    Without outcomes the call failed as a whole: ``refused`` where the endpoint said
    that it did not start. ``running`` and ``queued`` are its load, where it told it.
    """

    outcomes: tuple[PieceOutcome, ...] = ()
    refused: bool = False
    running: int | None = None
    queued: int = 0


@dataclass(frozen=True, slots=True)
class PieceJob:
    """
    A piece that an entry wants made in a data centre; times are time stamps.

    Its call must begin by ``start_by`` for its request to be on time, and by
    ``deadline`` for it to be answered at all. ``asker`` names the entry, empty for
    this one. ``key`` or ``inputs`` are what the piece reads, ``siblings`` the
    pieces of its stage, itself included, that read the same. ``is_started`` says that
    other pieces of its request have been made.
    """

    piece: Piece
    pool: str
    data_centre: str
    result_bytes: float
    start_by: float
    deadline: float
    priority: int = 0
    key: str = ""
    inputs: tuple[StoredResult, ...] = ()
    siblings: int = 1
    is_started: bool = False
    asker: str = ""


class PieceReport(NamedTuple):
    """
    What became of a piece that was asked for; ``wait_s`` is the wait there of its rank.

    ``slowdown_s`` is by how much longer than usual a call takes there.
    ``inputs_freed`` says that what it read was freed as soon as it had been read.
    """

    piece: Piece
    pool: str
    data_centre: str
    endpoint: str = ""
    handle: str = ""
    fault: PieceFault | None = None
    wait_s: float = 0.0
    inputs_freed: bool = False
    slowdown_s: float = 0.0
