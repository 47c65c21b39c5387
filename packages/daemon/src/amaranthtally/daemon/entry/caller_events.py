"""The events to be sent to one caller: texts of the stream, then the end."""

import asyncio
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from amaranthtally.policy import Refuse

__all__ = ["MAX_BATCH_CHARS", "CallerEvents", "Chunks", "RequestEnd"]

# Limit of the text in one write. Without it, the complete unsent text of a slow caller
# would be copied for one write.
MAX_BATCH_CHARS = 16_384


@dataclass(frozen=True, slots=True)
class Chunks:
    """Consecutive chunks of the last stage's text, for the caller."""

    texts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """The end of a request: its response, or its refusal."""

    response: bytes = b""
    refusal: Refuse | None = None


class CallerEvents:
    """A queue of events for one reader; queued texts are batched."""

    def __init__(self) -> None:
        self._texts: deque[str] = deque()
        self._end: RequestEnd | None = None
        self._loop = asyncio.get_running_loop()
        self._waiters: list[asyncio.Future[None]] = []

    def put(self, texts: Iterable[str]) -> None:
        """Add consecutive texts."""
        self._texts.extend(texts)
        self._wake()

    def end(self, end: RequestEnd) -> None:
        """Set the end, which is the last event."""
        self._end = end
        self._wake()

    async def next_event(self) -> Chunks | RequestEnd:
        """Wait for the next event; the end is returned after all texts."""
        while not self._texts:
            if self._end is not None:
                return self._end
            await self._wait_for_change()
        return Chunks(self._pop_texts())

    async def wait_for_end(self) -> RequestEnd:
        """Wait for the end and ignore texts."""
        while self._end is None:
            await self._wait_for_change()
        return self._end

    def _wait_for_change(self) -> asyncio.Future[None]:
        waiter = self._loop.create_future()
        self._waiters.append(waiter)
        return waiter

    def _wake(self) -> None:
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters.clear()

    def _pop_texts(self) -> tuple[str, ...]:
        batch = [self._texts.popleft()]
        free_chars = MAX_BATCH_CHARS - len(batch[0])
        while self._texts and len(self._texts[0]) <= free_chars:
            free_chars -= len(self._texts[0])
            batch.append(self._texts.popleft())
        return tuple(batch)
