"""Start and stop of a process: signals, listening addresses."""

import asyncio
import signal
from collections.abc import AsyncIterator, Coroutine, Iterator
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager, suppress
from typing import Any

from aiohttp import web

__all__ = ["run_beside", "serve_http", "split_address", "stop_on_signal"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


@contextmanager
def stop_on_signal() -> Iterator[asyncio.Event]:
    """Yield an event that is set on SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop.set)
    try:
        yield stop
    finally:
        for number in STOP_SIGNALS:
            loop.remove_signal_handler(number)


def run_beside(stack: AsyncExitStack, work: Coroutine[Any, Any, None]) -> None:
    """Run ``work`` in a task that ends with the stack."""
    task = asyncio.create_task(work)

    async def end() -> None:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task

    stack.push_async_callback(end)


@asynccontextmanager
async def serve_http(
    app: web.Application, address: str, grace_s: float
) -> AsyncIterator[int]:
    """
    Serve an application and yield the bound port; port 0 lets the kernel pick.

    On exit open responses have ``grace_s`` seconds to end.
    """
    host, port = split_address(address)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=grace_s)
    await runner.setup()
    try:
        site = web.TCPSite(runner, host, port)
        await site.start()
        yield runner.addresses[0][1]
    finally:
        await runner.cleanup()
