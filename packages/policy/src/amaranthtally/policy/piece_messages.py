"""Jobs that compute pieces, and the outcomes that endpoints and entries report."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from amaranthtally.policy.piece_graph import Piece, StoredResult

__all__ = ["PieceFault", "PieceJob", "PieceOutcome", "PieceReport", "PiecesEnded"]


class PieceFault(Enum):
    """
    Why a job ended without a result.

    ``LATE``: its deadline passed. ``INPUT_MISSING``: a result that it reads is not
    stored any more. ``NO_ROOM``: the endpoint has no memory for the result.
    ``FAILED``: the call failed, or no endpoint takes calls. ``HANDED_BACK``: the entry
    that it was submitted to shuts down or has no configuration, and did not run it.
    """

    LATE = "late"
    INPUT_MISSING = "input_gone"
    NO_ROOM = "no_room"
    FAILED = "failed"
    HANDED_BACK = "handed_back"


class PieceOutcome(NamedTuple):
    """The handle of a piece's result, or the fault that prevented it."""

    handle: str = ""
    fault: PieceFault | None = None


@dataclass(frozen=True, slots=True)
class PiecesEnded:
    """
    The end of a call with pieces; ``outcomes`` are in the order of the call's pieces.

    Without outcomes the call failed as a whole, and ``refused`` tells whether the
    endpoint answered that it did not start. ``running`` and ``queued`` are the numbers
    of calls at the endpoint; ``running`` is ``None`` if it did not report them.
    ``host_slowness`` is how many times as long as usual work takes on its host, or
    ``None`` if it did not report that.
    """

    outcomes: tuple[PieceOutcome, ...] = ()
    refused: bool = False
    running: int | None = None
    queued: int = 0
    host_slowness: float | None = None


@dataclass(frozen=True, slots=True)
class PieceJob:
    """
    A piece to be computed in a data centre; times are time stamps in seconds.

    The call must begin by ``start_by`` for the request to meet its objective, and by
    ``deadline`` for the request to be answered at all. ``submitter`` names the entry
    that submitted the job, empty for this entry. The piece reads either ``key`` or
    ``inputs``. ``siblings`` counts the pieces of its stage, itself included, which all
    read the same inputs. ``is_started`` tells whether any piece of its request has
    been computed.
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
    submitter: str = ""


class PieceReport(NamedTuple):
    """
    The outcome of a job, and the load of the pool site where it was run.

    ``wait_s`` is how long a new job of the same priority would wait for a call there,
    ``slowdown_s`` how much longer than usual a call takes there, both in seconds.
    ``inputs_freed`` tells that the piece's inputs have been freed already.
    ``room_wait_s`` is how long another result of that size would wait there for room,
    ``None`` if the pool does not report its speed.
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
    room_wait_s: float | None = None
