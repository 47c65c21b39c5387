"""Events that the policy handles."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from amaranthtally.policy.model import Pipeline
from amaranthtally.policy.not_run import NOT_SENT, NotRunProof, proof_of_not_run
from amaranthtally.policy.part_successes import PartKey
from amaranthtally.policy.request_key import RequestKey
from amaranthtally.policy.routes import PieceStage
from amaranthtally.policy.stream_origins import StreamOrigin

__all__ = [
    "UNREACHABLE",
    "Arrival",
    "AttemptOutcome",
    "AttemptResult",
    "CacheEvent",
    "LoadReport",
    "PieceWork",
]


@dataclass(frozen=True, slots=True)
class PieceWork:
    """
    Pieces to be computed before a request's first stage.

    ``counts`` holds the number of pieces of each stage of the graph. ``key`` names the
    input of the pieces that read no results.
    """

    stages: tuple[PieceStage, ...]
    counts: tuple[int, ...]
    key: str = ""


@dataclass(frozen=True, slots=True)
class Arrival:
    """
    A request as a caller sent it; time stamps in seconds.

    ``pipeline`` is resolved from the settings in force on arrival and stays with the
    request to its end. ``bound`` maps the index of a stage that must not be repeated to
    the only endpoint that may run it. An answer after ``objective`` is late; 0 stands
    for the deadline. ``prefix`` identifies the parts of the prompt, and
    ``prefix_sizes`` holds their tokens where they differ in size. ``piece_work`` is
    computed before the first stage. At ``caller_timeout_at`` the caller disconnects if
    a stream has not begun; with 0 it waits until the deadline. ``origin`` is set if the
    caller has the first part of its stream already: only endpoints of that origin may
    send the rest. ``key`` identifies its content, ``None`` if that is not known.
    """

    request_id: str
    account: str
    pipeline: Pipeline
    deadline: float
    input_bytes: int = 0
    priority: int = 0
    streaming: bool = False
    prefix: tuple[int, ...] = ()
    bound: Mapping[int, str] = field(default_factory=dict)
    objective: float = 0.0
    prefix_sizes: tuple[int, ...] = ()
    piece_work: PieceWork | None = None
    caller_timeout_at: float = 0.0
    origin: StreamOrigin | None = None
    key: RequestKey | None = None

    @property
    def guarded_parts(self) -> tuple[PartKey, ...]:
        """
        What may be kept away from endpoints, as these end on it.

        The last part of a prompt is the request's own or its session's, and other
        requests of that session may be sound.
        """
        shared: tuple[PartKey, ...] = self.prefix[:-1]
        return shared if self.key is None else (*shared, self.key)

    @property
    def latest_start(self) -> float:
        """
        The time stamp by which the answer must begin.

        Callers may disconnect before their deadline: with a deadline of 20 s they left
        after 9 s without an event. In a burst the least urgent requests waited for
        longer than that, and 5 % of all stage work was done for callers that had left.
        """
        return min(self.deadline, self.caller_timeout_at or self.deadline)


class AttemptOutcome(Enum):
    """
    How one attempt ended.

    ``NOT_RUN`` is proof that it did not start. ``LOST`` means that the connection
    failed and the sidecar can still be queried; ``UNKNOWN`` is final.
    """

    FINISHED = "finished"
    NOT_RUN = "not_run"
    FAILED = "failed"
    LOST = "lost"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """
    The end of one attempt; times in seconds.

    ``permanent`` marks a failure that would recur at any endpoint, ``unreachable`` that
    no connection to the endpoint could be opened. With ``inputs_missing`` the attempt
    did not run because the endpoint no longer keeps a result that it was to read.
    ``connection_lost`` says that the connection ended before the response. A response
    that is not ``is_framed`` ends with its connection, whatever closes that. With
    ``begun`` the endpoint had begun to answer. ``proof`` is why an attempt counts as
    not run.
    """

    outcome: AttemptOutcome
    run_s: float = 0.0
    queued_s: float = 0.0
    output_bytes: int = 0
    retry_after_s: float = 0.0
    permanent: bool = False
    unreachable: bool = False
    inputs_missing: bool = False
    connection_lost: bool = False
    is_framed: bool = True
    begun: bool = False
    proof: NotRunProof | None = None


UNREACHABLE = AttemptResult(
    AttemptOutcome.NOT_RUN, unreachable=True, proof=proof_of_not_run(NOT_SENT)
)


@dataclass(frozen=True, slots=True)
class LoadReport:
    """
    An endpoint's load as reported by its sidecar; times in seconds.

    ``models`` are those that it serves now; ``None`` stands for any model. ``ended``
    counts this entry's attempts that the report no longer contains although the planner
    has not yet processed their end, such as the one whose reply carried the report.
    ``host_slowness`` is how many times as long as usual work takes on its host, or
    ``None`` if it does not say.
    """

    incarnation: int
    running: int
    queued: int
    limit: int
    service_s: float
    backlog_s: float
    leaving: bool
    models: frozenset[str] | None = None
    ended: int = 0
    host_slowness: float | None = None


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Prefix blocks that an endpoint stored and removed; serials are consecutive."""

    serial: int
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()
