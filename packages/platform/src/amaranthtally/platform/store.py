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
from amaranthtally.platform.timeouts import answer_timeout

__all__ = ["StoreClient", "StoreTransfer", "open_store"]

# An answer begins within milliseconds; one that is silent for this long, in seconds,
# comes from a store a hundred times slower than usual, or over a way that is lost.
SILENCE_S = 1.5
# A connection that takes longer is taken to lead nowhere, in seconds.
CONNECT_TIMEOUT_S = 0.5
# What a watch may take beyond its wait, in seconds: the way there and back.
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
    One call at the store: how long its answer took, and how much of it came.

    ``body_s`` is the part of ``total_s`` after the answer's header; ``outcome`` is
    ``ended``, ``cancelled``, or the name of the error that cut it.
    """

    call: str
    outcome: str
    received_bytes: int
    body_s: float
    total_s: float


class StoreClient:
    """
    Calls at the store; each is made once, and errors come back as ``Err``.

    ``PlatformUnavailable`` means that nothing was done, ``PlatformOutcomeUnknown``
    that a write may have been done or may yet be.
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
        self._answers: list[_Answer] = []
        self._time = asyncio.get_running_loop().time

    @property
    def is_receiving(self) -> bool:
        """
        Whether the body of an answer has begun to come and is not whole yet.

        A watch that waits is none: its header may come before its wait.
        """
        return any(answer.body for answer in self._answers)

    async def get(self, key: str) -> Result[store.StoreItem | None, PlatformError]:
        """Read one key; ``Ok(None)`` where it is absent."""
        answer = await self._call(store.get_item(key), SILENCE_S)
        if isinstance(answer, Err):
            return answer
        status, body = answer.ok_value
        if status == HTTP_NOT_FOUND:
            return Ok(None)
        return _read(status, body, store.read_item)

    async def list(self, prefix: str) -> Result[store.StoreEvents, PlatformError]:
        """
        Read every key under a prefix.

        Pages are not of one moment: the revision is that of the first, so that a
        watch from there hears of whatever changed between them.
        """
        items: list[store.StoreItem] = []
        after, at = "", 0
        while True:
            call = store.list_items(prefix, after)
            answer = await self._call(call, SILENCE_S)
            if isinstance(answer, Err):
                return answer
            page = _read(*answer.ok_value, store.read_page)
            if isinstance(page, Err):
                return page
            found = page.ok_value
            items += found.items
            at = at or found.at
            if not found.has_more or not found.items:
                return Ok(store.StoreEvents(tuple(items), at))
            after = found.items[-1].key

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> Result[store.StoreEvents, PlatformError]:
        """
        Return what changes under a prefix after a revision, or nothing in time.

        ``PlatformHistoryCompacted`` means that the prefix has to be read anew.
        """
        call = store.watch_items(prefix, after, wait_s)
        answer = await self._call(call, wait_s + WATCH_MARGIN_S)
        if isinstance(answer, Err):
            return answer
        return _read(*answer.ok_value, store.read_events)

    async def transact(
        self,
        conditions: Sequence[store.StoreCondition],
        writes: Sequence[store.StoreWrite],
        removed: Sequence[str] = (),
    ) -> Result[int | None, PlatformError]:
        """Write if every condition holds; ``Ok(None)`` where one does not."""
        call = store.transact(conditions, writes, removed)
        answer = await self._call(call, SILENCE_S)
        if isinstance(answer, Err):
            return answer
        status, body = answer.ok_value
        if status == HTTP_CONFLICT:
            return Ok(None)
        return _read(status, body, store.read_revision)

    async def grant_lease(self, ttl_s: float) -> Result[int, PlatformError]:
        """Open a lease and return its id."""
        answer = await self._call(store.grant_lease(ttl_s), SILENCE_S)
        if isinstance(answer, Err):
            return answer
        return _read(*answer.ok_value, store.read_lease)

    async def renew_lease(self, lease: int) -> Result[bool, PlatformError]:
        """Renew a lease; ``Ok(False)`` where it has ended."""
        answer = await self._call(store.renew_lease(lease), SILENCE_S)
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
        answer = await self._call(store.delete_lease(lease), SILENCE_S)
        return answer.map(lambda _: None)

    async def _call(
        self, call: store.StoreCall, silence_s: float
    ) -> Result[tuple[int, bytes], PlatformError]:
        started = self._time()
        answer = _Answer()
        self._answers.append(answer)
        outcome = CANCELLED
        try:
            async with self._session.request(
                call.method,
                self._url + call.path,
                params=call.query,
                data=call.body,
                headers={"Content-Type": "application/json"} if call.body else None,
                timeout=answer_timeout(silence_s, CONNECT_TIMEOUT_S),
            ) as response:
                answer.begun_at = self._time()
                async for part in response.content.iter_any():
                    answer.body += part
                outcome = ENDED
                return Ok((response.status, bytes(answer.body)))
        except aiohttp.ClientConnectorError as error:
            outcome = type(error).__name__
            return Err(PlatformUnavailable(str(error)))
        except (aiohttp.ClientError, TimeoutError) as error:
            outcome = type(error).__name__
            return Err(PlatformOutcomeUnknown(outcome))
        finally:
            self._answers.remove(answer)
            now = self._time()
            begun_at = now if answer.begun_at is None else answer.begun_at
            size = len(answer.body)
            self._on_transfer(
                StoreTransfer(call.name, outcome, size, now - begun_at, now - started)
            )


@dataclass(slots=True, eq=False)
class _Answer:
    """What has come of an answer; ``begun_at`` is when its header came."""

    begun_at: float | None = None
    body: bytearray = field(default_factory=bytearray)


@asynccontextmanager
async def open_store(
    address: str, on_transfer: Callable[[StoreTransfer], None]
) -> AsyncIterator[StoreClient]:
    """
    Open a client of the store at ``ip:port``; its connections end on exit.

    ``on_transfer`` hears of each call once it has ended, however it did.
    """
    async with aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar()) as session:
        yield StoreClient(session, address, on_transfer)
        # Lets transports close before the loop ends.
        await asyncio.sleep(0)


def _read(
    status: int, body: bytes, decode: Callable[[bytes], Result[T, str]]
) -> Result[T, PlatformError]:
    if status == HTTP_GONE:
        return Err(PlatformHistoryCompacted())
    if status != HTTP_OK:
        return Err(PlatformUnavailable(f"status {status}"))
    return decode(body).map_err(lambda cause: PlatformUnavailable(f"answer: {cause}"))
