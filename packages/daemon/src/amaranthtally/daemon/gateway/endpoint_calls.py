"""Sends callers' requests to endpoints and processes the responses."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import aiohttp
from aiohttp import hdrs
from yarl import URL

from amaranthtally.adapter.callers import request_headers
from amaranthtally.adapter.messages import EndpointLoad, ResponseHead, SystemHeaders
from amaranthtally.daemon.gateway.endpoint_exchange import (
    CALL_ERRORS,
    EndpointExchange,
    fate_of,
)
from amaranthtally.daemon.gateway.event_buffer import EventBuffer
from amaranthtally.daemon.gateway.held_body import HeldBody
from amaranthtally.daemon.gateway.live_call import (
    CompleteResponse,
    LiveCall,
    StreamStarted,
)
from amaranthtally.daemon.logs import format_parts, get_logger
from amaranthtally.daemon.supervision import is_cancelled_by_owner
from amaranthtally.platform import ResponseLimitError
from amaranthtally.policy import (
    UNREACHABLE,
    AttemptId,
    AttemptOutcome,
    AttemptResult,
    CallKind,
    Endpoint,
    NotRunProof,
    ResponseKind,
    ResponseLimits,
    Send,
    StoredResult,
    StreamOrigin,
)

__all__ = ["CallListener", "EndpointCalls", "OnHead", "unknown_outcome"]

# Time-out for opening a connection, in seconds: forty times the round trip to another
# region.
CONNECT_TIMEOUT_S = 0.5
HTTP_OK = 200
HTTP_CONFLICT = 409
FIRST_SERVER_ERROR = 500
LOST_CONNECTION_ERRORS = (
    OSError,
    aiohttp.ClientPayloadError,
    aiohttp.ServerDisconnectedError,
)
MS_PER_S = 1000

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

    def endpoint_unreachable(self, endpoint: Endpoint) -> None:
        """Handle an attempt that found no connection to its endpoint."""

    def attempt_ended(self, attempt: AttemptId, result: AttemptResult) -> None:
        """Handle the result of an attempt."""


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

    async def run(
        self,
        call: LiveCall,
        send: Send,
        endpoint: Endpoint | None,
        inputs: tuple[StoredResult, ...],
    ) -> None:
        """
        Send an attempt with the results that are its inputs.

        ``endpoint`` is ``None`` if it is no longer registered. The end of the attempt
        is reported whatever is raised, or its request would wait until its deadline.
        The exception is left to the supervisor.
        """
        result = UNREACHABLE
        try:
            if endpoint is not None:
                result = await self._attempt(call, send, endpoint, inputs)
        except (Exception, asyncio.CancelledError) as error:
            if not is_cancelled_by_owner(error):
                self._listener.attempt_ended(send.attempt, unknown_outcome(call))
            raise
        self._listener.attempt_ended(send.attempt, result)

    async def _attempt(
        self,
        call: LiveCall,
        send: Send,
        endpoint: Endpoint,
        inputs: tuple[StoredResult, ...],
    ) -> AttemptResult:
        call.attempts += 1
        is_stream = call.route.kind is CallKind.STREAMING
        kind = ResponseKind.STREAM if is_stream else ResponseKind.REQUEST
        # The same id at the same endpoint once more: over the same connection, a second
        # answer to the earlier attempt could not be told from that to this one.
        exchange = EndpointExchange(
            self._limits.of(kind),
            call.id,
            needs_new_connection=endpoint.id in call.tried_endpoints,
        )
        call.tried_endpoints.add(endpoint.id)
        try:
            return await self._exchange(call, send, endpoint, inputs, exchange)
        except CALL_ERRORS as error:
            return self._broken_off(call, send, endpoint, exchange, error)

    def _broken_off(
        self,
        call: LiveCall,
        send: Send,
        endpoint: Endpoint,
        exchange: EndpointExchange,
        error: Exception,
    ) -> AttemptResult:
        """Return the result of an attempt that has no complete response."""
        if exchange.proof is NotRunProof.NOT_SENT:
            self._log(send, endpoint, "unreachable", repr(error), exchange)
            self._listener.endpoint_unreachable(endpoint)
            return UNREACHABLE
        if isinstance(error, ResponseLimitError):
            self._listener.response_over_limit(endpoint)
        details = {
            "prompt": format_parts(call.caller.shared_parts),
            "content": str(call.arrival.key or ""),
        }
        self._log(send, endpoint, fate_of(error), repr(error), exchange, **details)
        return unknown_outcome(
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
        exchange: EndpointExchange,
    ) -> AttemptResult:
        remaining_s = send.deadline - exchange.started
        if remaining_s <= 0:
            return AttemptResult(AttemptOutcome.NOT_RUN, proof=exchange.proof)
        handles = tuple(result.handle for result in inputs)
        system_headers = SystemHeaders(
            endpoint=endpoint.id,
            remaining_s=remaining_s,
            account=call.account,
            inputs=handles if call.route.stages else None,
            resume_after=call.last_event,
        )
        assert call.body is not None, "an attempt after the body was released"
        response, head = await exchange.send(
            self._session,
            call.method,
            URL(f"http://{endpoint.address}{call.target}", encoded=True),
            headers=request_headers(call.caller, system_headers),
            body=call.body,
            timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
        )
        async with response:
            rejected = self._rejection(call, send, endpoint, head, exchange)
            if rejected is not None:
                if rejected.outcome is not AttemptOutcome.NOT_RUN:
                    response.close()
                return rejected
            if exchange.is_sent and not call.route.is_repeatable:
                call.release_body()
            if call.route.kind is CallKind.STREAMING and head.status == HTTP_OK:
                origin = StreamOrigin(endpoint.pool, endpoint.version)
                return await self._relay_stream(
                    call, send, origin, head, response, exchange
                )
            if head.status >= FIRST_SERVER_ERROR:
                self._log(send, endpoint, "failed", str(head.status), exchange)
            return await self._read_response(call, head, response, exchange)

    def _rejection(
        self,
        call: LiveCall,
        send: Send,
        endpoint: Endpoint,
        head: ResponseHead,
        exchange: EndpointExchange,
    ) -> AttemptResult | None:
        """Return the result if the response cannot be used, or else ``None``."""
        if not exchange.is_own:
            self._log(send, endpoint, "mismatched", head.request_id, exchange)
            return unknown_outcome(call)
        self._on_head(endpoint, head, exchange.started)
        if head.load is not None:
            self._listener.load_reported(endpoint.id, head.load, awaited=True)
        if exchange.proof is not None:
            retry_after_s = str(head.retry_after_s or "")
            self._log(
                send,
                endpoint,
                "not_run",
                str(head.status),
                exchange,
                retry_after_s=retry_after_s,
            )
            return AttemptResult(
                AttemptOutcome.NOT_RUN,
                retry_after_s=head.retry_after_s,
                inputs_missing=head.status == HTTP_CONFLICT,
                proof=exchange.proof,
            )
        if not head.signature:
            self._log(send, endpoint, "unsigned", str(head.status), exchange)
            return unknown_outcome(call)
        # The endpoint ran the request and ended it with a status that its caller would
        # take for "not run, send it again".
        if head.reads_as_not_run and not call.route.is_repeatable:
            self._log(send, endpoint, "unproven", str(head.status), exchange)
            return unknown_outcome(call)
        return None

    async def _read_response(
        self,
        call: LiveCall,
        head: ResponseHead,
        response: aiohttp.ClientResponse,
        exchange: EndpointExchange,
    ) -> AttemptResult:
        body = await _read_body(call, response)
        _check_end(response, exchange)
        duration_s = exchange.elapsed_s
        if head.status >= FIRST_SERVER_ERROR:
            call.fail_with(CompleteResponse(head, body))
            return AttemptResult(AttemptOutcome.FAILED, run_s=duration_s)
        call.release_body()
        call.finish(CompleteResponse(head, body))
        return AttemptResult(
            AttemptOutcome.FINISHED,
            run_s=duration_s,
            output_bytes=body.size,
            is_framed=_is_framed(response),
        )

    async def _relay_stream(
        self,
        call: LiveCall,
        send: Send,
        origin: StreamOrigin,
        head: ResponseHead,
        response: aiohttp.ClientResponse,
        exchange: EndpointExchange,
    ) -> AttemptResult:
        buffer = EventBuffer()
        size = 0
        async for data in response.content.iter_any():
            events = buffer.feed(data)
            size += len(events.body)
            if not events.event_count:
                continue
            if not call.stream_started:
                call.stream_started = True
                self._listener.stream_began(call, origin)
                await call.events.put(StreamStarted(head))
            call.event_count += events.event_count
            call.last_event = events.last_id or call.last_event
            await call.put_events(events.body)
            self._listener.events_delivered(send.attempt, call.event_count)
        if buffer.pending_bytes:
            raise aiohttp.ClientPayloadError("stream ended in the middle of an event")
        _check_end(response, exchange)
        if not call.stream_started:
            call.stream_started = True
            await call.events.put(StreamStarted(head))
        return AttemptResult(
            AttemptOutcome.FINISHED,
            run_s=exchange.elapsed_s,
            output_bytes=size,
            is_framed=_is_framed(response),
        )

    def _log(
        self,
        send: Send,
        endpoint: Endpoint,
        outcome: str,
        cause: str,
        exchange: EndpointExchange,
        **details: str,
    ) -> None:
        log.info(
            "attempt_ended",
            request_id=send.attempt.request_id,
            attempt=send.attempt.number,
            endpoint=endpoint.id,
            address=endpoint.address,
            fate=outcome,
            cause=cause,
            ms=round(exchange.elapsed_s * MS_PER_S),
            **exchange.log_fields,
            **details,
        )


async def _read_body(call: LiveCall, response: aiohttp.ClientResponse) -> HeldBody:
    """Read a response's body, counted as held for its caller from the first byte."""
    length = response.content_length or 0
    body = HeldBody(length)
    part = b""
    try:
        async with call.memory.reading_turn(length):
            async for part in response.content.iter_any():
                call.memory.add(len(part))
                body.append(part)
    except BaseException:
        call.memory.remove(body.size)
        # The error refers to this frame, which would keep what has come.
        body.clear()
        part = b""
        raise
    return body


def _check_end(response: aiohttp.ClientResponse, exchange: EndpointExchange) -> None:
    """Raise an error if only an early end of the connection ended a response."""
    if not exchange.is_sent and not _is_framed(response):
        raise aiohttp.ClientPayloadError("ended before its request")


def unknown_outcome(
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
