"""Writes log lines without blocking when the reader of the output stalls."""

import asyncio
import os
from collections import deque

__all__ = ["BoundedWriter"]

# Maximum number of buffered lines: what a busy gateway logs in one second, about
# 400 kB. Once half of them are in use, only warnings and errors are buffered.
MAX_LINES = 2000
# Interval in seconds at which buffered lines are written again, so that a reader that
# has resumed gets them even if nothing new is logged.
FLUSH_INTERVAL_S = 1.0
PRIORITY_LEVELS = (b"level=warning", b"level=error", b"level=critical")


class BoundedWriter:
    """
    Non-blocking text stream on a file descriptor with a bounded buffer.

    With a blocking stream, a reader that stops reading lets the pipe fill up; the next
    log line then blocks the event loop and every request. This writer buffers lines
    that can't be written yet, drops lines once the buffer is full, and reports the
    number of dropped lines in a log line of its own.
    """

    def __init__(self, descriptor: int, max_lines: int = MAX_LINES) -> None:
        self._descriptor = descriptor
        self._max_lines = max_lines
        self._lines: deque[bytes] = deque()
        self._dropped = 0
        self._total_dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the start."""
        return self._total_dropped

    @property
    def pending_lines(self) -> int:
        """Number of lines buffered for the reader."""
        return len(self._lines)

    def write(self, text: str) -> int:
        """Write one line; buffer or drop it if the pipe is full."""
        # Headers that are not UTF-8 contain surrogates, which have no encoding.
        line = text.encode(errors="backslashreplace")
        if self._has_room(line):
            self._lines.append(line)
        else:
            self._dropped += 1
            self._total_dropped += 1
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write buffered lines as far as the descriptor takes them without blocking."""
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
        """Write buffered lines at a fixed interval until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def _has_room(self, line: bytes) -> bool:
        pending = len(self._lines)
        if pending < self._max_lines // 2:
            return True
        has_priority = any(level in line for level in PRIORITY_LEVELS)
        return has_priority and pending < self._max_lines
