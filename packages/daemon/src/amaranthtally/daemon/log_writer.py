"""Writes log lines without ever waiting for whoever reads them."""

import asyncio
import os
from collections import deque

__all__ = ["BoundedWriter"]

# Lines that wait for a reader, at most: a second's worth of a busy gateway's, some
# 400 kB. From half of it on only warnings and errors are kept.
MAX_LINES = 2000
# How often lines that wait are tried again, in seconds: a reader that is back gets them
# though nothing more happens.
DRAIN_S = 1.0
KEPT_LEVELS = (b"level=warning", b"level=error", b"level=critical")


class BoundedWriter:
    """
    A text stream on a descriptor; lines that can't be written are held, then dropped.

    The failure: whoever reads a process's output stops, the pipe fills up, and the
    next line blocks the loop and with it every request. Here a line waits in memory,
    bounded, and those that are lost are counted in a line of their own.
    """

    def __init__(self, descriptor: int, max_lines: int = MAX_LINES) -> None:
        self._descriptor = descriptor
        self._most_lines = max_lines
        self._lines: deque[bytes] = deque()
        self._dropped = 0
        self._total_dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Lines lost since the start."""
        return self._total_dropped

    @property
    def pending_lines(self) -> int:
        """Lines that wait for the reader."""
        return len(self._lines)

    def write(self, text: str) -> int:
        """Take one line; it is written at once where the reader keeps up."""
        line = text.encode()
        if self._has_room(line):
            self._lines.append(line)
        else:
            self._dropped += 1
            self._total_dropped += 1
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write what can be written without waiting."""
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(self._descriptor, line)
            except (BlockingIOError, BrokenPipeError):
                return
            if written < len(line):
                self._lines[0] = line[written:]
                return
            self._lines.popleft()
        if self._dropped:
            count, self._dropped = self._dropped, 0
            self._lines.append(b"level=warning event=log_lines_lost count=%d\n" % count)
            self.flush()

    async def flush_periodically(self) -> None:
        """Write what waits once its reader is back, until cancelled."""
        while True:
            await asyncio.sleep(DRAIN_S)
            self.flush()

    def _has_room(self, line: bytes) -> bool:
        waiting = len(self._lines)
        if waiting < self._most_lines // 2:
            return True
        important = any(level in line for level in KEPT_LEVELS)
        return important and waiting < self._most_lines
