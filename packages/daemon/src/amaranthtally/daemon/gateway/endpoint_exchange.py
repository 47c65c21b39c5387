"""A call to an endpoint and its response, and whether the two belong together."""

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from typing import Any

import aiohttp

from amaranthtally.adapter.messages import ResponseHead
from amaranthtally.adapter.responses import read_response_head
from amaranthtally.daemon.gateway.held_body import HeldBody, HeldBodyPayload
from amaranthtally.platform import (
    CallTrace,
    MalformedHeadError,
    Reception,
    ResponseLimitError,
    bounded_session,
    response_bounds,
)
from amaranthtally.policy import (
    CallEnd,
    NotRunProof,
    ResponseLimit,
    proof_of_not_run,
)

__all__ = [
    "CALL_ERRORS",
    "EndpointExchange",
    "EndpointSessions",
    "LogFields",
    "endpoint_sessions",
    "fate_of",
]

# Idle connections are closed after this time, in seconds, before the endpoints close
# them. If a request were sent just as the endpoint closes the connection, its outcome
# would be unknown.
IDLE_TIMEOUT_S = 4.0
# The same for connections that only calls without an id use. Each call with pieces
# leaves one, and only calls that free results use it again.
PIECES_IDLE_TIMEOUT_S = 1.0
# Maximum size of one header of an endpoint's response, in bytes.
MAX_HEADER_BYTES = 16_384
MS_PER_S = 1000
# What a call raises if its connection fails or its response is malformed. The client
# raises ValueError for some heads of responses.
CALL_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, ValueError)

LogFields = Mapping[str, str | int]


@dataclass(frozen=True, slots=True)
class EndpointSessions:
    """
    Sessions with separate connections, for ``requests`` and for calls with ``pieces``.

    Requests have ids and pieces have none: over a common connection, a second response
    to a call with pieces would be read by a request, which could not use it.
    """

    requests: aiohttp.ClientSession
    pieces: aiohttp.ClientSession


@asynccontextmanager
async def endpoint_sessions(reception: Reception) -> AsyncIterator[EndpointSessions]:
    """
    Open sessions for calls to endpoints; bodies are not decompressed.

    ``reception`` bounds what all their responses may take together.
    """
    async with AsyncExitStack() as stack:
        yield EndpointSessions(
            await stack.enter_async_context(_new_session(IDLE_TIMEOUT_S, reception)),
            await stack.enter_async_context(
                _new_session(PIECES_IDLE_TIMEOUT_S, reception)
            ),
        )


def _new_session(idle_timeout_s: float, reception: Reception) -> aiohttp.ClientSession:
    # Only the policy decides on retries, so that nothing is sent again.
    return bounded_session(
        reception=reception,
        connector_options={
            "limit": 0,
            "keepalive_timeout": idle_timeout_s,
            "use_dns_cache": False,
        },
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        max_field_size=MAX_HEADER_BYTES,
        max_line_size=MAX_HEADER_BYTES,
    )


class EndpointExchange:
    """
    One call to an endpoint, and what came back.

    ``call`` is the id that the call bears and that its response must bear too. A call
    without one must be the first on its connection for its response to count as its
    own. Endpoints may answer twice or late, and what is left on a connection is read
    where the next response is expected.
    """

    def __init__(
        self,
        limit: ResponseLimit,
        call: str = "",
        *,
        needs_new_connection: bool = False,
    ) -> None:
        self._trace = CallTrace(limit, call, needs_new_connection)
        self._head: ResponseHead | None = None
        self._upload: HeldBodyPayload | None = None
        self._time = asyncio.get_running_loop().time
        self._started = self._time()

    @property
    def started(self) -> float:
        """When the call began, a time stamp in seconds."""
        return self._started

    @property
    def elapsed_s(self) -> float:
        """Time since the call began, in seconds."""
        return self._time() - self._started

    @property
    def begun(self) -> bool:
        """Whether the head of a response has come."""
        return self._head is not None

    @property
    def is_own(self) -> bool:
        """Whether the response is known to be that to this call."""
        use = self._trace.connection
        if self._head is None or use is None:
            return False
        call = self._trace.call
        if not call:
            return use.calls == 0
        return self._head.request_id == call and use.previous_call != call

    @property
    def is_sent(self) -> bool:
        """Whether all of the request's held body has been handed to the connection."""
        return self._upload is None or self._upload.is_written

    @property
    def proof(self) -> NotRunProof | None:
        """Why the call provably did not run, ``None`` if it may have run."""
        states_not_run = self._head is not None and self._head.not_run
        was_sent = self._trace.connection is not None
        return proof_of_not_run(CallEnd(was_sent, self.is_own, states_not_run))

    @property
    def log_fields(self) -> LogFields:
        """
        What the outcome rests on: words of the response, and use of the connection.

        What of it has not come, or was not there, is empty.
        """
        head, use = self._head, self._trace.connection
        proof = self.proof
        return {
            "status": "" if head is None else head.status,
            "response_id": "" if head is None else head.request_id,
            "not_executed": "" if head is None else _flag(head.not_executed),
            "signed": "" if head is None else _flag(bool(head.signature)),
            "connection_ms": "" if use is None else round(use.age_s * MS_PER_S),
            "connection_calls": "" if use is None else use.calls,
            "proof": "" if proof is None else proof.value,
        }

    async def send(
        self,
        session: aiohttp.ClientSession,
        method: str,
        url: Any,
        *,
        body: HeldBody | None = None,
        **options: Any,
    ) -> tuple[aiohttp.ClientResponse, ResponseHead]:
        """
        Send the call; return the response, whose body is unread, and its decoded head.

        A redirect is a response like any other: followed, it would bring another
        server's response, and send the call to where nobody checked that it may go.
        Raises ``CALL_ERRORS``.
        """
        if body is not None and body.size:
            self._upload = options["data"] = HeldBodyPayload(body)
        with response_bounds(self._trace):
            response = await session.request(
                method, url, allow_redirects=False, **options
            )
        self._head = read_response_head(response.status, response.headers)
        return response, self._head


def fate_of(error: Exception) -> str:
    """Return the word for the logs for a call that ended with ``CALL_ERRORS``."""
    if isinstance(error, ResponseLimitError):
        return "over_limit"
    return "malformed" if isinstance(error, MalformedHeadError) else "lost"


def _flag(value: bool) -> str:
    return str(value).lower()
