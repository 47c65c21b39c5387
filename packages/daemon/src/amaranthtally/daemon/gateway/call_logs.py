"""What logs say of endpoints' responses, and of the connections that they came over."""

from amaranthtally.adapter.messages import ResponseHead
from amaranthtally.platform import CallTrace

__all__ = ["LogFields", "response_fields", "trace_fields"]

MS_PER_S = 1000

LogFields = dict[str, str | int]


def response_fields(head: ResponseHead) -> LogFields:
    """Return what of a response decides whether its call has run, as log fields."""
    return {
        "status": head.status,
        "response_id": head.request_id,
        "not_executed": str(head.not_executed).lower(),
        "signed": str(bool(head.signature)).lower(),
    }


def trace_fields(trace: CallTrace | None) -> LogFields:
    """
    Return the age of a call's connection and its earlier calls, as log fields.

    Both are empty if the call got no connection, so that nothing of it was sent.
    """
    use = trace.connection if trace is not None else None
    return {
        "connection_ms": "" if use is None else round(use.age_s * MS_PER_S),
        "connection_calls": "" if use is None else use.calls,
    }
