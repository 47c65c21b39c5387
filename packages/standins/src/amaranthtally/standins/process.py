"""Start, monitor and end a child process of a test deployment."""

import asyncio
import os
import re
import signal
import sys
from collections import deque
from contextlib import suppress
from pathlib import Path
from typing import cast

__all__ = ["Process", "StartError", "spawn_process", "start_process"]

LISTENING = re.compile(rb"event=listening .*")
PAIR = re.compile(rb"(\w+)=(\S+)")
START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 30.0
MAX_LINES = 2000


class StartError(Exception):
    """A process ended or timed out before it logged the event ``listening``."""


class Process:
    """
    A child process that logs the event ``listening`` with its ports.

    ``lines`` holds the last ``MAX_LINES`` lines of its output.
    """

    def __init__(self, name: str, child: asyncio.subprocess.Process) -> None:
        self.name = name
        self.ports: dict[str, int] = {}
        self.lines: deque[str] = deque(maxlen=MAX_LINES)
        self._child = child
        self._listening = asyncio.Event()
        self._reader = asyncio.create_task(self._read())

    @property
    def pid(self) -> int:
        """The process id."""
        return self._child.pid

    @property
    def exit_code(self) -> int | None:
        """The exit code, or ``None`` while the process runs."""
        return self._child.returncode

    async def wait_listening(self) -> None:
        """Wait until the process listens; raises ``StartError``."""
        listening = asyncio.create_task(self._listening.wait())
        done, _ = await asyncio.wait(
            {listening, self._reader},
            timeout=START_TIMEOUT_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        listening.cancel()
        if not done or not self._listening.is_set():
            tail = "\n".join(self.lines)
            raise StartError(f"{self.name} did not start:\n{tail}")

    def send(self, signal_number: signal.Signals) -> None:
        """Send a signal to this process; do nothing if it has ended."""
        if self._child.returncode is not None:
            return
        # The child's send_signal() would reap the exit status of a process that has
        # just ended before the event loop does, and the loop would then report 255.
        with suppress(ProcessLookupError):
            os.kill(self._child.pid, signal_number)

    def pause_output(self) -> None:
        """Stop reading the process's output, like a log collector that hangs."""
        self._output().pause_reading()

    def resume_output(self) -> None:
        """Resume reading the process's output."""
        self._output().resume_reading()

    def _output(self) -> asyncio.ReadTransport:
        # asyncio has no public way to pause the pipe of a child process.
        transport = self._child._transport  # type: ignore[attr-defined]  # noqa: SLF001
        return cast(asyncio.ReadTransport, transport.get_pipe_transport(1))

    async def wait(self) -> int:
        """Return the exit code after the process has ended and its output is read."""
        code = await self._child.wait()
        await asyncio.wait({self._reader})
        return code

    async def stop(self) -> int:
        """
        Send SIGTERM, and SIGKILL after ``STOP_TIMEOUT_S``; return the exit code.

        SIGCONT precedes SIGTERM, since a suspended process would not handle it.
        """
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                return await self._child.wait()
        except TimeoutError:
            return await self.kill()

    async def kill(self) -> int:
        """Send SIGKILL, wait for the end and return the exit code."""
        self.send(signal.SIGKILL)
        code = await self._child.wait()
        with suppress(asyncio.CancelledError):
            await self._reader
        return code

    async def _read(self) -> None:
        assert self._child.stdout is not None
        async for raw in self._child.stdout:
            line = raw.rstrip()
            self.lines.append(line.decode(errors="replace"))
            if LISTENING.search(line):
                for name, value in PAIR.findall(line):
                    if value.isdigit():
                        self.ports[name.decode()] = int(value)
                self._listening.set()


async def spawn_process(name: str, module: str, *arguments: str | Path) -> Process:
    """Run ``python -m module``; don't wait until it listens."""
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        *map(str, arguments),
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
        limit=1 << 20,
    )
    return Process(name, child)


async def start_process(name: str, module: str, *arguments: str | Path) -> Process:
    """Run ``python -m module``; wait until it listens. Raises ``StartError``."""
    process = await spawn_process(name, module, *arguments)
    try:
        await process.wait_listening()
    except BaseException:
        await process.kill()
        raise
    return process
