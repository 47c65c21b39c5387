"""Decides which of a listener's connections to close, and how many it may have."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import Generic, TypeVar

from amaranthtally.policy.routes import CallerLimits

__all__ = [
    "CALLER_SHARE",
    "PEER_SHARE",
    "SERVICE_SHARE",
    "ConnectionLimits",
    "ConnectionPhase",
    "ConnectionState",
    "caller_connection_limits",
    "is_overdue",
    "most_connections",
    "pick_evicted",
]

# The request line comes in addition to the headers, in bytes.
REQUEST_LINE_BYTES = 16_384
# A body must go on within this time, and a caller must read some of its response, in
# seconds: longer than any caller waits that wants an answer.
STALL_TIMEOUT_S = 30.0
# The part of a process's descriptors that the connections of callers may take, that of
# peers, and that of the few clients of readiness, metrics and the like.
CALLER_SHARE = 3 / 8
PEER_SHARE = 1 / 4
SERVICE_SHARE = 1 / 32
# What a connection may hold outside of any request, in bytes: part of a head and its
# parsed headers, a read that waits, and the objects of the connection.
CONNECTION_BYTES = 98_304
# The part of a process's memory that connections may take.
MEMORY_SHARE = 0.5
# Most connections where neither descriptors nor memory set a limit.
MOST_CONNECTIONS = 10_000
LEAST_CONNECTIONS = 4
# The part of the connections that is closed at once when there is room for no more, so
# that the rest is not searched for each new one.
EVICTED_SHARE = 0.05
# A connection whose request or response has begun gives way only if its client has left
# it standing for this long, in seconds.
STANDSTILL_S = 1.0

ConnectionT = TypeVar("ConnectionT")


class ConnectionPhase(IntEnum):
    """
    What a connection waits for; the first ones give way to new connections first.

    A connection in ``RESPONSE`` has a request that was read as a whole, and never gives
    way. In ``UNREAD`` its caller does not read the response.
    """

    HEAD = 0
    IDLE = 1
    BODY = 2
    UNREAD = 3
    RESPONSE = 4


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """
    Limits of each connection, in bytes and seconds, and of their number.

    ``head_bytes`` bounds what may come without completing a head, or a part of a body:
    heads, empty lines, chunk extensions and trailers.
    """

    head_bytes: int = CallerLimits().header_bytes + REQUEST_LINE_BYTES
    head_timeout_s: float = CallerLimits().header_timeout_s
    idle_timeout_s: float = CallerLimits().idle_timeout_s
    stall_timeout_s: float = STALL_TIMEOUT_S
    connections: int = MOST_CONNECTIONS


@dataclass(frozen=True, slots=True)
class ConnectionState(Generic[ConnectionT]):
    """
    A connection's phase, and since when it has waited in it, in seconds.

    ``is_begun`` says whether any byte of a head has come.
    """

    connection: ConnectionT
    phase: ConnectionPhase
    since: float
    is_begun: bool = True


def caller_connection_limits(
    limits: CallerLimits, connections: int
) -> ConnectionLimits:
    """Return the limits of connections whose callers keep to ``limits``."""
    return ConnectionLimits(
        head_bytes=limits.header_bytes + REQUEST_LINE_BYTES,
        head_timeout_s=limits.header_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
        connections=connections,
    )


def most_connections(
    share: float, descriptors: float, memory_bytes: float = 0.0
) -> int:
    """
    Return the most connections of a listener.

    ``share`` is the part that it may take of ``descriptors``, which the process may
    open; a ``memory_bytes`` of 0 sets no limit.
    """
    by_memory = MEMORY_SHARE * memory_bytes / CONNECTION_BYTES
    most = min(descriptors * share, by_memory or MOST_CONNECTIONS, MOST_CONNECTIONS)
    return max(LEAST_CONNECTIONS, int(most))


def is_overdue(
    state: ConnectionState[ConnectionT], limits: ConnectionLimits, now: float
) -> bool:
    """Whether a connection has waited for longer than it may."""
    waited_s = now - state.since
    match state.phase:
        case ConnectionPhase.HEAD if state.is_begun:
            return waited_s > limits.head_timeout_s
        case ConnectionPhase.HEAD | ConnectionPhase.IDLE:
            return waited_s > limits.idle_timeout_s
        case ConnectionPhase.BODY | ConnectionPhase.UNREAD:
            return waited_s > limits.stall_timeout_s
    return False


def pick_evicted(
    states: Iterable[ConnectionState[ConnectionT]], count: int, now: float
) -> list[ConnectionT]:
    """
    Return the connections that give way to a new one; empty if none may.

    ``count`` is the number of all. Those that have waited longest go first within each
    phase. An ordinary caller sends its request at once, so that a crowd which holds
    connections open gives way to it.
    """
    waiting = [s for s in states if _may_give_way(s, now)]
    if not waiting:
        return []
    phase = min(s.phase for s in waiting)
    candidates = sorted((s for s in waiting if s.phase is phase), key=lambda s: s.since)
    evicted = candidates[: max(1, int(EVICTED_SHARE * count))]
    return [s.connection for s in evicted]


def _may_give_way(state: ConnectionState[ConnectionT], now: float) -> bool:
    if state.phase in (ConnectionPhase.BODY, ConnectionPhase.UNREAD):
        return now - state.since > STANDSTILL_S
    return state.phase is not ConnectionPhase.RESPONSE
