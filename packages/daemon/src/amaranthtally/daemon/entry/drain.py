"""How an entry leaves without cutting a request or a stream."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import hdrs, web

from amaranthtally.daemon.entry.callers import CallerApi
from amaranthtally.daemon.entry.executor import Executor
from amaranthtally.daemon.lifecycle import HttpServer, StopSignal

__all__ = ["EntryDeparture", "close_when_leaving"]

POLL_S = 0.02
GIVE_UP_S = 1.0


class EntryDeparture:
    """Finishes an entry's work after a stop signal."""

    def __init__(
        self, executor: Executor, callers: CallerApi, server: HttpServer
    ) -> None:
        self._executor = executor
        self._callers = callers
        self._server = server

    @property
    def executor(self) -> Executor:
        """The requests in flight."""
        return self._executor

    async def leave(self, balancer_wait_s: float) -> None:
        """
        Serve on until the balancer has let go, then finish every response.

        The balancer still sends here until it has seen /readyz fail: a process that
        closed its listener at once would refuse those connections, and callers
        would see resets. A response counts until its last byte is handed over: a
        request that the policy has ended may still be read slowly by its caller.
        """
        await asyncio.sleep(balancer_wait_s)
        await self._server.stop_listening()
        await self._finished()

    async def give_up(self) -> None:
        """End what still runs with an explicit refusal, so that no stream is cut."""
        self._executor.refuse_all()
        try:
            async with asyncio.timeout(GIVE_UP_S):
                await self._finished()
        except TimeoutError:
            return

    async def _finished(self) -> None:
        while self._callers.open_responses or self._executor.in_flight:
            await asyncio.sleep(POLL_S)


def close_when_leaving(
    stop: StopSignal,
) -> Callable[[web.Request, web.StreamResponse], Awaitable[None]]:
    """
    Return a signal handler that ends kept-alive connections after a stop signal.

    A caller that reuses its connection never meets the balancer again: its next
    request would come just as the process ends.
    """

    async def prepare(_: web.Request, response: web.StreamResponse) -> None:
        if stop.is_set():
            response.force_close()
            response.headers[hdrs.CONNECTION] = "close"

    return prepare
