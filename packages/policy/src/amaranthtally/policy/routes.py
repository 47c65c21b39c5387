"""The routing configuration: routes, pools, accounts and limits of callers."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from math import ceil
from typing import NamedTuple

from amaranthtally.policy.home_regions import HomeRegions, Regions

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
# Number of priorities of an account or a route; less urgent ones count as the last.
# A rank combines both and must fit into two bytes in messages between entries.
PRIORITIES = 100
ANYWHERE: Regions = frozenset()


class CallKind(Enum):
    """Whether a route's calls may be repeated, and whether their answers stream."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class WeightedPool(NamedTuple):
    """A pool and the weight of its share of a route's requests."""

    pool: str
    weight: float


@dataclass(frozen=True, slots=True)
class PieceStage:
    """
    A stage of a route's graph, computed in pieces before the request itself runs.

    ``after`` holds the indices of the stages whose results its pieces read;
    ``result_bytes`` is the approximate size of one piece's result.
    """

    pool: str
    after: tuple[int, ...] = ()
    result_bytes: float = 0.0


@dataclass(frozen=True, slots=True)
class PieceLimits:
    """
    The limits of one endpoint of a pool that computes pieces.

    At most ``slots`` calls run concurrently and ``queue`` wait. A call holds at most
    ``batch`` pieces and takes ``call_s`` seconds plus ``piece_s`` for each of them.
    Results share ``memory_bytes`` and are kept for ``result_ttl_s`` seconds at most.
    """

    slots: int = 1
    queue: int = 0
    batch: int = 1
    call_s: float = 0.0
    piece_s: float = 0.0
    memory_bytes: float = 0.0
    result_ttl_s: float = 0.0

    def call_time_s(self, pieces: int) -> float:
        """Return the duration in seconds of a call with so many pieces."""
        return self.call_s + pieces * self.piece_s

    def full_call_time_s(self) -> float:
        """Return the duration in seconds of a call with ``batch`` pieces."""
        return self.call_time_s(self.batch)

    def part_size(self, pieces: int) -> int:
        """
        Return the size of the parts that a stage's pieces are divided into.

        A part is sent in one call. A stage with more pieces than a call can hold is
        divided evenly: otherwise it would need calls that hold no other request's
        pieces, would rarely get them while smaller requests arrive, and would always be
        late.
        """
        parts = ceil(pieces / max(1, self.batch))
        return max(1, ceil(pieces / max(1, parts)))

    def part_index(self, number: int, pieces: int) -> int:
        """Return the index of the part that a stage's piece belongs to."""
        return number // self.part_size(pieces)

    @property
    def piece_share_s(self) -> float:
        """The duration of a full call divided by its pieces, in seconds."""
        return self.full_call_time_s() / max(1, self.batch)


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """Limits of one model engine: concurrent requests, and tokens in its memory."""

    slots: int = 1
    token_capacity: int = 0


@dataclass(frozen=True, slots=True)
class Pool:
    """
    Interchangeable endpoints; the limits are those of one endpoint.

    One that is cold takes ``cold_rate`` requests a second, any number with 0. It is
    cold for ``cold_start_s`` seconds after its start, and may become so later.
    """

    name: str
    max_connections: int = 0
    pieces: PieceLimits | None = None
    engine: EngineLimits | None = None
    cold_rate: float = 0.0
    cold_start_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Route:
    """
    How requests to one host and path prefix are served.

    Times are in seconds from when the caller sent the request. ``timeout_s`` bounds the
    whole answer. ``objective_s`` is the latency objective, after which an answer is
    late; ``max_event_gap_s`` is the longest time between two events of a stream that
    is not. ``caller_timeout_s`` is how long callers wait for a stream's first or next
    event before they disconnect; with 0 they wait until the deadline that they sent.
    ``priority`` 0 is the highest. Requests are served in ``home_regions`` only, in any
    region if there are none.
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
    home_regions: Regions = ANYWHERE

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be run more than once."""
        return self.kind is CallKind.IDEMPOTENT or self.is_resumable


@dataclass(frozen=True, slots=True)
class Account:
    """
    A client account; its ``priority``, if set, precedes that of the route.

    Its requests are served in ``home_regions`` only, in any region if there are none.
    """

    name: str
    priority: int | None = None
    home_regions: Regions = ANYWHERE


def request_rank(
    route: Route, account: Account | None, *, is_resumed: bool = False
) -> int:
    """
    Return the rank by which requests are served under load; 0 is the most urgent.

    The account's priority decides, and among accounts of equal priority the route's.
    Without the second, all accounts having the same priority, the route that operators
    had given the highest priority was on time less often in a burst than any other.
    A stream that ``is_resumed`` goes before new requests of its account: its caller has
    read a part, which is lost if it is refused.
    """
    account_priority = route.priority
    if account is not None and account.priority is not None:
        account_priority = account.priority
    route_priority = 0 if is_resumed else _bounded(route.priority)
    return _bounded(account_priority) * PRIORITIES + route_priority


def _bounded(priority: int) -> int:
    return min(max(priority, 0), PRIORITIES - 1)


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of callers' requests, in bytes, and time-outs in seconds."""

    header_bytes: int = DEFAULT_HEADER_BYTES
    body_bytes: int = DEFAULT_BODY_BYTES
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


@dataclass(frozen=True, slots=True)
class RouteTable:
    """
    One version of the routing configuration; a higher version is newer.

    With ``needs_keys`` requests must carry an account's key, except on public routes.
    """

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
        # Longest prefix first, so that ``match`` can return the first that matches.
        ordered = {
            host: tuple(sorted(group, key=lambda r: len(r.prefix), reverse=True))
            for host, group in grouped.items()
        }
        object.__setattr__(self, "by_host", ordered)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or ``None``."""
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    @property
    def homes(self) -> HomeRegions:
        """The home regions of routes and of accounts."""
        accounts = self.accounts_by_key.values()
        return HomeRegions(
            {r.name: r.home_regions for r in self.routes if r.home_regions},
            {a.name: a.home_regions for a in accounts if a.home_regions},
        )

    def account_of(self, key: str) -> Account | None:
        """Return the account of an API key, or ``None``."""
        return self.accounts_by_key.get(key)
