"""Executes a planner's actions and calls its periodic ``tick``."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from contextlib import suppress
from typing import Any

from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.supervision import Supervisor
from amaranthtally.policy import Action, Planner

__all__ = ["DecisionLoop"]

# Interval in seconds between calls of the planner's ``tick`` while requests are in
# flight: short compared with the shortest stage, and cheap.
TICK_S = 0.01
IDLE_TICK_S = 1.0

log = get_logger()


class DecisionLoop:
    """Dispatches a planner's actions by their type and runs its periodic ticks."""

    def __init__(
        self,
        planner: Planner,
        handlers: Mapping[type, Callable[[Any], None]],
        supervisor: Supervisor,
        tick_s: float = TICK_S,
    ) -> None:
        self._planner = planner
        self._handlers = handlers
        self._tick_s = tick_s
        self._supervisor = supervisor
        self._woken = asyncio.Event()
        self._loop = asyncio.get_running_loop()

    def carry_out(self, actions: list[Action]) -> None:
        """
        Execute actions in order with the handlers registered for their types.

        They belong to different requests: one whose handler raises is reported, and the
        others are executed.
        """
        for action in actions:
            try:
                self._handlers[type(action)](action)
            except Exception as error:
                name = f"{DecisionLoop.__name__}.{type(action).__name__}"
                self._supervisor.report_error(name, error)

    def wake(self) -> None:
        """Start ticking at the short interval because a request is in flight."""
        self._woken.set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run ``work`` in a background task; an error is reported by its name."""
        return self._supervisor.spawn_call(work)

    async def tick(self, is_busy: Callable[[], bool]) -> None:
        """
        Call the planner's ``tick`` periodically until cancelled.

        Every tick costs processor time, even if no deadline is due, so the planner is
        called only once per second while no request is in flight.
        """
        while True:
            await self._wait_for_tick(is_busy())
            # An uncaught error would end this task, and no deadline would be enforced
            # before its restart. Log the error and try again at the next tick.
            try:
                self.carry_out(self._planner.tick(self._loop.time()))
            except Exception as error:
                log.exception("policy_failed", cause=repr(error))

    async def _wait_for_tick(self, is_busy: bool) -> None:
        if is_busy:
            await asyncio.sleep(self._tick_s)
            return
        self._woken.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(IDLE_TICK_S):
                await self._woken.wait()
