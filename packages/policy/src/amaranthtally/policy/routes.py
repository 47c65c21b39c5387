"""Which callers' requests go where: routes, pools, accounts and callers' limits."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from math import ceil
from typing import NamedTuple

__all__ = [
    "Account",
    "CallKind",
    "CallerLimits",
    "EngineLimits",
    "PieceLimits",
    "PieceStage",
    "Pool",
    "Route",
    "RouteTable",
    "WeightedPool",
    "request_rank",
]

DEFAULT_HEADER_BYTES = 16_384
DEFAULT_BODY_BYTES = 4_194_304
DEFAULT_HEADER_TIMEOUT_S = 3.0
DEFAULT_IDLE_TIMEOUT_S = 15.0
# How many priorities an account or a route can have; lower ones count as the last.
# Their product fits the two bytes that a rank has between entries.
PRIORITIES = 100


class CallKind(Enum):
    """What may be repeated of a route's calls, and how they are answered."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class WeightedPool(NamedTuple):
    """A pool and its share of a route's requests, in any unit."""

    pool: str
    weight: float


@dataclass(frozen=True, slots=True)
class PieceStage:
    """
    A stage of a route's graph, run in pieces before the request itself.

    ``after`` holds the positions of the stages whose results its pieces read;
    ``result_bytes`` is the approximate size of one piece's result.
    """

    pool: str
    after: tuple[int, ...] = ()
    result_bytes: float = 0.0


@dataclass(frozen=True, slots=True)
class PieceLimits:
    """
    What one endpoint of a pool for pieces takes.

    ``slots`` calls run at once and ``queue`` wait; a call holds at most ``batch``
    pieces and takes ``call_s`` and ``piece_s`` for each piece, in seconds. Results
    share ``memory_bytes`` and are kept for ``result_ttl_s`` seconds at most.
    """

    slots: int = 1
    queue: int = 0
    batch: int = 1
    call_s: float = 0.0
    piece_s: float = 0.0
    memory_bytes: float = 0.0
    result_ttl_s: float = 0.0

    def call_time_s(self, pieces: int) -> float:
        """Return how long a call with so many pieces takes."""
        return self.call_s + pieces * self.piece_s

    def full_call_time_s(self) -> float:
        """Return how long a call with as many pieces as it may hold takes."""
        return self.call_time_s(self.batch)

    def part_size(self, pieces: int) -> int:
        """
        Return how many of a stage's pieces go together: all, or even parts of them.

        A request that is larger than a call would else find none that is empty beside
        smaller ones, and be late each time.
        """
        parts = ceil(pieces / max(1, self.batch))
        return max(1, ceil(pieces / max(1, parts)))

    def part_index(self, number: int, pieces: int) -> int:
        """Return which part of a stage's pieces one belongs to, from 0."""
        return number // self.part_size(pieces)

    @property
    def piece_share_s(self) -> float:
        """A piece's share of a full call, in seconds."""
        return self.full_call_time_s() / max(1, self.batch)


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """What one model engine takes: requests at once, and tokens in its memory."""

    slots: int = 1
    token_capacity: int = 0


@dataclass(frozen=True, slots=True)
class Pool:
    """Endpoints that do the same work; limits are those of one endpoint."""

    name: str
    max_connections: int = 0
    pieces: PieceLimits | None = None
    engine: EngineLimits | None = None


@dataclass(frozen=True, slots=True)
class Route:
    """
    Callers' requests of one host and path prefix, and how they are served.

    Times are in seconds from when the caller sent the request. ``timeout_s`` bounds the
    whole answer. ``objective_s`` is the latency objective, after which an answer is
    late; ``max_event_gap_s`` is the longest time between two events of a stream that
    is not. ``caller_timeout_s`` is how long callers wait for a stream's first or next
    event before they disconnect; with 0 they wait until the deadline that they sent.
    ``priority`` 0 is the highest.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    targets: tuple[WeightedPool, ...]
    timeout_s: float
    objective_s: float
    max_event_gap_s: float = 0.0
    caller_timeout_s: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    stages: tuple[PieceStage, ...] = ()
    is_public: bool = False
    has_prompt: bool = False
    is_resumable: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether one request may run more than once."""
        return self.kind is CallKind.IDEMPOTENT or self.is_resumable


@dataclass(frozen=True, slots=True)
class Account:
    """A client account; ``priority`` goes before that of a route where it is set."""

    name: str
    priority: int | None = None


def request_rank(route: Route, account: Account | None) -> int:
    """
    Return which requests go first where not all can; 0 is the first.

    The account's priority decides, and among equals the route's. The failure: all
    accounts had one priority, the routes' counted for nothing beside it, and in a burst
    the kind that operators had put first was on time less often than any other.
    """
    first = route.priority
    if account is not None and account.priority is not None:
        first = account.priority
    return _bounded(first) * PRIORITIES + _bounded(route.priority)


def _bounded(priority: int) -> int:
    return min(max(priority, 0), PRIORITIES - 1)


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send, in bytes, and how slowly, in seconds."""

    header_bytes: int = DEFAULT_HEADER_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class RouteTable:
    """One version of the operators' configuration; a higher version is newer."""

    version: int
    routes: tuple[Route, ...] = ()
    pools: Mapping[str, Pool] = field(default_factory=dict)
    accounts_by_key: Mapping[str, Account] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    needs_keys: bool = False
    by_host: Mapping[str, tuple[Route, ...]] = field(
        init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        grouped: dict[str, list[Route]] = {}
        for route in self.routes:
            grouped.setdefault(route.host.lower(), []).append(route)
        # The longest prefix wins, so the first match of a sorted group is the route.
        ordered = {
            host: tuple(sorted(group, key=lambda r: len(r.prefix), reverse=True))
            for host, group in grouped.items()
        }
        object.__setattr__(self, "by_host", ordered)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest of ``path``, or ``None``."""
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def account_of(self, key: str) -> Account | None:
        """Return the account that holds a key, or ``None``."""
        return self.accounts_by_key.get(key)
