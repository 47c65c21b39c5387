"""Sends callers' requests to endpoints and takes what comes back."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Protocol

import aiohttp
from yarl import URL

from amaranthtally.adapter.answers import read_answer
from amaranthtally.adapter.callers import call_headers
from amaranthtally.adapter.messages import AnswerHead, CallHead, EndpointLoad
from amaranthtally.daemon.gateway.event_buffer import EventBuffer
from amaranthtally.daemon.gateway.live_call import Answer, Began, Events, LiveCall
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import (
    AttemptId,
    AttemptOutcome,
    AttemptResult,
    CallKind,
    Endpoint,
    Send,
    StoredResult,
)

__all__ = ["CallListener", "EndpointCalls", "endpoint_session"]

# A connection that takes longer leads nowhere, in seconds: forty times the way to
# another region and back.
CONNECT_TIMEOUT_S = 0.5
# Idle connections are closed after this, in seconds; endpoints close theirs later.
# One that is used just as its endpoint closes it costs an unknown outcome.
IDLE_S = 4.0
# A caller that takes nothing of a stream for this long is taken to have gone.
HTTP_OK = 200
HTTP_CONFLICT = 409
FIRST_SERVER_ERROR = 500
# What an endpoint may send in the head of an answer, in bytes of one header.
MOST_HEADER_BYTES = 16_384

log = get_logger()


class CallListener(Protocol):
    """Whoever decides what follows from a call."""

    def load_heard(self, endpoint: str, load: EndpointLoad, awaited: bool) -> None:
        """Hear an endpoint's load, with an answer that was ``awaited`` or not."""

    def chunks_taken(self, attempt: AttemptId, chunks: int) -> None:
        """Hear how many events of a stream its request has now."""

    def attempt_ended(self, attempt: AttemptId, result: AttemptResult) -> None:
        """Hear how an attempt ended."""


@asynccontextmanager
async def endpoint_session() -> AsyncIterator[aiohttp.ClientSession]:
    """Open connections to endpoints; bytes pass through them unchanged."""
    connector = aiohttp.TCPConnector(
        limit=0, keepalive_timeout=IDLE_S, use_dns_cache=False
    )
    async with aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        max_field_size=MOST_HEADER_BYTES,
        max_line_size=MOST_HEADER_BYTES,
    ) as session:
        # The client sends a request once more, unasked, when a kept connection ends
        # before its answer. The endpoint may have run it, and whether it may run
        # twice is not told by its method: every resend is the policy's.
        session._retry_connection = False  # noqa: SLF001
        yield session


class EndpointCalls:
    """Carries attempts to endpoints; each ends in one word to the listener."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        listener: CallListener,
    ) -> None:
        self._session = session
        self._listener = listener
        self._loop = asyncio.get_running_loop()

    async def run(
        self,
        call: LiveCall,
        send: Send,
        endpoint: Endpoint | None,
        inputs: tuple[StoredResult, ...],
    ) -> None:
        """
        Send an attempt with the results that it reads.

        ``endpoint`` is ``None`` where it is registered no more.
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
        try:
            return await self._exchange(call, send, endpoint, inputs, started)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            self._log(send, endpoint, "unreachable", repr(error), started)
            return AttemptResult(AttemptOutcome.NOT_RUN, unreachable=True)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            self._log(send, endpoint, "lost", repr(error), started)
            return _lost(call)

    async def _exchange(
        self,
        call: LiveCall,
        send: Send,
        endpoint: Endpoint,
        inputs: tuple[StoredResult, ...],
        started: float,
    ) -> AttemptResult:
        remaining_s = send.deadline - started
        if remaining_s <= 0:
            return AttemptResult(AttemptOutcome.NOT_RUN)
        handles = tuple(result.handle for result in inputs)
        head = CallHead(
            endpoint=endpoint.id,
            remaining_s=remaining_s,
            account=call.account,
            inputs=handles if call.route.stages else None,
            resume_after=call.last_event,
        )
        async with self._session.request(
            call.method,
            URL(f"http://{endpoint.address}{call.target}", encoded=True),
            headers=call_headers(call.caller, head),
            data=call.body or None,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(sock_connect=CONNECT_TIMEOUT_S),
        ) as response:
            answer = read_answer(response.status, response.headers)
            refused = self._check(call, send, endpoint, answer, started)
            if refused is not None:
                if refused.outcome is not AttemptOutcome.NOT_RUN:
                    response.close()
                return refused
            if call.route.kind is CallKind.STREAMING and answer.status == HTTP_OK:
                return await self._relay(call, send, answer, response, started)
            return await self._take_whole(call, send, answer, response, started)

    def _check(
        self,
        call: LiveCall,
        send: Send,
        endpoint: Endpoint,
        answer: AnswerHead,
        started: float,
    ) -> AttemptResult | None:
        """Return why an answer is none to this attempt, or ``None``."""
        # The failure: an endpoint that answered twice, or late, has left an answer on
        # a kept connection, and it comes where the next one is due. Its id tells.
        if answer.request_id and answer.request_id != call.id:
            self._log(send, endpoint, "mismatched", answer.request_id, started)
            return _lost(call)
        if answer.load is not None:
            self._listener.load_heard(endpoint.id, answer.load, awaited=True)
        if answer.not_run:
            self._log(send, endpoint, "not_run", str(answer.status), started)
            return AttemptResult(
                AttemptOutcome.NOT_RUN,
                retry_after_s=answer.retry_after_s,
                inputs_missing=answer.status == HTTP_CONFLICT,
            )
        if not answer.signature:
            self._log(send, endpoint, "unsigned", str(answer.status), started)
            return _lost(call)
        return None

    async def _take_whole(
        self,
        call: LiveCall,
        send: Send,
        answer: AnswerHead,
        response: aiohttp.ClientResponse,
        started: float,
    ) -> AttemptResult:
        with _WholeBody(response) as whole:
            body = await response.read()
        whole.check()
        took_s = self._loop.time() - started
        if answer.status >= FIRST_SERVER_ERROR:
            call.failure = Answer(answer, body)
            return AttemptResult(AttemptOutcome.FAILED, run_s=took_s)
        call.end(Answer(answer, body))
        return AttemptResult(
            AttemptOutcome.FINISHED, run_s=took_s, output_bytes=len(body)
        )

    async def _relay(
        self,
        call: LiveCall,
        send: Send,
        answer: AnswerHead,
        response: aiohttp.ClientResponse,
        started: float,
    ) -> AttemptResult:
        buffer = EventBuffer()
        size = 0
        with _WholeBody(response) as whole:
            async for data in response.content.iter_any():
                events = buffer.feed(data)
                size += len(events.body)
                if not events.number:
                    continue
                if not call.begun:
                    call.begun = True
                    await call.events.put(Began(answer))
                call.event_count += events.number
                call.last_event = events.last_id or call.last_event
                await call.events.put(Events(events.body))
                self._listener.chunks_taken(send.attempt, call.event_count)
        whole.check()
        if buffer.held:
            raise aiohttp.ClientPayloadError("the stream ended inside an event")
        if not call.begun:
            call.begun = True
            await call.events.put(Began(answer))
        return AttemptResult(
            AttemptOutcome.FINISHED,
            run_s=self._loop.time() - started,
            output_bytes=size,
        )

    def _log(
        self,
        send: Send,
        endpoint: Endpoint,
        fate: str,
        cause: str,
        started: float,
    ) -> None:
        log.info(
            "attempt_ended",
            request_id=send.attempt.request_id,
            attempt=send.attempt.number,
            endpoint=endpoint.id,
            address=endpoint.address,
            fate=fate,
            cause=cause,
            ms=round((self._loop.time() - started) * 1000),
        )


class _WholeBody:
    """
    Tells a body that ended with its connection from one that was reset.

    The failure: an answer without a length ends where its connection does, and the
    client takes a reset for that end. A part of an answer would pass for all of it.
    What ended the connection is still known to it.
    """

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        connection = response.connection
        self._protocol = connection.protocol if connection is not None else None

    def __enter__(self) -> "_WholeBody":
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Nothing is held."""

    def check(self) -> None:
        """Raise ``ClientPayloadError`` where the connection was reset."""
        if self._protocol is None:
            return
        error = self._protocol.exception()
        if isinstance(error, OSError):
            raise aiohttp.ClientPayloadError("the connection was reset") from error


def _lost(call: LiveCall) -> AttemptResult:
    """Say that nobody knows whether an attempt ran."""
    again = call.route.is_repeatable
    return AttemptResult(AttemptOutcome.FAILED if again else AttemptOutcome.UNKNOWN)
