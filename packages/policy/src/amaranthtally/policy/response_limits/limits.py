"""
Bounds on responses, by kind of call.

Workload: an endpoint that sends bytes without end, in a head or in a body. The bounds
end only what no endpoint intends; deadlines end what is merely late.
"""

from enum import Enum
from math import inf
from typing import NamedTuple

__all__ = [
    "DEFAULT_STAGE_LIMITS",
    "PLATFORM_LIMIT",
    "WEIGHTS_LIMIT",
    "ResponseKind",
    "ResponseLimit",
    "ResponseLimits",
    "StageLimits",
    "build_response_limits",
    "build_stage_limits",
]

KIB = 1024
MIB = 1024 * KIB
# aiohttp parses at most this many lines by default. Endpoints send about ten.
MAX_HEADER_LINES = 128
# Four header lines of the largest size that is accepted, in bytes.
MAX_HEAD_BYTES = 64 * KIB
# A response that has begun may pause while its endpoint serves others. After this time,
# in seconds, it has outlasted the deadlines of all callers, of at most 20 s.
MAX_STALL_S = 30.0
# The request bodies that a configuration allows if it says nothing, in bytes.
DEFAULT_REQUEST_BYTES = 4 * MIB
# Multiples of the largest request body that bound the responses. A response is held as
# a whole. A stream is passed on, so that its length costs no memory.
RESPONSE_FACTOR = 4
STREAM_FACTOR = 16
# A call with pieces returns a handle or a fault for each of some tens of pieces.
MAX_PIECES_BYTES = 1 * MIB
MAX_FREE_BYTES = 64 * KIB
# The store returns all records of a prefix at once, and the operators' configuration.
MAX_STORE_BYTES = 32 * MIB
# What a sidecar's endpoint may return for a stage, in bytes, and the multiple of it
# that bounds an engine's stream.
DEFAULT_STAGE_BYTES = RESPONSE_FACTOR * DEFAULT_REQUEST_BYTES
STAGE_STREAM_FACTOR = 4


class ResponseKind(Enum):
    """The kinds of calls whose responses are bounded."""

    REQUEST = "request"
    STREAM = "stream"
    PIECES = "pieces"
    FREE = "free"
    STORE = "store"


class ResponseLimit(NamedTuple):
    """
    Bounds of one response.

    ``head_bytes`` includes informational responses before the final head, and
    ``body_bytes`` includes the framing of chunks. ``stall_s`` is how long a response
    that has begun may bring no bytes, in seconds. ``is_held`` says whether a body is
    kept until it is complete; others are passed on as they come.
    """

    head_bytes: int
    header_lines: int
    body_bytes: float
    stall_s: float
    is_held: bool = True


class StageLimits(NamedTuple):
    """Bounds of the responses of a sidecar's endpoint, to whole calls and streams."""

    whole: ResponseLimit
    stream: ResponseLimit


# The clients of these have time-outs of their own, some of them longer than a stall.
PLATFORM_LIMIT = ResponseLimit(MAX_HEAD_BYTES, MAX_HEADER_LINES, MAX_STORE_BYTES, inf)
# Weights have any size: they are passed on to the engine, which knows how large it is.
WEIGHTS_LIMIT = ResponseLimit(MAX_HEAD_BYTES, MAX_HEADER_LINES, inf, inf, is_held=False)


class ResponseLimits:
    """The bounds of all kinds of calls, for a largest request body in bytes."""

    def __init__(self, request_bytes: int) -> None:
        self._bodies: dict[ResponseKind, int] = {}
        self.configure(request_bytes)

    def configure(self, request_bytes: int) -> None:
        """Adapt the bounds to a largest request body; never below the default's."""
        base = max(request_bytes, DEFAULT_REQUEST_BYTES)
        self._bodies = {
            ResponseKind.REQUEST: RESPONSE_FACTOR * base,
            ResponseKind.STREAM: STREAM_FACTOR * base,
            ResponseKind.PIECES: MAX_PIECES_BYTES,
            ResponseKind.FREE: MAX_FREE_BYTES,
            ResponseKind.STORE: MAX_STORE_BYTES,
        }

    def of(self, kind: ResponseKind) -> ResponseLimit:
        """Return the bounds of a response to a call of this kind."""
        return ResponseLimit(
            MAX_HEAD_BYTES,
            MAX_HEADER_LINES,
            self._bodies[kind],
            MAX_STALL_S,
            is_held=kind is not ResponseKind.STREAM,
        )


def build_response_limits(request_bytes: int = DEFAULT_REQUEST_BYTES) -> ResponseLimits:
    """Return the bounds for a configuration's largest request body, in bytes."""
    return ResponseLimits(request_bytes)


def build_stage_limits(response_bytes: int) -> StageLimits:
    """Return the bounds for the largest response of an endpoint, in bytes."""
    whole = ResponseLimit(MAX_HEAD_BYTES, MAX_HEADER_LINES, response_bytes, inf)
    stream_bytes = STAGE_STREAM_FACTOR * response_bytes
    return StageLimits(whole, whole._replace(body_bytes=stream_bytes, is_held=False))


DEFAULT_STAGE_LIMITS = build_stage_limits(DEFAULT_STAGE_BYTES)
