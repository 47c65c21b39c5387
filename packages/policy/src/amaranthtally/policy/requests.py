"""The state of requests in flight and of their live attempts."""

from dataclasses import dataclass, field

from amaranthtally.policy.engine_views import EnginePrediction
from amaranthtally.policy.events import Arrival
from amaranthtally.policy.home_regions import Regions
from amaranthtally.policy.memory_budget import HeldRequest
from amaranthtally.policy.model import AttemptId, Stage
from amaranthtally.policy.piece_graph import StoredResult
from amaranthtally.policy.streams import StreamProgress

__all__ = ["LiveAttempt", "Request"]


@dataclass(slots=True)
class LiveAttempt:
    """
    An attempt that was sent and has not ended.

    ``sent_at`` is a time stamp. Predicted when it was sent were ``wait_s``, ``run_s``,
    the number of ``concurrent`` other calls, and the ``cached_share`` of its prefix.
    ``pending_prefill_tokens`` are the prompt tokens that it was predicted to process, 0
    after its first chunk. ``queries`` counts the queries for its outcome. ``version``
    is that of the endpoint's software, ``incarnation`` that of the endpoint.
    ``prediction`` is set if its engine was chosen by a shared view. ``held`` counts its
    bytes in the memory of the endpoint.
    """

    endpoint: str
    version: str
    sent_at: float
    wait_s: float
    run_s: float
    concurrent: float
    cached_share: float = 0.0
    hedge: bool = False
    probe: bool = False
    queries: int = 0
    pending_prefill_tokens: int = 0
    stream: StreamProgress = field(default_factory=StreamProgress)
    incarnation: int = 0
    prediction: EnginePrediction | None = None
    held: HeldRequest | None = None

    @property
    def first_answer_s(self) -> float:
        """Predicted seconds to its first event, or to its whole answer without view."""
        if self.prediction is not None:
            return self.prediction.first_event_s
        return self.wait_s + self.run_s


@dataclass(slots=True)
class Request:
    """
    A request that was admitted and has not ended.

    ``attempts_sent`` counts the attempts at all stages, and ``attempts_not_run`` those
    that provably did not run. ``stage_attempts``, ``stage_attempts_not_run`` and
    ``resends`` count only those at the current stage; ``chunks`` is the number of its
    chunks that the caller has. ``remaining`` holds the current stage and those after
    it, ``excluded`` the endpoints at which the current stage has failed. While the
    request ``awaits_inputs``, its pieces are being computed; ``inputs`` are their
    results, and ``retry_cost`` is the budget cost of the attempt that waits for them.
    ``version`` is the software version at which the current stage's stream began, which
    alone may go on with it; ``None`` before the first chunk. A request that
    ``is_trial`` is sent once although a part of its prompt is blocked. ``regions`` are
    those to which it is confined, ``None`` if it may be served anywhere.
    """

    arrival: Arrival
    stage_index: int = 0
    stage_attempts: int = 0
    resends: int = 0
    attempts_sent: int = 0
    attempts_not_run: int = 0
    stage_attempts_not_run: int = 0
    chunks: int = 0
    previous_bytes: int = 0
    inputs: tuple[StoredResult, ...] = ()
    awaits_inputs: bool = False
    retry_cost: float = 0.0
    version: str | None = None
    excluded: frozenset[str] = frozenset()
    is_trial: bool = False
    regions: Regions | None = None
    live: dict[AttemptId, LiveAttempt] = field(default_factory=dict)
    remaining: tuple[Stage, ...] = field(init=False)
    current_stage: Stage = field(init=False)

    def __post_init__(self) -> None:
        self.remaining = self.arrival.pipeline.stages
        self.current_stage = self.remaining[0]
        if self.arrival.origin is not None:
            self.version = self.arrival.origin.version

    @property
    def id(self) -> str:
        """The request's id."""
        return self.arrival.request_id

    @property
    def segments(self) -> tuple[tuple[int, ...], tuple[int, ...]]:
        """The segments of its prompt and their tokens."""
        return self.arrival.prefix, self.arrival.prefix_sizes

    @property
    def bound_to(self) -> str:
        """The only endpoint that may run the current stage, or "" if any may."""
        return self.arrival.bound.get(self.stage_index, "")

    @property
    def sent_bytes(self) -> int:
        """Bytes of what an attempt at the current stage is sent."""
        return self.arrival.input_bytes + self.previous_bytes

    @property
    def has_attempts_left(self) -> bool:
        """Whether the stage's limit allows another attempt that may run."""
        limit = self.current_stage.max_attempts
        return not limit or self.stage_attempts - self.stage_attempts_not_run < limit

    @property
    def may_begin_elsewhere(self) -> bool:
        """Whether another endpoint may begin the answer, as nothing of it has come."""
        has_inputs = self.arrival.piece_work is None or bool(self.inputs)
        begins = self.arrival.origin is None and not self.chunks
        return begins and has_inputs and not self.is_trial

    @property
    def nothing_started(self) -> bool:
        """Whether all attempts sent provably did not run."""
        return self.attempts_sent == self.attempts_not_run

    def next_stage(self) -> None:
        """Advance to the next stage, or past the last."""
        self.stage_index += 1
        self.remaining = self.remaining[1:]
        if self.remaining:
            self.current_stage = self.remaining[0]
        self.stage_attempts = 0
        self.resends = 0
        self.stage_attempts_not_run = 0
        self.chunks = 0
        self.version = None
        self.excluded = frozenset()
