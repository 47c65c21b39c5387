"""Client of the platform's store: reads, watches, conditional writes and leases."""

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TypeVar

import aiohttp
from result import Err, Ok, Result

from amaranthtally.adapter import store
from amaranthtally.platform.errors import (
    PlatformError,
    PlatformHistoryCompacted,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
)
from amaranthtally.platform.sessions import bounded_session
from amaranthtally.platform.timeouts import answer_timeout
from amaranthtally.policy import ResponseKind, ResponseLimit, build_response_limits

__all__ = ["StoreClient", "StoreTransfer", "open_store"]

# A response is abandoned when no data arrives for this long, in seconds. It usually
# begins within milliseconds; after this time the store is a hundred times slower than
# usual or the network path is broken.
READ_TIMEOUT_S = 1.5
# A connection that takes longer to open counts as failed, in seconds.
CONNECT_TIMEOUT_S = 0.5
# How much longer than its wait a watch may take, in seconds, for the round trip.
WATCH_MARGIN_S = 1.0
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_GONE = 410
HTTP_CONFLICT = 412

ENDED = "ended"
CANCELLED = "cancelled"

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class StoreTransfer:
    """
    Duration and size of one call at the store.

    ``received_bytes`` counts the body as far as it was received. ``body_s`` is the part
    of ``total_s`` after the response's headers; ``outcome`` is ``ended``,
    ``cancelled``, or the name of the error that ended the call.
    """

    call: str
    outcome: str
    received_bytes: int
    body_s: float
    total_s: float


class StoreClient:
    """
    Client of the store; sends each call once and returns errors as ``Err``.

    ``PlatformUnavailable`` means that nothing was written, ``PlatformOutcomeUnknown``
    that a write may have taken effect or may still do so.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        on_transfer: Callable[[StoreTransfer], None],
    ) -> None:
        self._session = session
        self._url = f"http://{address}"
        self._on_transfer = on_transfer
        self._pending_responses: list[_PendingResponse] = []
        self._time = asyncio.get_running_loop().time

    @property
    def is_receiving(self) -> bool:
        """
        Whether the body of a response has begun to arrive and is not complete yet.

        A waiting watch does not count: its headers may arrive before the wait.
        """
        return any(response.body for response in self._pending_responses)

    async def get(self, key: str) -> Result[store.StoreItem | None, PlatformError]:
        """Read one key; ``Ok(None)`` if it is absent."""
        answer = await self._call(store.get_item(key), READ_TIMEOUT_S)
        if isinstance(answer, Err):
            return answer
        status, body = answer.ok_value
        if status == HTTP_NOT_FOUND:
            return Ok(None)
        return _decode(status, body, store.read_item)

    async def list(self, prefix: str) -> Result[store.StoreEvents, PlatformError]:
        """
        Read every key under a prefix.

        Pages are read at different times. The result has the revision of the first
        one, so that a watch from there returns whatever changed between them.
        """
        items: list[store.StoreItem] = []
        seen: set[str] = set()
        after, revision = "", 0
        while True:
            call = store.list_items(prefix, after)
            answer = await self._call(call, READ_TIMEOUT_S)
            if isinstance(answer, Err):
                return answer
            decoded = _decode(*answer.ok_value, store.read_page)
            if isinstance(decoded, Err):
                return decoded
            page = decoded.ok_value
            items += page.items
            revision = revision or page.revision
            if not page.has_more or not page.items:
                return Ok(store.StoreEvents(tuple(items), revision))
            last = page.items[-1].key
            if last in seen:
                # The next call would return the same page, and so on without end.
                return Err(PlatformUnavailable("malformed response: page repeated"))
            seen.add(last)
            after = last

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> Result[store.StoreEvents, PlatformError]:
        """
        Wait up to ``wait_s`` seconds for changes after a revision and return them.

        ``PlatformHistoryCompacted`` means that the prefix must be listed again.
        """
        call = store.watch_items(prefix, after, wait_s)
        answer = await self._call(call, wait_s + WATCH_MARGIN_S)
        if isinstance(answer, Err):
            return answer
        return _decode(*answer.ok_value, store.read_events)

    async def transact(
        self,
        conditions: Sequence[store.StoreCondition],
        writes: Sequence[store.StoreWrite],
        removed: Sequence[str] = (),
    ) -> Result[int | None, PlatformError]:
        """Write if all conditions hold and return the revision, else ``Ok(None)``."""
        call = store.transact(conditions, writes, removed)
        answer = await self._call(call, READ_TIMEOUT_S)
        if isinstance(answer, Err):
            return answer
        status, body = answer.ok_value
        if status == HTTP_CONFLICT:
            return Ok(None)
        return _decode(status, body, store.read_revision)

    async def grant_lease(self, ttl_s: float) -> Result[int, PlatformError]:
        """Grant a lease and return its id."""
        answer = await self._call(store.grant_lease(ttl_s), READ_TIMEOUT_S)
        if isinstance(answer, Err):
            return answer
        return _decode(*answer.ok_value, store.read_lease)

    async def renew_lease(self, lease: int) -> Result[bool, PlatformError]:
        """Renew a lease; ``Ok(False)`` if it has ended."""
        answer = await self._call(store.renew_lease(lease), READ_TIMEOUT_S)
        if isinstance(answer, Err):
            return answer
        status, _ = answer.ok_value
        if status == HTTP_NOT_FOUND:
            return Ok(False)
        return (
            Ok(True)
            if status == HTTP_OK
            else Err(PlatformUnavailable(f"status {status}"))
        )

    async def end_lease(self, lease: int) -> Result[None, PlatformError]:
        """End a lease and remove its keys."""
        answer = await self._call(store.delete_lease(lease), READ_TIMEOUT_S)
        return answer.map(lambda _: None)

    async def _call(
        self, call: store.StoreCall, read_timeout_s: float
    ) -> Result[tuple[int, bytes], PlatformError]:
        started = self._time()
        pending = _PendingResponse()
        self._pending_responses.append(pending)
        outcome = CANCELLED
        try:
            request = self._session.request(
                call.method,
                self._url + call.path,
                params=call.query,
                data=call.body,
                headers={"Content-Type": "application/json"} if call.body else None,
                timeout=answer_timeout(read_timeout_s, CONNECT_TIMEOUT_S),
            )
            response = await request
            async with response:
                pending.headers_at = self._time()
                async for data in response.content.iter_any():
                    pending.body += data
                outcome = ENDED
                return Ok((response.status, bytes(pending.body)))
        except aiohttp.ClientConnectorError as error:
            outcome = type(error).__name__
            return Err(PlatformUnavailable(str(error)))
        except (aiohttp.ClientError, TimeoutError) as error:
            outcome = type(error).__name__
            return Err(PlatformOutcomeUnknown(outcome))
        finally:
            self._pending_responses.remove(pending)
            now = self._time()
            headers_at = now if pending.headers_at is None else pending.headers_at
            size = len(pending.body)
            self._on_transfer(
                StoreTransfer(call.name, outcome, size, now - headers_at, now - started)
            )


@dataclass(slots=True, eq=False)
class _PendingResponse:
    """A response so far; ``headers_at`` is when its headers arrived, if they have."""

    headers_at: float | None = None
    body: bytearray = field(default_factory=bytearray)


@asynccontextmanager
async def open_store(
    address: str,
    on_transfer: Callable[[StoreTransfer], None],
    limit: ResponseLimit | None = None,
) -> AsyncIterator[StoreClient]:
    """
    Open a client of the store at ``ip:port``; close its connections on exit.

    ``on_transfer`` is called with each call that has ended, whatever its outcome. A
    response that exceeds ``limit`` is cut off and counts as lost.
    """
    limit = limit or build_response_limits().of(ResponseKind.STORE)
    async with bounded_session(limit, resends=True) as session:
        yield StoreClient(session, address, on_transfer)
        # Run the loop once, so that transports close before it ends.
        await asyncio.sleep(0)


def _decode(
    status: int, body: bytes, decode: Callable[[bytes], Result[T, str]]
) -> Result[T, PlatformError]:
    if status == HTTP_GONE:
        return Err(PlatformHistoryCompacted())
    if status != HTTP_OK:
        return Err(PlatformUnavailable(f"status {status}"))
    return decode(body).map_err(
        lambda cause: PlatformUnavailable(f"malformed response: {cause}")
    )
