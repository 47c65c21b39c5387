"""Actions that the policy returns; the daemon executes them in order."""

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from amaranthtally.policy.engine_views import EnginePrediction
from amaranthtally.policy.limit_messages import PermitAsk, RateLimitNotice
from amaranthtally.policy.load_messages import LoadMessage
from amaranthtally.policy.model import AttemptId
from amaranthtally.policy.part_losses import PartEnd
from amaranthtally.policy.part_notices import PartNotice
from amaranthtally.policy.part_successes import PartSuccess
from amaranthtally.policy.piece_graph import Piece, StoredResult
from amaranthtally.policy.piece_messages import PieceJob, PieceReport
from amaranthtally.policy.usage_messages import Resource, UsageReport

__all__ = [
    "Action",
    "Answer",
    "AskPermits",
    "CallDetails",
    "Cancel",
    "CheckEndpoint",
    "ExchangeLoads",
    "FairSharesChanged",
    "FreeAtPeer",
    "FreeResults",
    "PartChanged",
    "PieceSpec",
    "PollLoad",
    "QueryAttempt",
    "RateLimitChanged",
    "RefusalReason",
    "Refuse",
    "ReportEnds",
    "ReportSuccess",
    "ReportToPeer",
    "RequestOutcome",
    "RunPieces",
    "Send",
    "SendUsage",
    "SpreadPartNotices",
    "SpreadRateLimits",
    "SubmitToPeer",
    "UsageFault",
    "WithdrawAtPeer",
]


class RequestOutcome(Enum):
    """Whether a refused request may have run: certainly not, or unknown."""

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
    PROMPT_BLOCKED = "prompt_blocked"
    REQUEST_BLOCKED = "request_blocked"
    RATE_LIMIT = "rate_limit"
    NO_HOME_ENDPOINT = "no_home_endpoint"
    EVACUATED = "evacuated"
    COLD = "cold"
    MEMORY = "memory"


@dataclass(frozen=True, slots=True)
class Send:
    """
    Send one attempt to an endpoint; ``deadline`` is the attempt's own time stamp.

    ``resume_offset`` is the number of chunks that the caller already has: a resumed
    stream starts after them. ``prediction`` is set if the engine was chosen by a shared
    view. ``stalled`` says that this is a hedge of a first attempt that had stalled.
    """

    attempt: AttemptId
    endpoint: str
    deadline: float
    hedge: bool = False
    resume_offset: int = 0
    prediction: EnginePrediction | None = None
    stalled: bool = False


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt whose result is no longer needed."""

    attempt: AttemptId
    endpoint: str


@dataclass(frozen=True, slots=True)
class QueryAttempt:
    """Query the incarnation that an attempt is bound to for the attempt's outcome."""

    attempt: AttemptId
    endpoint: str


@dataclass(frozen=True, slots=True)
class PollLoad:
    """Request a load report from an endpoint's sidecar without sending it a call."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class Answer:
    """Send the caller the complete answer: every stage has finished."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """
    End the request immediately without an answer.

    The caller may retry after ``retry_after_s`` seconds.
    """

    request_id: str
    outcome: RequestOutcome
    reason: RefusalReason
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PieceSpec:
    """
    One piece of a request's stage; ``deadline`` is a time stamp in seconds.

    ``inputs`` holds the handles of the stored results that the piece reads. A piece
    that reads none takes its input from ``key``.
    """

    request_id: str
    stage: int
    number: int
    deadline: float
    key: str = ""
    inputs: tuple[str, ...] = ()


class CallDetails(NamedTuple):
    """
    The state in which a call with pieces was composed, for the log.

    ``waiting`` pieces were queued for a call of at most ``batch_limit``; the oldest of
    those chosen had waited for ``waited_s`` seconds. ``memory_bytes`` were free for
    results. ``shortage`` says why the call holds fewer pieces than ``batch_limit``.
    """

    batch_limit: int = 0
    waiting: int = 0
    waited_s: float = 0.0
    memory_bytes: float = 0.0
    shortage: str = ""


NO_DETAILS = CallDetails()


@dataclass(frozen=True, slots=True)
class RunPieces:
    """Send one call with pieces of any requests; it times out after ``timeout_s``."""

    call: int
    endpoint: str
    pieces: tuple[PieceSpec, ...]
    timeout_s: float
    details: CallDetails = NO_DETAILS


@dataclass(frozen=True, slots=True)
class FreeResults:
    """
    Let an endpoint delete stored results that no request needs any more.

    ``held_s`` is the age of the oldest of them in seconds.
    """

    endpoint: str
    handles: tuple[str, ...]
    held_s: float = 0.0


@dataclass(frozen=True, slots=True)
class SubmitToPeer:
    """Submit jobs to another entry, to be run at the endpoints that it calls."""

    peer: str
    jobs: tuple[PieceJob, ...]


@dataclass(frozen=True, slots=True)
class ReportToPeer:
    """Report to another entry the outcomes of jobs that it submitted."""

    peer: str
    reports: tuple[PieceReport, ...]


@dataclass(frozen=True, slots=True)
class FreeAtPeer:
    """
    Release results through the entry that calls the endpoints which store them.

    ``ended`` is the id of a request that has ended, if any: its remaining pieces need
    not be computed.
    """

    peer: str
    results: tuple[StoredResult, ...]
    ended: str = ""


@dataclass(frozen=True, slots=True)
class WithdrawAtPeer:
    """
    Withdraw those of these jobs that another entry has not started.

    ``serial`` is passed on with the answer; it is 0 for jobs that are not moved, but of
    which no report is expected from that entry any more.
    """

    peer: str
    serial: int
    pieces: tuple[Piece, ...]


@dataclass(frozen=True, slots=True)
class RateLimitChanged:
    """Log a limit that an own response named, or that another entry has passed on."""

    notice: RateLimitNotice
    is_own: bool


@dataclass(frozen=True, slots=True)
class SpreadRateLimits:
    """Pass limits that endpoints named on to other entries."""

    peers: tuple[str, ...]
    notices: tuple[RateLimitNotice, ...]


@dataclass(frozen=True, slots=True)
class AskPermits:
    """Ask the entry that issues them for permits to send to endpoints."""

    peer: str
    asks: tuple[PermitAsk, ...]


@dataclass(frozen=True, slots=True)
class CheckEndpoint:
    """Find out whether an endpoint that lost attempts still keeps connections open."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class PartChanged:
    """Log that a part or a request is blocked or cleared, here or elsewhere."""

    notice: PartNotice
    is_own: bool


@dataclass(frozen=True, slots=True)
class SpreadPartNotices:
    """Pass notices on parts of prompts and on requests on to other entries."""

    peers: tuple[str, ...]
    notices: tuple[PartNotice, ...]


@dataclass(frozen=True, slots=True)
class ReportEnds:
    """Report ends of endpoints to an entry that decides on the parts."""

    peer: str
    ends: tuple[PartEnd, ...]


@dataclass(frozen=True, slots=True)
class ReportSuccess:
    """Report successes of parts to an entry that has asked."""

    peer: str
    successes: tuple[PartSuccess, ...]


@dataclass(frozen=True, slots=True)
class ExchangeLoads:
    """Send another entry load figures; its answer holds those that this one lacks."""

    peer: str
    message: LoadMessage


@dataclass(frozen=True, slots=True)
class SendUsage:
    """Report the work of client accounts to other entries."""

    peers: tuple[str, ...]
    report: UsageReport


@dataclass(frozen=True, slots=True)
class FairSharesChanged:
    """
    Log that a resource is divided among accounts, or not any more.

    ``level_s`` is the work by unit of share, ``above`` the number of accounts with more
    than that, and ``senders`` the number of entries that were heard.
    """

    resource: Resource
    is_short: bool
    level_s: float
    above: int
    senders: int


@dataclass(frozen=True, slots=True)
class UsageFault:
    """Log that an entry reports absurd figures, which are bounded or left out."""

    peer: str
    fault: str


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
    | WithdrawAtPeer
    | RateLimitChanged
    | SpreadRateLimits
    | AskPermits
    | CheckEndpoint
    | PartChanged
    | SpreadPartNotices
    | ReportEnds
    | ReportSuccess
    | ExchangeLoads
    | SendUsage
    | FairSharesChanged
    | UsageFault
)
