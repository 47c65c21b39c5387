"""Sends callers' requests to endpoints and processes the responses."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Protocol

import aiohttp
from aiohttp import hdrs
from yarl import URL

from amaranthtally.adapter.callers import request_headers
from amaranthtally.adapter.messages import EndpointLoad, ResponseHead, SystemHeaders
from amaranthtally.adapter.responses import read_response_head
from amaranthtally.daemon.gateway.call_logs import response_fields, trace_fields
from amaranthtally.daemon.gateway.event_buffer import EventBuffer
from amaranthtally.daemon.gateway.live_call import (
    CompleteResponse,
    LiveCall,
    StreamStarted,
)
from amaranthtally.daemon.logs import format_parts, get_logger
from amaranthtally.platform import (
    CallTrace,
    ResponseLimitError,
    bounded_connector,
    response_bounds,
)
from amaranthtally.policy import (
    AttemptId,
    AttemptOutcome,
    AttemptResult,
    CallKind,
    Endpoint,
    ResponseKind,
    ResponseLimits,
    Send,
    StoredResult,
    StreamOrigin,
)

__all__ = ["CallListener", "EndpointCalls", "OnHead", "endpoint_session"]

# Time-out for opening a connection, in seconds: forty times the round trip to another
# region.
CONNECT_TIMEOUT_S = 0.5
# Idle connections are closed after this time, in seconds, before the endpoints close
# them. If a request were sent just as the endpoint closes the connection, its outcome
# would be unknown.
IDLE_TIMEOUT_S = 4.0
HTTP_OK = 200
HTTP_CONFLICT = 409
FIRST_SERVER_ERROR = 500
LOST_CONNECTION_ERRORS = (
    OSError,
    aiohttp.ClientPayloadError,
    aiohttp.ServerDisconnectedError,
)
# Maximum size of one header of an endpoint's response, in bytes.
MAX_HEADER_BYTES = 16_384

log = get_logger()


OnHead = Callable[[Endpoint, ResponseHead, float], None]


class CallListener(Protocol):
    """Is notified of the progress and the outcome of calls to endpoints."""

    def load_reported(self, endpoint: str, load: EndpointLoad, awaited: bool) -> None:
        """Handle an endpoint's load; ``awaited`` if it came with a call's response."""

    def stream_began(self, call: LiveCall, origin: StreamOrigin) -> None:
        """Handle the first event of a stream, before its caller gets it."""

    def events_delivered(self, attempt: AttemptId, events: int) -> None:
        """Handle the number of events that a stream has delivered so far."""

    def response_over_limit(self, endpoint: Endpoint) -> None:
        """Handle a response that was cut off because it exceeded a bound."""

    def attempt_ended(self, attempt: AttemptId, result: AttemptResult) -> None:
        """Handle the result of an attempt."""


@asynccontextmanager
async def endpoint_session() -> AsyncIterator[aiohttp.ClientSession]:
    """Open a session for calls to endpoints; bodies are not decompressed."""
    connector = bounded_connector(
        limit=0, keepalive_timeout=IDLE_TIMEOUT_S, use_dns_cache=False
    )
    async with aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        max_field_size=MAX_HEADER_BYTES,
        max_line_size=MAX_HEADER_BYTES,
    ) as session:
        # By default aiohttp resends a request with an idempotent method if a kept-alive
        # connection closes before the response. The endpoint may have run the request,
        # and the HTTP method does not show whether the request may run twice. Only the
        # policy decides on retries.
        session._retry_connection = False  # noqa: SLF001
        yield session


class EndpointCalls:
    """Sends attempts to endpoints; reports the result of each to the listener."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        listener: CallListener,
        on_head: OnHead,
        limits: ResponseLimits,
    ) -> None:
        self._session = session
        self._limits = limits
        self._listener = listener
        self._on_head = on_head
        self._loop = asyncio.get_running_loop()

    async def run(
        self,
        call: LiveCall,
        send: Send,
        endpoint: Endpoint | None,
        inputs: tuple[StoredResult, ...],
    ) -> None:
        """
        Send an attempt with the results that are its inputs.

        ``endpoint`` is ``None`` if it is no longer registered.
        """
        if endpoint is None:
            result = AttemptResult(AttemptOutcome.NOT_RUN, unreachable=True)
        else:
            result = await self._attempt(call, send, endpoint, inputs)
        self._listener.attempt_ended(send.attempt, result)

    async def _attempt(
        self,
        call: LiveCall,
        send: Send,
        endpoint: Endpoint,
        inputs: tuple[StoredResult, ...],
    ) -> AttemptResult:
        started = self._loop.time()
        call.attempts += 1
        exchange = _Exchange(started)
        try:
            return await self._exchange(call, send, endpoint, inputs, exchange)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            self._log(send, endpoint, "unreachable", repr(error), exchange)
            return AttemptResult(AttemptOutcome.NOT_RUN, unreachable=True)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            fate = "lost"
            if isinstance(error, ResponseLimitError):
                fate = "over_limit"
                self._listener.response_over_limit(endpoint)
            details = {
                "prompt": format_parts(call.caller.shared_parts),
                "content": str(call.arrival.key or ""),
            }
            self._log(send, endpoint, fate, repr(error), exchange, **details)
            return _unknown_outcome(
                call,
                connection_lost=_is_connection_lost(error),
                begun=exchange.begun,
            )

    async def _exchange(
        self,
        call: LiveCall,
        send: Send,
        endpoint: Endpoint,
        inputs: tuple[StoredResult, ...],
        exchange: "_Exchange",
    ) -> AttemptResult:
        started = exchange.started
        remaining_s = send.deadline - started
        if remaining_s <= 0:
            return AttemptResult(AttemptOutcome.NOT_RUN)
        handles = tuple(result.handle for result in inputs)
        head = SystemHeaders(
            endpoint=endpoint.id,
            remaining_s=remaining_s,
            account=call.account,
            inputs=handles if call.route.stages else None,
            resume_after=call.last_event,
        )
        is_stream = call.route.kind is CallKind.STREAMING
        kind = ResponseKind.STREAM if is_stream else ResponseKind.REQUEST
        with response_bounds(self._limits.of(kind), call.id) as exchange.trace:
            response = await self._session.request(
                call.method,
                URL(f"http://{endpoint.address}{call.target}", encoded=True),
                headers=request_headers(call.caller, head),
                data=call.body or None,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
            )
        async with response:
            exchange.begun = True
            response_head = read_response_head(response.status, response.headers)
            exchange.head = response_head
            rejected = self._rejection(call, send, endpoint, response_head, exchange)
            if rejected is not None:
                if rejected.outcome is not AttemptOutcome.NOT_RUN:
                    response.close()
                return rejected
            if is_stream and response_head.status == HTTP_OK:
                origin = StreamOrigin(endpoint.pool, endpoint.version)
                return await self._relay_stream(
                    call, send, origin, response_head, response, started
                )
            if response_head.status >= FIRST_SERVER_ERROR:
                cause = str(response_head.status)
                self._log(send, endpoint, "failed", cause, exchange)
            return await self._read_response(
                call, send, response_head, response, started
            )

    def _rejection(
        self,
        call: LiveCall,
        send: Send,
        endpoint: Endpoint,
        response_head: ResponseHead,
        exchange: "_Exchange",
    ) -> AttemptResult | None:
        """Return the result if the response cannot be used, or else ``None``."""
        # An endpoint that answers twice or too late leaves a response on a kept-alive
        # connection, where it would be read as the response to the next request. Such a
        # response has the id of another request.
        if response_head.request_id and response_head.request_id != call.id:
            self._log(send, endpoint, "mismatched", response_head.request_id, exchange)
            return _unknown_outcome(call)
        self._on_head(endpoint, response_head, exchange.started)
        if response_head.load is not None:
            self._listener.load_reported(endpoint.id, response_head.load, awaited=True)
        if response_head.not_run:
            self._log(
                send,
                endpoint,
                "not_run",
                str(response_head.status),
                exchange,
                retry_after_s=str(response_head.retry_after_s or ""),
            )
            return AttemptResult(
                AttemptOutcome.NOT_RUN,
                retry_after_s=response_head.retry_after_s,
                inputs_missing=response_head.status == HTTP_CONFLICT,
            )
        if not response_head.signature:
            self._log(send, endpoint, "unsigned", str(response_head.status), exchange)
            return _unknown_outcome(call)
        return None

    async def _read_response(
        self,
        call: LiveCall,
        send: Send,
        response_head: ResponseHead,
        response: aiohttp.ClientResponse,
        started: float,
    ) -> AttemptResult:
        with _ResetDetector(response) as detector:
            body = await _read_body(call, response)
        detector.check()
        duration_s = self._loop.time() - started
        if response_head.status >= FIRST_SERVER_ERROR:
            call.fail_with(CompleteResponse(response_head, body))
            return AttemptResult(AttemptOutcome.FAILED, run_s=duration_s)
        call.finish(CompleteResponse(response_head, body))
        return AttemptResult(
            AttemptOutcome.FINISHED,
            run_s=duration_s,
            output_bytes=len(body),
            is_framed=_is_framed(response),
        )

    async def _relay_stream(
        self,
        call: LiveCall,
        send: Send,
        origin: StreamOrigin,
        response_head: ResponseHead,
        response: aiohttp.ClientResponse,
        started: float,
    ) -> AttemptResult:
        buffer = EventBuffer()
        size = 0
        with _ResetDetector(response) as detector:
            async for data in response.content.iter_any():
                events = buffer.feed(data)
                size += len(events.body)
                if not events.event_count:
                    continue
                if not call.stream_started:
                    call.stream_started = True
                    self._listener.stream_began(call, origin)
                    await call.events.put(StreamStarted(response_head))
                call.event_count += events.event_count
                call.last_event = events.last_id or call.last_event
                await call.put_events(events.body)
                self._listener.events_delivered(send.attempt, call.event_count)
        detector.check()
        if buffer.pending_bytes:
            raise aiohttp.ClientPayloadError("stream ended in the middle of an event")
        if not call.stream_started:
            call.stream_started = True
            await call.events.put(StreamStarted(response_head))
        return AttemptResult(
            AttemptOutcome.FINISHED,
            run_s=self._loop.time() - started,
            output_bytes=size,
            is_framed=_is_framed(response),
        )

    def _log(
        self,
        send: Send,
        endpoint: Endpoint,
        outcome: str,
        cause: str,
        exchange: "_Exchange",
        **details: str,
    ) -> None:
        response = response_fields(exchange.head) if exchange.head else {}
        log.info(
            "attempt_ended",
            request_id=send.attempt.request_id,
            attempt=send.attempt.number,
            endpoint=endpoint.id,
            address=endpoint.address,
            fate=outcome,
            cause=cause,
            ms=round((self._loop.time() - exchange.started) * 1000),
            **response,
            **trace_fields(exchange.trace),
            **details,
        )


@dataclass(slots=True)
class _Exchange:
    """When an attempt was sent, over which connection, and what was answered."""

    started: float
    begun: bool = False
    trace: CallTrace | None = None
    head: ResponseHead | None = None


class _ResetDetector:
    """
    Detects a response body that was cut off by a reset of the connection.

    A response without a length ends with its connection, and aiohttp treats a reset as
    that end, so that a truncated body would look complete. The protocol object still
    holds the error that closed the connection.
    """

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        connection = response.connection
        self._protocol = connection.protocol if connection is not None else None

    def __enter__(self) -> "_ResetDetector":
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Do nothing: there is nothing to release."""

    def check(self) -> None:
        """Raise ``ClientPayloadError`` if the connection was reset."""
        if self._protocol is None:
            return
        error = self._protocol.exception()
        if isinstance(error, OSError):
            raise aiohttp.ClientPayloadError("connection reset") from error


async def _read_body(call: LiveCall, response: aiohttp.ClientResponse) -> bytes:
    """Read a response's body, counted as held for its caller from the first byte."""
    parts: list[bytes] = []
    size = 0
    try:
        async for part in response.content.iter_any():
            parts.append(part)
            size += len(part)
            call.memory.add(len(part))
    except BaseException:
        call.memory.remove(size)
        raise
    return b"".join(parts)


def _unknown_outcome(
    call: LiveCall, *, connection_lost: bool = False, begun: bool = False
) -> AttemptResult:
    """Return the result of an attempt that may have run or not."""
    may_repeat = call.route.is_repeatable
    return AttemptResult(
        AttemptOutcome.FAILED if may_repeat else AttemptOutcome.UNKNOWN,
        connection_lost=connection_lost,
        begun=begun,
    )


def _is_connection_lost(error: Exception) -> bool:
    """Whether an error is the end of a connection, and not a response of no use."""
    return isinstance(error, LOST_CONNECTION_ERRORS)


def _is_framed(response: aiohttp.ClientResponse) -> bool:
    """Whether a response has a length or chunks, and does not end by a close alone."""
    encoding = response.headers.get(hdrs.TRANSFER_ENCODING, "")
    return response.content_length is not None or "chunked" in encoding.lower()
