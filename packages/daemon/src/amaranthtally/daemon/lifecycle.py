"""Start and stop of a process: signals, listening addresses."""

import asyncio
import signal
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager, suppress
from typing import Any

from aiohttp import web

__all__ = [
    "HttpServer",
    "ReloadSignal",
    "StopSignal",
    "open_http",
    "run_in_background",
    "serve_http",
    "split_address",
    "stop_on_signal",
]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class StopSignal:
    """A first signal asks for a graceful stop, a second one for a stop at once."""

    def __init__(self) -> None:
        self._asked = asyncio.Event()
        self._forced = asyncio.Event()

    def is_set(self) -> bool:
        """Whether a stop was asked for."""
        return self._asked.is_set()

    def receive(self) -> None:
        """Take a signal."""
        if self._asked.is_set():
            self._forced.set()
        self._asked.set()

    async def wait(self) -> None:
        """Return once a stop is asked for."""
        await self._asked.wait()

    async def run_until_forced(
        self, work: Coroutine[Any, Any, None], limit_s: float
    ) -> bool:
        """
        Run ``work`` to its end; false when a second signal or the limit ended it.

        The limit keeps a process from lasting for ever by one call that hangs.
        """
        tasks = [asyncio.create_task(work), asyncio.create_task(self._forced.wait())]
        await asyncio.wait(tasks, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED)
        finished = tasks[0].done()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return finished


@contextmanager
def stop_on_signal() -> Iterator[StopSignal]:
    """
    Yield what SIGTERM and SIGINT ask for; ignored once it is over.

    The failure: a second SIGTERM that comes after the handlers were removed, while the
    process ends, kills it, and a planned stop that cut nothing counts as a crash.
    """
    loop = asyncio.get_running_loop()
    stop = StopSignal()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop.receive)
    try:
        yield stop
    finally:
        for number in STOP_SIGNALS:
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)


class ReloadSignal:
    """
    SIGHUP from the start of a process to its end: held, taken, and then ignored.

    The failure: a SIGHUP that comes before the loop has handlers, or after it has ended
    and its handlers with it, ends the process, and a planned stop counts as a crash.
    What is ignored stays so while the interpreter ends, which resets handlers; a mask
    would bind one thread of several.
    """

    def __init__(self) -> None:
        self._reload: Callable[[], object] | None = None
        self._is_held = False
        signal.signal(signal.SIGHUP, self._receive)

    @contextmanager
    def handled_by(self, reload: Callable[[], None]) -> Iterator[None]:
        """Call ``reload`` on the running loop at each SIGHUP, one held included."""
        loop = asyncio.get_running_loop()
        # From a signal handler the loop may be asleep; this wakes it.
        self._reload = lambda: loop.call_soon_threadsafe(reload)
        if self._is_held:
            self._is_held = False
            self._reload()
        try:
            yield
        finally:
            signal.signal(signal.SIGHUP, signal.SIG_IGN)
            self._reload = None

    def _receive(self, number: int, frame: object) -> None:
        if self._reload is None:
            self._is_held = True
        else:
            self._reload()


def run_in_background(stack: AsyncExitStack, work: Coroutine[Any, Any, None]) -> None:
    """Run ``work`` in a task that ends with the stack."""
    task = asyncio.create_task(work)

    async def end() -> None:
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task

    stack.push_async_callback(end)


class HttpServer:
    """A listening HTTP server."""

    def __init__(self, port: int, site: web.TCPSite) -> None:
        self._port = port
        self._site = site

    @property
    def port(self) -> int:
        """The bound port."""
        return self._port

    async def stop_listening(self) -> None:
        """Accept no more connections; the open ones go on."""
        await self._site.stop()


@asynccontextmanager
async def serve_http(
    app: web.Application, address: str, grace_s: float
) -> AsyncIterator[int]:
    """Serve as ``open_http`` does and yield the bound port."""
    async with open_http(app, address, grace_s) as server:
        yield server.port


@asynccontextmanager
async def open_http(
    app: web.Application, address: str, grace_s: float
) -> AsyncIterator[HttpServer]:
    """
    Serve an application; port 0 lets the kernel pick.

    On exit open responses have ``grace_s`` seconds to end.
    """
    host, port = split_address(address)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=grace_s)
    await runner.setup()
    try:
        site = web.TCPSite(runner, host, port)
        await site.start()
        yield HttpServer(runner.addresses[0][1], site)
    finally:
        await runner.cleanup()
