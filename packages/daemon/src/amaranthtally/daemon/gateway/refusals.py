"""Error responses that the gateway itself sends to callers."""

from dataclasses import dataclass

from aiohttp import web

from amaranthtally.adapter.callers import refusal_headers
from amaranthtally.policy import RefusalReason, Refuse, RequestOutcome

__all__ = [
    "NO_MEMORY",
    "STOPPING",
    "UNAVAILABLE",
    "Refusal",
    "refusal_of",
    "refusal_response",
]

# ``Retry-After`` if it is not known how long the cause will last, in seconds. An
# ejected endpoint is tried again after about that time.
DEFAULT_RETRY_AFTER_S = 0.5
UNAVAILABLE = 503
BAD_GATEWAY = 502
TIMED_OUT = 504


@dataclass(frozen=True, slots=True)
class Refusal:
    """Status, reason and time to retry after, in seconds; 0 if a retry cannot help."""

    status: int
    reason: str
    retry_after_s: float = 0.0


# The caller can retry at once, since another gateway will take the request.
STOPPING = Refusal(UNAVAILABLE, "this process is leaving; come back now", 0.05)

# The caller can retry soon, since another gateway may have room.
NO_MEMORY = Refusal(UNAVAILABLE, "no memory for more; come back", DEFAULT_RETRY_AFTER_S)


def refusal_of(refuse: Refuse) -> Refusal:
    """
    Return the error response for a refusal by the policy.

    503 guarantees that the request has not run, so that its caller may send it again.
    It is used only when that is certain; 502 and 504 guarantee nothing.
    """
    reason = refuse.reason.value
    if refuse.outcome is RequestOutcome.NOT_RUN:
        wait_s = refuse.retry_after_s or DEFAULT_RETRY_AFTER_S
        return Refusal(UNAVAILABLE, reason, wait_s)
    status = TIMED_OUT if refuse.reason is RefusalReason.DEADLINE else BAD_GATEWAY
    return Refusal(status, reason)


def refusal_response(refusal: Refusal, request_id: str = "") -> web.Response:
    """Return a refusal as a response in plain text."""
    return web.Response(
        status=refusal.status,
        headers=refusal_headers(request_id, refusal.retry_after_s),
        text=f"{refusal.reason}\n",
    )
