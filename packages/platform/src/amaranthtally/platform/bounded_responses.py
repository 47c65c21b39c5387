"""
HTTP connections that end a response which is malformed, too large, or stuck.

They also tell a response that is cut off by a reset from one that has ended.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from dataclasses import dataclass
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from result import Err

from amaranthtally.platform.response_heads import (
    FIRST_FINAL_STATUS,
    end_of_head,
    is_head_begun,
    read_status,
)
from amaranthtally.policy import ResponseLimit

__all__ = [
    "CallTrace",
    "ConnectionUse",
    "MalformedHeadError",
    "ResponseLimitError",
    "bounded_connector",
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

    A trace then shows the connection of the last call that was sent. Only connectors of
    ``bounded_connector`` fill it in and open new connections for it.
    """
    trace = bounds if isinstance(bounds, CallTrace) else CallTrace(bounds)
    token = _current_trace.set(trace)
    try:
        yield
    finally:
        _current_trace.reset(token)


def bounded_connector(**options: Any) -> aiohttp.TCPConnector:
    """
    Return a connector whose connections enforce ``response_bounds``.

    A call raises ``ResponseLimitError`` if its response exceeds them.
    """
    connector = _BoundedConnector(**options)
    # aiohttp bounds single lines and their number only. It has no public option for the
    # protocol class; ``tests/platform/test_bounded_responses.py`` fails without this.
    factory: Any = partial(BoundedResponseHandler, asyncio.get_running_loop())
    connector._factory = factory  # noqa: SLF001
    return connector


class _BoundedConnector(aiohttp.TCPConnector):
    """Opens a connection for each call that needs a new one."""

    async def _get(self, *args: Any) -> Any:
        # aiohttp offers new connections for all calls or for none.
        trace = _current_trace.get()
        if trace is not None and trace.needs_new_connection:
            return None
        return await super()._get(*args)


class BoundedResponseHandler(ResponseHandler):
    """Checks the head of each response, and counts its bytes as they arrive."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._limit: ResponseLimit | None = None
        self._opened_at = loop.time()
        self._calls = 0
        self._previous_call = ""
        self._end_error: aiohttp.ClientError | None = None
        self._awaits_head = False
        self._head = bytearray()
        self._received = 0
        self._received_at = 0.0
        self._stall_check: asyncio.TimerHandle | None = None

    def set_response_params(self, **params: Any) -> None:
        """Begin to read the response to a request that is about to be sent."""
        self._stop_stall_check()
        trace = _current_trace.get()
        self._limit = trace.limit if trace is not None else None
        self._note_use(trace)
        self._awaits_head = True
        self._head.clear()
        self._received = 0
        if self._limit is not None:
            params["max_headers"] = self._limit.header_lines
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if they break a rule."""
        # Without a parser no call has been sent: aiohttp keeps what it is to parse.
        if not data or self._parser is None:
            super().data_received(data)
        elif self._awaits_head:
            self._received += len(data)
            self._receive_head(data)
        elif self._is_complete():
            self._end(ResponseLimitError("bytes after the end of a response"))
        else:
            self._received += len(data)
            self._receive_body(data)

    def _receive_head(self, data: bytes) -> None:
        """Pass a final head on once it is complete; skip informational ones."""
        searched = len(self._head)
        self._head += data
        while size := end_of_head(self._head, searched):
            head = bytes(self._head[:size])
            del self._head[:size]
            searched = 0
            status = read_status(head)
            if isinstance(status, Err):
                self._end(MalformedHeadError(status.err_value))
                return
            if status.ok_value >= FIRST_FINAL_STATUS:
                self._begin_body(head)
                return
        if not is_head_begun(self._head):
            self._end(MalformedHeadError("no status line"))
        elif self._limit is not None and self._received > self._limit.head_bytes:
            self._end(
                ResponseLimitError(f"head of over {self._limit.head_bytes} bytes")
            )

    def _begin_body(self, head: bytes) -> None:
        self._awaits_head = False
        body = bytes(self._head)
        self._head.clear()
        self._received = 0
        self._received_at = self._loop.time()
        super().data_received(head)
        if body and self.transport is not None and self._exception is None:
            self.data_received(body)

    def _receive_body(self, data: bytes) -> None:
        self._received_at = self._loop.time()
        super().data_received(data)
        if self._limit is not None and self._received > self._limit.body_bytes:
            self._end(
                ResponseLimitError(f"body of over {self._limit.body_bytes} bytes")
            )

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Pass on a parsed head, and watch over the progress of its body."""
        payload = data[1]
        if self._limit is not None and not payload.is_eof():
            self._schedule_stall_check(self._limit.stall_s)
            payload.on_eof(self._stop_stall_check)
        super().feed_data(data, size)

    def set_exception(self, exc: BaseException, *args: Any) -> None:
        """Store an error for the reader; a broken rule explains later errors."""
        super().set_exception(self._end_error or exc, *args)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Read again; the time without reading does not count as the endpoint's."""
        self._received_at = self._loop.time()
        super().resume_reading(resume_parser)

    def connection_lost(self, exc: BaseException | None) -> None:
        """
        Handle the end of the connection; a reset is no end of a response.

        aiohttp takes any end of the connection for the end of a body that has neither
        a length nor chunks, so that a truncated body would look complete.
        """
        self._stop_stall_check()
        payload = self._payload
        if isinstance(exc, OSError) and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("connection reset"), exc)
        super().connection_lost(exc)

    def _note_use(self, trace: CallTrace | None) -> None:
        if trace is not None:
            age_s = self._loop.time() - self._opened_at
            trace.connection = ConnectionUse(age_s, self._calls, self._previous_call)
        self._calls += 1
        self._previous_call = trace.call if trace is not None else ""

    def _is_complete(self) -> bool:
        if self._awaits_head:
            return False
        return self._payload is None or self._payload.is_eof()

    def _end(self, error: aiohttp.ClientError) -> None:
        self._end_error = error
        payload, transport = self._payload, self.transport
        self._payload = None
        self._stop_stall_check()
        self.set_exception(error)
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
        if transport is not None:
            transport.abort()

    # One timer for each response, which reads when the last bytes came. A timer that is
    # renewed with each event would cost more than the rest of the check.

    def _schedule_stall_check(self, delay_s: float) -> None:
        self._stop_stall_check()
        self._stall_check = self._loop.call_later(delay_s, self._check_stall)

    def _stop_stall_check(self) -> None:
        if self._stall_check is not None:
            self._stall_check.cancel()
            self._stall_check = None

    def _check_stall(self) -> None:
        self._stall_check = None
        if self._limit is None or self.transport is None or self._is_complete():
            return
        now = self._loop.time()
        # While this process does not read, silence is not the endpoint's.
        if self._reading_paused:
            self._received_at = now
        left_s = self._received_at + self._limit.stall_s - now
        if left_s > 0:
            self._schedule_stall_check(left_s)
        else:
            self._end(ResponseLimitError(f"no bytes for {self._limit.stall_s} s"))
