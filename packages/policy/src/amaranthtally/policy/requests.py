"""What the policy keeps of a request and its attempts."""

from dataclasses import dataclass, field

from amaranthtally.policy.events import Arrival
from amaranthtally.policy.model import AttemptId, Stage
from amaranthtally.policy.piece_graph import StoredResult
from amaranthtally.policy.stream_progress import Stream

__all__ = ["LiveAttempt", "Request"]


@dataclass(slots=True)
class LiveAttempt:
    """
    An attempt that was sent and has not ended.

    ``sent_at`` is a time stamp. ``wait_s`` and ``run_s`` were predicted, and so
    were ``beside``, the calls that run at its side, and the share ``cached``.
    ``reading`` counts the prompt tokens that it was predicted to read.
    """

    endpoint: str
    sent_at: float
    wait_s: float
    run_s: float
    beside: float
    cached: float = 0.0
    hedge: bool = False
    probe: bool = False
    asks: int = 0
    reading: int = 0
    stream: Stream = field(default_factory=Stream)


@dataclass(slots=True)
class Request:
    """
    A request that was admitted and has not ended.

    ``sent`` counts attempts over all stages and ``unstarted`` those proved not to
    have started. ``number``, ``resends`` and ``stage_unstarted`` count within the
    stage. ``remaining``
    holds the stage that runs now, ``current``, and those after it. While it is
    ``gathering`` its pieces are made; ``inputs`` are their results, and ``retry_cost``
    what the attempt that waits for them takes from the retry budget.
    """

    arrival: Arrival
    stage: int = 0
    number: int = 0
    resends: int = 0
    sent: int = 0
    unstarted: int = 0
    stage_unstarted: int = 0
    chunks: int = 0
    previous_bytes: int = 0
    inputs: tuple[StoredResult, ...] = ()
    gathering: bool = False
    retry_cost: float = 0.0
    avoid: frozenset[str] = frozenset()
    live: dict[AttemptId, LiveAttempt] = field(default_factory=dict)
    remaining: tuple[Stage, ...] = field(init=False)
    current: Stage = field(init=False)

    def __post_init__(self) -> None:
        self.remaining = self.arrival.pipeline.stages
        self.current = self.remaining[0]

    @property
    def id(self) -> str:
        """The request's id."""
        return self.arrival.request_id

    @property
    def bound_to(self) -> str:
        """The one endpoint that may run the current stage; empty where any may."""
        return self.arrival.bound.get(self.stage, "")

    @property
    def may_run_again(self) -> bool:
        """Whether another endpoint may run the current stage."""
        limit = self.current.max_attempts
        return not limit or self.number - self.stage_unstarted < limit

    @property
    def nothing_started(self) -> bool:
        """Whether every attempt sent is proved not to have started."""
        return self.sent == self.unstarted

    def next_stage(self) -> None:
        """Go on to the next stage, or past the last."""
        self.stage += 1
        self.remaining = self.remaining[1:]
        if self.remaining:
            self.current = self.remaining[0]
        self.number = 0
        self.resends = 0
        self.stage_unstarted = 0
        self.chunks = 0
        self.avoid = frozenset()
