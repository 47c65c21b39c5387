"""
HTTP connections that end a response which is malformed, too large, or stuck.

They also tell a response that is cut off by a reset from one that has ended.
"""

import asyncio
from math import inf
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from result import Err

from amaranthtally.platform.call_bounds import (
    CallTrace,
    ConnectionUse,
    MalformedHeadError,
    ResponseLimitError,
    current_trace,
)
from amaranthtally.platform.read_turns import ReadTurns
from amaranthtally.platform.reception import Reception
from amaranthtally.platform.response_heads import (
    FIRST_FINAL_STATUS,
    end_of_head,
    is_head_begun,
    read_status,
)
from amaranthtally.policy import ResponseLimit

__all__ = ["BoundedResponseHandler"]


class BoundedResponseHandler(ResponseHandler):
    """Checks the head of each response, and counts its bytes as they arrive."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        default_limit: ResponseLimit,
        reception: Reception,
        turns: ReadTurns,
    ) -> None:
        super().__init__(loop)
        self._reception = reception
        self._turns = turns
        # What has been received and not parsed, from ``_parsed`` on.
        self._unparsed = b""
        self._parsed = 0
        self._is_held_back = False
        self._may_stop_early = False
        self._default_limit = default_limit
        self._limit = default_limit
        self._opened_at = loop.time()
        self._calls = 0
        self._previous_call = ""
        self._end_error: aiohttp.ClientError | None = None
        self._awaits_head = False
        self._head = bytearray()
        self._received = 0
        self._held = 0
        self._received_at = 0.0
        self._stall_check: asyncio.TimerHandle | None = None

    @property
    def can_parse(self) -> bool:
        """Whether there are bytes to parse, and a reader with room for them."""
        is_open = self.transport is not None
        return is_open and self._has_unparsed and not self._reading_paused

    @property
    def should_close(self) -> bool:
        """Whether the connection cannot be used for another call."""
        return super().should_close or self._has_unparsed

    @property
    def _has_unparsed(self) -> bool:
        return self._parsed < len(self._unparsed)

    def set_response_params(self, **params: Any) -> None:
        """Begin to read the response to a request that is about to be sent."""
        self._stop_watching()
        trace = current_trace()
        self._limit = trace.limit if trace is not None else self._default_limit
        self._note_use(trace)
        self._awaits_head = True
        self._head.clear()
        self._received = 0
        self._held = 0
        params["max_headers"] = self._limit.header_lines
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes in slices; read no more until they are parsed."""
        # Without a parser no call has been sent: aiohttp keeps what it is to parse.
        if self._parser is None:
            super().data_received(data)
        elif not data:
            # More of a body is decoded, of which enough had been decoded before.
            super().data_received(data)
            self._count_body()
        else:
            self._unparsed = self._unparsed[self._parsed :] + data
            self._parsed = 0
            self._turns.request(self)
            if self._has_unparsed and not self._is_held_back:
                self._is_held_back = True
                self._pause_transport_reading()

    def parse_slice(self, most_bytes: int) -> None:
        """Parse a slice of what was received; read on after the last one."""
        data = self._unparsed[self._parsed : self._parsed + most_bytes]
        self._parsed += len(data)
        if self.transport is None or self._exception is not None:
            # The call has been given up, or has failed.
            self._parsed = len(self._unparsed)
        else:
            self._parse(data)
        if not self._has_unparsed:
            self._unparsed, self._parsed = b"", 0
            self._read_on()

    def _read_on(self) -> None:
        if self._is_held_back:
            self._is_held_back = False
            if not self._reading_paused:
                self._resume_transport_reading()

    def _parse(self, data: bytes) -> None:
        """Parse bytes; close the connection if they break a rule."""
        if self._awaits_head:
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
        elif self._received > self._limit.head_bytes:
            most = self._limit.head_bytes
            self._end(ResponseLimitError(f"head of over {most} bytes"))

    def _begin_body(self, head: bytes) -> None:
        self._awaits_head = False
        body = bytes(self._head)
        self._head.clear()
        self._received = 0
        self._received_at = self._loop.time()
        super().data_received(head)
        if body and self.transport is not None and self._exception is None:
            self._parse(body)

    def _receive_body(self, data: bytes) -> None:
        self._received_at = self._loop.time()
        super().data_received(data)
        # A pause that the reader asks for between two chunks stops the parser at the
        # next byte, also if the reader has gone on since: the rest would be lost with
        # the connection.
        if self._may_stop_early and not self._reading_paused:
            self._may_stop_early = False
            super().data_received(b"")
        self._count_body()

    def _count_body(self) -> None:
        """End a body that is too large, as it comes or once it is decoded."""
        payload = self._payload
        if payload is None:
            return
        decoded = payload.total_bytes
        most = self._limit.body_bytes
        if max(self._received, decoded) > most:
            self._end(ResponseLimitError(f"body of over {most} bytes"))
        elif self._limit.is_held and not payload.is_eof():
            added, self._held = decoded - self._held, decoded
            self._reception.hold(self._end_largest, added)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Pass on a parsed head, and watch over its body until it is complete."""
        payload = data[1]
        if not payload.is_eof():
            if self._limit.stall_s < inf:
                self._schedule_stall_check(self._limit.stall_s)
            payload.on_eof(self._stop_watching)
        super().feed_data(data, size)

    def set_exception(self, exc: BaseException, *args: Any) -> None:
        """Store an error for the reader; a broken rule explains later errors."""
        super().set_exception(self._end_error or exc, *args)

    def pause_reading(self) -> None:
        """Read no more, as the reader has enough."""
        self._may_stop_early = True
        super().pause_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Read again; the time without reading does not count as the endpoint's."""
        self._received_at = self._loop.time()
        super().resume_reading(resume_parser)
        if self.can_parse:
            self._turns.request(self)

    def _resume_transport_reading(self) -> None:
        # aiohttp resumes as its reader has room, though slices may still be left.
        if not self._has_unparsed:
            super()._resume_transport_reading()

    def connection_lost(self, exc: BaseException | None) -> None:
        """
        Handle the end of the connection; a reset is no end of a response.

        aiohttp takes any end of the connection for the end of a body that has neither
        a length nor chunks, so that a truncated body would look complete.
        """
        while self._has_unparsed:
            self.parse_slice(len(self._unparsed))
        self._stop_watching()
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

    def _stop_watching(self) -> None:
        """Watch no longer, as the body is complete or nobody awaits it."""
        self._stop_stall_check()
        self._reception.release(self._end_largest)

    def _end_largest(self) -> None:
        self._end(ResponseLimitError("largest of responses that do not fit together"))

    def _end(self, error: aiohttp.ClientError) -> None:
        self._end_error = error
        payload, transport = self._payload, self.transport
        self._payload = None
        self._stop_watching()
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
        if self.transport is None or self._is_complete():
            return
        now = self._loop.time()
        # While this process does not read, silence is not the endpoint's.
        if self._reading_paused or self._has_unparsed:
            self._received_at = now
        left_s = self._received_at + self._limit.stall_s - now
        if left_s > 0:
            self._schedule_stall_check(left_s)
        else:
            self._end(ResponseLimitError(f"no bytes for {self._limit.stall_s} s"))
