"""Answers of the gateway's own: refusals, and what is wrong with a request."""

from dataclasses import dataclass

from aiohttp import web

from amaranthtally.adapter.callers import refusal_headers
from amaranthtally.policy import RefusalReason, Refuse, RequestOutcome

__all__ = ["LEAVING", "Refusal", "refusal_of", "refusal_response"]

# When to come back where nothing is known of how long the cause lasts, in seconds:
# an ejected endpoint is tried again after about that time.
UNKNOWN_WAIT_S = 0.5
UNAVAILABLE = 503
BAD_GATEWAY = 502
TIMED_OUT = 504


@dataclass(frozen=True, slots=True)
class Refusal:
    """A status, why, and when to come back, in seconds; 0 where that helps nobody."""

    status: int
    reason: str
    retry_after_s: float = 0.0


# Another gateway takes it at once.
LEAVING = Refusal(UNAVAILABLE, "this process is leaving; come back now", 0.05)


def refusal_of(refuse: Refuse) -> Refusal:
    """
    Return how a refusal of the policy is told.

    503 promises that the request has not run, so that its caller may send it again:
    it is only said with proof. 502 and 504 promise nothing.
    """
    reason = refuse.reason.value
    if refuse.outcome is RequestOutcome.NOT_RUN:
        wait_s = refuse.retry_after_s or UNKNOWN_WAIT_S
        return Refusal(UNAVAILABLE, reason, wait_s)
    status = TIMED_OUT if refuse.reason is RefusalReason.DEADLINE else BAD_GATEWAY
    return Refusal(status, reason)


def refusal_response(refusal: Refusal, request_id: str = "") -> web.Response:
    """Return a refusal as an answer in plain text."""
    return web.Response(
        status=refusal.status,
        headers=refusal_headers(request_id, refusal.retry_after_s),
        text=f"{refusal.reason}\n",
    )
