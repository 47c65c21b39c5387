"""Carries out a planner's actions and lets it act on the passing of time."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from contextlib import suppress
from typing import Any

from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import Action, Planner

__all__ = ["DecisionLoop"]

# How often the policy looks at what takes long while requests are in flight, in
# seconds: small beside the shortest stage, and cheap.
TICK_S = 0.01
IDLE_TICK_S = 1.0

log = get_logger()


class DecisionLoop:
    """Runs the actions of a planner by a table of their types, and its ticks."""

    def __init__(
        self,
        planner: Planner,
        table: Mapping[type, Callable[[Any], None]],
        tick_s: float = TICK_S,
    ) -> None:
        self._planner = planner
        self._table = table
        self._tick_s = tick_s
        self._tasks: set[asyncio.Task[None]] = set()
        self._arrived = asyncio.Event()
        self._loop = asyncio.get_running_loop()

    def carry_out(self, actions: list[Action]) -> None:
        """Carry out actions in order."""
        for action in actions:
            self._table[type(action)](action)

    def wake(self) -> None:
        """Begin to tick, as a request is in flight."""
        self._arrived.set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run work beside; an error in it is logged."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    async def tick(self, is_busy: Callable[[], bool]) -> None:
        """
        Let the policy act on the passing of time, until cancelled.

        Ticks cost processor time whether or not anything waits for them: with no
        request in flight the policy is woken once a second only.
        """
        while True:
            await self._wait_for_tick(is_busy())
            # An error in one decision would end this task, and with it the deadline
            # of every later request: callers would wait for ever. It is logged, and
            # the next tick decides anew.
            try:
                self.carry_out(self._planner.tick(self._loop.time()))
            except Exception as error:
                log.exception("policy_failed", cause=repr(error))

    async def _wait_for_tick(self, busy: bool) -> None:
        if busy:
            await asyncio.sleep(self._tick_s)
            return
        self._arrived.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(IDLE_TICK_S):
                await self._arrived.wait()

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("policy_failed", cause=repr(task.exception()))
