"""Processor time, memory and traffic of a process, read from the kernel."""

import os
from pathlib import Path

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1e6


def cpu_seconds(pid: int) -> float:
    """Return user and system time spent since the process started."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def memory_mb(pid: int) -> float:
    """Return resident memory."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_MB


def bytes_moved(pid: int) -> int:
    """
    Return the bytes read and written so far.

    Sockets count, since uvloop reads and writes them as files; so do log lines.
    """
    lines = Path(f"/proc/{pid}/io").read_text().splitlines()
    counts = dict(line.split(": ") for line in lines)
    return int(counts["rchar"]) + int(counts["wchar"])
