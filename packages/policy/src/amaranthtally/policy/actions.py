"""Actions that the policy returns, for the daemon to carry out in order."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from amaranthtally.policy.model import AttemptId
from amaranthtally.policy.piece_graph import StoredResult
from amaranthtally.policy.piece_messages import PieceJob, PieceReport

__all__ = [
    "Action",
    "Answer",
    "CallDetails",
    "Cancel",
    "FreeAtPeer",
    "FreeResults",
    "PieceSpec",
    "PollLoad",
    "QueryAttempt",
    "RefusalReason",
    "Refuse",
    "ReportToPeer",
    "RequestOutcome",
    "RunPieces",
    "Send",
    "SubmitToPeer",
]


class RequestOutcome(Enum):
    """What a refusal says of the request."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class RefusalReason(Enum):
    """Why a request is refused."""

    OVERLOAD = "overload"
    ACCOUNT_LIMIT = "account_limit"
    NO_ENDPOINT = "no_endpoint"
    DEADLINE = "deadline"
    STAGE_FAILED = "stage_failed"
    CALLER_GONE = "caller_gone"
    KEY_CONFLICT = "key_conflict"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class Send:
    """
    Send one attempt to an endpoint. ``deadline`` is the attempt's own, in seconds.

    ``resume_offset`` counts the chunks that the caller already has.
    """

    attempt: AttemptId
    endpoint: str
    deadline: float
    hedge: bool = False
    resume_offset: int = 0


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt whose answer is no longer wanted."""

    attempt: AttemptId
    endpoint: str


@dataclass(frozen=True, slots=True)
class QueryAttempt:
    """Ask the incarnation that an attempt was bound to what became of it."""

    attempt: AttemptId
    endpoint: str


@dataclass(frozen=True, slots=True)
class PollLoad:
    """Ask an endpoint's sidecar for its load, without giving it work."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class Answer:
    """Every stage has finished: give the caller the whole answer."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """End the request without an answer, at once; ``retry_after_s`` in seconds."""

    request_id: str
    outcome: RequestOutcome
    reason: RefusalReason
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PieceSpec:
    """
    One piece of a request's stage; ``deadline`` is a time stamp in seconds.

    ``key`` names the input of a piece that reads no results, ``inputs`` the results
    that it reads.
    """

    request_id: str
    stage: int
    number: int
    deadline: float
    key: str = ""
    inputs: tuple[str, ...] = ()


class CallDetails(NamedTuple):
    """
    What a call with pieces was decided on, for the log.

    ``waiting`` pieces were there for ``places``; the one that had waited longest did
    so for ``waited_s``. ``memory_bytes`` were left for results; ``shortage`` says
    what kept the call from being full.
    """

    places: int = 0
    waiting: int = 0
    waited_s: float = 0.0
    memory_bytes: float = 0.0
    shortage: str = ""


NO_DETAILS = CallDetails()


@dataclass(frozen=True, slots=True)
class RunPieces:
    """Send one call with pieces of any requests; give it up after ``timeout_s``."""

    call: int
    endpoint: str
    pieces: tuple[PieceSpec, ...]
    timeout_s: float
    details: CallDetails = NO_DETAILS


@dataclass(frozen=True, slots=True)
class FreeResults:
    """
    Tell an endpoint that nobody reads these results any more.

    The one that was kept longest was so for ``held_s`` seconds.
    """

    endpoint: str
    handles: tuple[str, ...]
    held_s: float = 0.0


@dataclass(frozen=True, slots=True)
class SubmitToPeer:
    """Ask another entry to have pieces made by the endpoints that it calls."""

    peer: str
    jobs: tuple[PieceJob, ...]


@dataclass(frozen=True, slots=True)
class ReportToPeer:
    """Tell another entry what became of pieces that it asked for."""

    peer: str
    reports: tuple[PieceReport, ...]


@dataclass(frozen=True, slots=True)
class FreeAtPeer:
    """
    Tell the entry that calls their makers that results are read no more.

    ``ended`` names a request that has ended, whose pieces need not be made.
    """

    peer: str
    results: tuple[StoredResult, ...]
    ended: str = ""


Action = (
    Send
    | Cancel
    | QueryAttempt
    | PollLoad
    | Answer
    | Refuse
    | RunPieces
    | FreeResults
    | SubmitToPeer
    | ReportToPeer
    | FreeAtPeer
)
