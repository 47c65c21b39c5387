"""Process start and stop: signal handling and HTTP servers."""

import asyncio
import signal
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Any

from aiohttp import web

from amaranthtally.daemon.connections import ConnectionTable, Listener, listen_http
from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.supervision import Supervisor

__all__ = [
    "ReloadSignal",
    "StopSignal",
    "open_http",
    "split_address",
    "stop_on_signal",
]

GRACEFUL_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# A stop is asked for again by supervisors that repeat themselves, and by an operator
# beside one; whoever means it to end at once says so with a signal of its own.
FORCE_SIGNAL = signal.SIGQUIT

log = get_logger()


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class StopSignal:
    """
    Whether the process was asked to stop, and whether to do so at once.

    SIGTERM and SIGINT request a graceful stop, however often they come; SIGQUIT ends
    what is left of it, or forces a stop that nobody has requested yet.
    """

    def __init__(self) -> None:
        self._requested = asyncio.Event()
        self._forced = asyncio.Event()
        self._received = 0

    def is_set(self) -> bool:
        """Whether a stop has been requested."""
        return self._requested.is_set()

    def receive(self, number: signal.Signals) -> None:
        """Handle one stop signal."""
        self._received += 1
        log.info("stop_signal", signal=number.name, count=self._received)
        self._requested.set()
        if number == FORCE_SIGNAL:
            self._forced.set()

    async def wait(self) -> None:
        """Wait until a stop is requested."""
        await self._requested.wait()

    async def run_until_forced(
        self, work: Coroutine[Any, Any, None], limit_s: float
    ) -> bool:
        """
        Run ``work`` until it ends, a stop is forced or ``limit_s`` has passed.

        Return whether ``work`` ended by itself and without an exception; otherwise it
        is cancelled, and the rest is the caller's to end. Without the limit, one call
        that hangs would keep the process from ever stopping.
        """
        tasks = [asyncio.create_task(work), asyncio.create_task(self._forced.wait())]
        await asyncio.wait(tasks, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED)
        finished = tasks[0].done()
        for task in tasks:
            task.cancel()
        ended, _ = await asyncio.gather(*tasks, return_exceptions=True)
        if isinstance(ended, Exception):
            log.error("stop_failed", exc_info=ended)
            return False
        return finished


@contextmanager
def stop_on_signal() -> Iterator[StopSignal]:
    """
    Handle all stop signals with the ``StopSignal`` yielded; ignore them on exit.

    If the default handlers were restored on exit, a second SIGTERM during process
    shutdown would kill the process, and a graceful stop that interrupted no request
    would be counted as a crash.
    """
    loop = asyncio.get_running_loop()
    stop = StopSignal()
    numbers = (*GRACEFUL_SIGNALS, FORCE_SIGNAL)
    for number in numbers:
        loop.add_signal_handler(number, stop.receive, number)
    try:
        yield stop
    finally:
        for number in numbers:
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)


class ReloadSignal:
    """
    Handles SIGHUP during the whole life of a process.

    A SIGHUP that arrives before a reload callback is installed is kept and delivered to
    the callback; one that arrives after the callback was removed is ignored. With the
    default action, either would kill the process, and a planned stop would be counted
    as a crash. ``SIG_IGN`` stays in force while the interpreter shuts down, whereas
    Python handlers are reset; a signal mask would apply to one of several threads only.
    """

    def __init__(self) -> None:
        self._reload: Callable[[], object] | None = None
        self._is_pending = False
        signal.signal(signal.SIGHUP, self._receive)

    @contextmanager
    def handled_by(self, reload: Callable[[], None]) -> Iterator[None]:
        """Call ``reload`` on the running loop for each SIGHUP and for a pending one."""
        loop = asyncio.get_running_loop()
        # The loop may be blocked in select() when the signal handler runs;
        # call_soon_threadsafe wakes it up.
        self._reload = lambda: loop.call_soon_threadsafe(reload)
        if self._is_pending:
            self._is_pending = False
            self._reload()
        try:
            yield
        finally:
            signal.signal(signal.SIGHUP, signal.SIG_IGN)
            self._reload = None

    def _receive(self, number: int, frame: object) -> None:
        if self._reload is None:
            self._is_pending = True
        else:
            self._reload()


@asynccontextmanager
async def open_http(
    app: web.Application,
    address: str,
    grace_s: float,
    table: ConnectionTable,
    supervisor: Supervisor,
) -> AsyncIterator[Listener]:
    """
    Serve an application at ``ip:port``; port 0 lets the kernel choose a free port.

    On exit, responses in progress have ``grace_s`` seconds to complete.
    """
    host, port = split_address(address)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=grace_s)
    await runner.setup()
    server = runner.server
    assert server is not None
    supervisor.run(f"connections_{table.name}", table.run)
    try:
        async with listen_http(server, host, port, table) as listener:
            yield listener
    finally:
        await runner.cleanup()
