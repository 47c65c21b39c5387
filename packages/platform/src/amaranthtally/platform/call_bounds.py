"""The bounds of a call's response, and the connection that the call is sent over."""

from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from dataclasses import dataclass

import aiohttp

from amaranthtally.policy import ResponseLimit

__all__ = [
    "CallTrace",
    "ConnectionUse",
    "MalformedHeadError",
    "ResponseLimitError",
    "current_trace",
    "response_bounds",
]


class MalformedHeadError(aiohttp.ClientError):
    """A response's head departs from the standard; its connection is closed."""


class ResponseLimitError(aiohttp.ClientError):
    """A response has exceeded one of its bounds; its connection is closed."""


@dataclass(frozen=True, slots=True)
class ConnectionUse:
    """
    What a connection had been used for when a call was sent over it.

    ``age_s`` is the time since it was opened, in seconds, and ``calls`` the number of
    earlier calls on it. ``previous_call`` is the name of the last one, empty if there
    is none or it had no name.
    """

    age_s: float = 0.0
    calls: int = 0
    previous_call: str = ""


@dataclass(slots=True)
class CallTrace:
    """
    The bounds of a call's response, and the connection that the call was sent over.

    ``call`` is the id that the response is to bear, empty if it bears none. A call that
    ``needs_new_connection`` is sent over one that nothing was sent over before.
    ``connection`` is ``None`` until the call has a connection; nothing of the call has
    been sent before that.
    """

    limit: ResponseLimit
    call: str = ""
    needs_new_connection: bool = False
    connection: ConnectionUse | None = None


_current_trace: ContextVar[CallTrace | None] = ContextVar(
    "_current_trace", default=None
)


@contextmanager
def response_bounds(bounds: ResponseLimit | CallTrace) -> Iterator[None]:
    """
    Bound the responses to the calls that this task begins within the context.

    The bounds take the place of the connector's own. A trace then shows the connection
    of the last call that was sent. Only connectors of ``bounded_connector`` fill it in
    and open new connections for it.
    """
    trace = bounds if isinstance(bounds, CallTrace) else CallTrace(bounds)
    token = _current_trace.set(trace)
    try:
        yield
    finally:
        _current_trace.reset(token)


def current_trace() -> CallTrace | None:
    """Return the trace of the call that this task is about to send, if it has one."""
    return _current_trace.get()
