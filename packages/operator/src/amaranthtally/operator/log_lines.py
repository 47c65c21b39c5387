"""Lines that the daemons write, read back: ``key=value`` pairs."""

import re
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

__all__ = ["MS_PER_S", "LogLine", "parse_line", "read_lines"]

MS_PER_S = 1000.0
PAIR = re.compile(r'([\w.]+)=("(?:[^"\\]|\\.)*"|\S*)')


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event: when, in which process, and what it says."""

    at: datetime
    process: str
    event: str
    fields: dict[str, str]

    def text(self, name: str) -> str:
        """Return a field without quotes; empty where the line has none."""
        return self.fields.get(name, "").strip('"')

    def number(self, name: str) -> float:
        """Return a field as a number; 0 where it is none."""
        try:
            return float(self.fields.get(name, ""))
        except ValueError:
            return 0.0

    def names(self, name: str) -> list[str]:
        """Return a field's values that are separated by commas."""
        return [one for one in self.text(name).split(",") if one]


def parse_line(process: str, text: str) -> LogLine | None:
    """Return a line of a process's log, or ``None`` where it is none."""
    fields: dict[str, str] = dict(PAIR.findall(text))
    try:
        at = datetime.fromisoformat(fields["timestamp"])
    except (KeyError, ValueError):
        return None
    return LogLine(at, process, fields.get("event", "?"), fields)


def read_lines(path: Path, containing: str = "") -> Iterator[LogLine | None]:
    """
    Read the lines of a process's log that contain a text; raises ``OSError``.

    The process is named after the file; ``None`` stands for what is no log line.
    """
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            if containing in text:
                yield parse_line(path.stem, text)
