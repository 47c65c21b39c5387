"""Notes what the end of an attempt shows of the memory of its endpoint."""

from amaranthtally.policy.events import AttemptOutcome, AttemptResult
from amaranthtally.policy.memory_budget import EndpointMemory
from amaranthtally.policy.requests import LiveAttempt

__all__ = ["note_attempt_ended"]

# A connection that is lost sooner than this, in seconds, may never have been accepted:
# endpoints reset the connections beyond their limit, and have not ended.
ACCEPTED_AFTER_S = 0.05


def note_attempt_ended(
    memory: EndpointMemory, now: float, ended: LiveAttempt, result: AttemptResult
) -> None:
    """Note the result of an attempt that has just been removed."""
    if ended.held is None:
        return
    if result.outcome is AttemptOutcome.FINISHED:
        memory.finished(now, ended.held)
    elif result.unreachable:
        memory.endpoint_closed(now, ended.endpoint)
    elif result.connection_lost and (
        result.begun or now - ended.sent_at >= ACCEPTED_AFTER_S
    ):
        memory.lost(now, ended.held)
