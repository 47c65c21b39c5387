"""Processor time, memory and I/O of a process, read from ``/proc``."""

import os
from pathlib import Path

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1e6


def cpu_seconds(pid: int) -> float:
    """Return the user and system time used since the process started."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def memory_mb(pid: int) -> float:
    """Return the resident memory, in megabytes of 10**6 bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_MB


def io_bytes(pid: int) -> int:
    """
    Return the bytes read and written since the process started.

    This includes sockets, because uvloop uses read and write calls on them, and log
    lines.
    """
    lines = Path(f"/proc/{pid}/io").read_text().splitlines()
    counts = dict(line.split(": ") for line in lines)
    return int(counts["rchar"]) + int(counts["wchar"])
