"""Typed messages of the sidecar protocol, independent of the transport."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum

__all__ = [
    "AtMostOnceTerms",
    "CacheUpdate",
    "CallId",
    "ChunkHandler",
    "ChunksHandler",
    "HelloReply",
    "Load",
    "ModelState",
    "OutcomeQuery",
    "SettingsDelta",
    "StageCall",
    "StageReply",
    "Status",
    "StreamPart",
]

# Receives a chunk's offset in the stage's output, counted in chunks, and its text.
ChunkHandler = Callable[[int, str], Awaitable[None]]
# Receives the offset of the first of several consecutive chunks, and their texts.
ChunksHandler = Callable[[int, Sequence[str]], None]


class Status(Enum):
    """Outcome of a stage call."""

    FINISHED = "finished"
    NOT_RUN = "notRun"
    FAILED = "failed"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"


class OutcomeQuery(Enum):
    """
    How to query the outcome of an at-most-once call.

    ``POLL`` returns immediately, ``WAIT`` returns when the call has ended, and
    ``WITHDRAW`` prevents a call that has not started from starting.
    """

    POLL = "look"
    WAIT = "wait"
    WITHDRAW = "withdraw"


@dataclass(frozen=True, slots=True)
class CallId:
    """Identifies one attempt at one stage of one request."""

    request_id: str
    stage: int
    attempt: int


@dataclass(frozen=True, slots=True)
class ModelState:
    """
    The models that an engine currently serves, its role, and its last order.

    ``last_order`` is a text for operators; empty before the first order.
    """

    served: frozenset[str] = frozenset()
    role: str = ""
    last_order: str = ""


@dataclass(frozen=True, slots=True)
class Load:
    """
    A sidecar's state, sent with every reply.

    ``service_s`` is the smoothed service time of a call at the endpoint and
    ``backlog_s`` the predicted queueing delay of a new call, both in seconds.
    ``incarnation`` is a random number drawn at each start of the sidecar; ``clock_s``
    is the number of seconds since that start. ``leaving`` is true while the sidecar
    accepts no new calls. ``models`` is ``None`` if it accepts calls for any model.
    ``ended_calls`` is not sent: an entry sets it locally to the number of its own calls
    whose replies carried this load.
    """

    incarnation: int = 0
    running: int = 0
    queued: int = 0
    limit: int = 1
    leaving: bool = False
    service_s: float = 0.0
    backlog_s: float = 0.0
    revision: int = 0
    clock_s: float = 0.0
    models: ModelState | None = None
    ended_calls: int = 0


@dataclass(frozen=True, slots=True)
class AtMostOnceTerms:
    """
    Conditions under which an at-most-once call may run.

    Only the sidecar incarnation ``incarnation`` may run the call. ``issued_s`` and
    ``expires_s`` are times on that incarnation's clock, in seconds. A copy of the
    call that arrives after ``expires_s`` is not run; 0 means no limit. ``permit`` is
    the number of withdrawals of the call that the sender knows of; ``fingerprint``
    is a digest of the input.
    """

    incarnation: int = 0
    issued_s: float = 0.0
    permit: int = 0
    fingerprint: str = ""
    expires_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CacheUpdate:
    """
    Prompt blocks that an engine's prefix cache stored and removed since a serial.

    ``serial`` is the serial of the latest change; 0 means that the message carries no
    update. ``reset`` means that the receiver must discard all blocks it knew before.
    """

    serial: int = 0
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()
    reset: bool = False


NO_CACHE_UPDATE = CacheUpdate()


@dataclass(frozen=True, slots=True)
class StageCall:
    """
    A request to run a stage; ``remaining_s`` is the time to its deadline, in seconds.

    A call with ``repeatable`` false is an at-most-once call: its effect must not
    happen twice. It carries the ``terms`` under which it may run and a ``call_key``
    that identifies the effect. ``cache_serial`` is the serial of the last cache
    update that the sender has received from this sidecar.
    """

    id: CallId
    account: str
    stage_name: str
    input: bytes
    remaining_s: float
    priority: int = 0
    repeatable: bool = True
    terms: AtMostOnceTerms = AtMostOnceTerms()
    call_key: str = ""
    streaming: bool = False
    resume_offset: int = 0
    model: str = ""
    revision: int = 0
    cache_serial: int = 0


@dataclass(frozen=True, slots=True)
class StageReply:
    """
    The outcome of a stage call; ``output`` is JSON if the call finished.

    ``permanent`` marks a failure that a retry would meet again. ``permit`` is the
    permit that a new copy of a call that was not run needs to be allowed to start.
    ``queued_s`` and ``run_s`` are the call's times in the queue and at the endpoint,
    in seconds.
    """

    id: CallId
    status: Status
    output: bytes = b""
    reason: str = ""
    retry_after_s: float = 0.0
    load: Load = Load()
    queued_s: float = 0.0
    run_s: float = 0.0
    permanent: bool = False
    permit: int = 0
    cache: CacheUpdate = NO_CACHE_UPDATE


@dataclass(frozen=True, slots=True)
class StreamPart:
    """
    Consecutive chunks of one stream, sent to an entry in one message.

    ``stream`` is the number that the entry assigned to the call ``id``; ``offset``
    is the offset of the first chunk. The sender appends to ``texts`` until it sends
    the part.
    """

    stream: int
    id: CallId
    offset: int
    texts: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class HelloReply:
    """A sidecar's reply to ``hello``: the endpoint's name and its load."""

    endpoint: str
    load: Load


@dataclass(frozen=True, slots=True)
class SettingsDelta:
    """
    Encoded settings changes after a revision, oldest first.

    If the peer no longer keeps the changes since that revision, ``snapshot`` holds
    the whole settings tree instead. ``revision`` is the peer's current revision.
    """

    revision: int
    changes: tuple[bytes, ...] = ()
    snapshot: bytes = b""
