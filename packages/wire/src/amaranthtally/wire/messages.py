"""Typed messages of the inner protocol, free of any transport."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum

__all__ = [
    "CacheUpdate",
    "CallId",
    "ChunkHandler",
    "ChunksHandler",
    "HelloReply",
    "OutcomeQuery",
    "Load",
    "ModelState",
    "AtMostOnceTerms",
    "SettingsDelta",
    "StageCall",
    "StageReply",
    "Status",
    "StreamPart",
]

# Receives the offset of a chunk in the stage's output, counted in chunks, and its text.
ChunkHandler = Callable[[int, str], Awaitable[None]]
# Receives the offset of the first of some consecutive chunks, and their texts.
ChunksHandler = Callable[[int, Sequence[str]], None]


class Status(Enum):
    """What became of a stage call."""

    FINISHED = "finished"
    NOT_RUN = "notRun"
    FAILED = "failed"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"


class OutcomeQuery(Enum):
    """
    How to ask after a call that may not be repeated.

    ``POLL`` answers at once, ``WAIT`` once the call has ended, ``WITHDRAW``
    keeps it from starting where it has not.
    """

    POLL = "look"
    WAIT = "wait"
    WITHDRAW = "withdraw"


@dataclass(frozen=True, slots=True)
class CallId:
    """One attempt at one stage of one request."""

    request_id: str
    stage: int
    attempt: int


@dataclass(frozen=True, slots=True)
class ModelState:
    """
    The models that an engine answers now, its role, and its last order.

    ``last_order`` is in words for operators; empty before any order.
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
    is the number of seconds since that start. ``models`` is ``None`` if the endpoint
    accepts calls for any model. ``ended_calls`` is not sent: an entry sets it locally
    to the number of its own calls whose replies carried this load.
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
    Which incarnation alone may run a call, and from which copies.

    ``issued_s`` is a time on that incarnation's clock; ``permit`` counts the
    withdrawals that the sender knows of; ``fingerprint`` stands for the input. A
    copy that arrives after ``expires_s`` on that clock is not run; 0: no limit.
    """

    incarnation: int = 0
    issued_s: float = 0.0
    permit: int = 0
    fingerprint: str = ""
    expires_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CacheUpdate:
    """
    Blocks of prompts that a sidecar's engine stored and removed since a serial.

    ``reset`` says that whatever was known before is to be forgotten; a ``serial``
    of 0 that there is no news.
    """

    serial: int = 0
    stored: tuple[int, ...] = ()
    removed: tuple[int, ...] = ()
    reset: bool = False


NO_CACHE_UPDATE = CacheUpdate()


@dataclass(frozen=True, slots=True)
class StageCall:
    """
    A stage to run. ``remaining_s`` is the time left, in seconds.

    A call with ``repeatable`` false carries the ``terms`` under which it may run
    and a ``call_key`` that names the effect. ``cache_serial`` is the serial up to
    which the sender knows the sidecar's news of cached prefixes.
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
    The outcome of a stage call; ``output`` is JSON when it finished.

    ``permanent`` marks a failure that another attempt would meet again;
    ``permit`` is the one under which a call that has not started may start.
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
    Consecutive chunks of one stream on their way to an entry.

    ``stream`` is the entry's number for the call ``id``; ``offset`` is that of the
    first chunk. ``texts`` grows until the part is sent.
    """

    stream: int
    id: CallId
    offset: int
    texts: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class HelloReply:
    """A sidecar's answer to ``hello``."""

    endpoint: str
    load: Load


@dataclass(frozen=True, slots=True)
class SettingsDelta:
    """
    Changes that a peer has after a revision, encoded, oldest first.

    ``snapshot`` is the whole tree where the changes are kept no more.
    """

    revision: int
    changes: tuple[bytes, ...] = ()
    snapshot: bytes = b""
