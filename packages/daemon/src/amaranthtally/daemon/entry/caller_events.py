"""What waits for one caller: the text so far unsent, then the end."""

import asyncio
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from amaranthtally.policy import Refuse

__all__ = ["MAX_JOINED_CHARS", "CallerEvents", "Chunks", "Ending"]

# Text that one write may join: beyond it a slow caller's answer is copied whole.
MAX_JOINED_CHARS = 16_384


@dataclass(frozen=True, slots=True)
class Chunks:
    """Consecutive pieces of the last stage's text, on their way to the caller."""

    texts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Ending:
    """The end of a request: its answer, or its refusal."""

    answer: bytes = b""
    refusal: Refuse | None = None


class CallerEvents:
    """A queue for one reader; texts that wait together come together."""

    def __init__(self) -> None:
        self._texts: deque[str] = deque()
        self._ending: Ending | None = None
        self._loop = asyncio.get_running_loop()
        self._waiters: list[asyncio.Future[None]] = []

    def put(self, texts: Iterable[str]) -> None:
        """Add consecutive texts."""
        self._texts.extend(texts)
        self._wake()

    def end(self, ending: Ending) -> None:
        """Set the end; nothing comes after it."""
        self._ending = ending
        self._wake()

    async def next(self) -> Chunks | Ending:
        """Wait for what comes next; the end comes after all texts."""
        while not self._texts:
            if self._ending is not None:
                return self._ending
            await self._change()
        return Chunks(self._take_texts())

    async def ending(self) -> Ending:
        """Wait for the end, passing over texts."""
        while self._ending is None:
            await self._change()
        return self._ending

    def _change(self) -> asyncio.Future[None]:
        waiter = self._loop.create_future()
        self._waiters.append(waiter)
        return waiter

    def _wake(self) -> None:
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters.clear()

    def _take_texts(self) -> tuple[str, ...]:
        taken = [self._texts.popleft()]
        room = MAX_JOINED_CHARS - len(taken[0])
        while self._texts and len(self._texts[0]) <= room:
            room -= len(self._texts[0])
            taken.append(self._texts.popleft())
        return tuple(taken)
