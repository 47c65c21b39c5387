"""A check of a remote state that concurrent callers share."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

__all__ = ["SharedCheck"]


class SharedCheck:
    """
    Runs a check for all who ask, one at a time and not too often.

    Each caller gets the outcome of a check that began after it asked: the check says
    what is true at some time between its begin and its end, so that an earlier one
    would not show what the caller has to know.
    """

    def __init__(
        self,
        check: Callable[[], Awaitable[bool]],
        interval_s: float,
        spawn: Callable[[Coroutine[Any, Any, None]], object],
    ) -> None:
        """Create it; checks begin at least ``interval_s`` seconds after each other."""
        self._check = check
        self._interval_s = interval_s
        self._spawn = spawn
        self._next: asyncio.Future[bool] | None = None
        self._is_running = False
        self._loop = asyncio.get_running_loop()
        self._due_at = self._loop.time()

    async def run(self, within_s: float) -> bool:
        """Return the outcome of a check that begins now or later; false if late."""
        if self._next is None:
            self._next = self._loop.create_future()
        if not self._is_running:
            self._is_running = True
            self._spawn(self._run_due())
        try:
            async with asyncio.timeout(within_s):
                return await asyncio.shield(self._next)
        except TimeoutError:
            return False

    async def _run_due(self) -> None:
        try:
            while self._next is not None:
                await asyncio.sleep(self._due_at - self._loop.time())
                self._due_at = self._loop.time() + self._interval_s
                asked, self._next = self._next, None
                await self._run_one(asked)
        finally:
            self._is_running = False

    async def _run_one(self, asked: asyncio.Future[bool]) -> None:
        is_confirmed = False
        try:
            is_confirmed = await self._check()
        finally:
            asked.set_result(is_confirmed)
