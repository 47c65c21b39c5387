"""Graceful shutdown of an entry: every request and stream is completed."""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import hdrs, web

from amaranthtally.daemon.connections import Listener
from amaranthtally.daemon.entry.callers import CallerApi
from amaranthtally.daemon.entry.executor import Executor
from amaranthtally.daemon.lifecycle import StopSignal

__all__ = ["EntryDrainController", "close_connections_when_stopping"]

POLL_S = 0.02
ABORT_TIMEOUT_S = 1.0


class EntryDrainController:
    """Completes the responses of an entry after a stop signal."""

    def __init__(
        self, executor: Executor, callers: CallerApi, server: Listener
    ) -> None:
        self._executor = executor
        self._callers = callers
        self._server = server

    @property
    def executor(self) -> Executor:
        """The executor, which counts the requests in flight."""
        return self._executor

    async def shut_down(self, balancer_wait_s: float) -> None:
        """
        Wait for the load balancer, stop listening, then complete every response.

        The load balancer keeps sending requests until it has seen /readyz fail. A
        process that closed its listener at once would refuse these connections, and
        callers would see resets; so the entry accepts requests for another
        ``balancer_wait_s`` seconds. A response is complete once its last byte has been
        handed over: the caller may still be reading slowly after the policy has ended
        the request.
        """
        await asyncio.sleep(balancer_wait_s)
        self._server.stop_listening()
        await self._wait_until_idle()

    async def abort(self) -> None:
        """Refuse the remaining requests, so that streams end in an explicit error."""
        self._executor.refuse_all()
        try:
            async with asyncio.timeout(ABORT_TIMEOUT_S):
                await self._wait_until_idle()
        except TimeoutError:
            return

    async def _wait_until_idle(self) -> None:
        while self._callers.open_responses or self._executor.in_flight:
            await asyncio.sleep(POLL_S)


def close_connections_when_stopping(
    stop: StopSignal,
) -> Callable[[web.Request, web.StreamResponse], Awaitable[None]]:
    """
    Return a handler of ``on_response_prepare`` that closes keep-alive connections.

    It takes effect after a stop signal. A caller that reuses its connection bypasses
    the load balancer, and its next request could arrive just as the process ends.
    """

    async def prepare(_: web.Request, response: web.StreamResponse) -> None:
        if stop.is_set():
            response.force_close()
            response.headers[hdrs.CONNECTION] = "close"

    return prepare
