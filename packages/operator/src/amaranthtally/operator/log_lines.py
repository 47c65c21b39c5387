"""Parses the daemons' log lines, which consist of ``key=value`` pairs."""

import re
from collections.abc import Container, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path

__all__ = ["MS_PER_S", "LogLine", "parse_line", "read_events", "read_lines"]

MS_PER_S = 1000.0
EVENT = re.compile(r"\bevent=(\w+)")
KEY_VALUE_PAIR = re.compile(r'([\w.]+)=("(?:[^"\\]|\\.)*"|\S*)')


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event: its time, process, name and fields."""

    timestamp: datetime
    process: str
    event: str
    fields: dict[str, str]

    def text(self, name: str) -> str:
        """Return a field's text without quotes; empty when the field is missing."""
        return self.fields.get(name, "").strip('"')

    def number(self, name: str) -> float:
        """Return a field as a number; 0 when it is missing or not a number."""
        try:
            return float(self.fields.get(name, ""))
        except ValueError:
            return 0.0

    def optional_number(self, name: str) -> float | None:
        """Return a field as a number; ``None`` when it is missing or not a number."""
        try:
            return float(self.fields.get(name, ""))
        except ValueError:
            return None

    @property
    def cause(self) -> str:
        """The exception of a line without its traceback, or else its cause."""
        lines = self.text("exception").split("\\n")
        return next((line for line in reversed(lines) if line), self.text("cause"))

    def values(self, name: str) -> list[str]:
        """Return the values of a comma-separated field."""
        return [value for value in self.text(name).split(",") if value]


def parse_line(process: str, text: str) -> LogLine | None:
    """Parse a line of a process's log; ``None`` when it has no valid time stamp."""
    fields: dict[str, str] = dict(KEY_VALUE_PAIR.findall(text))
    try:
        timestamp = datetime.fromisoformat(fields["timestamp"])
    except (KeyError, ValueError):
        return None
    return LogLine(timestamp, process, fields.get("event", "?"), fields)


def read_lines(path: Path, containing: str = "") -> Iterator[LogLine | None]:
    """
    Yield the lines of a log file that contain a text; raises ``OSError``.

    The file's stem is taken as the process name. Yields ``None`` for a line that
    can't be parsed.
    """
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            if containing in text:
                yield parse_line(path.stem, text)


def read_events(
    path: Path, events: Container[str], containing: str = ""
) -> Iterator[LogLine | None]:
    """
    Yield the lines of a log file with one of the events; raises ``OSError``.

    With ``containing``, lines of any event that contain this text are included. Yields
    ``None`` for a line that can't be parsed.
    """
    with path.open(encoding="utf-8", errors="replace") as file:
        for text in file:
            event = EVENT.search(text)
            is_wanted = event is not None and event[1] in events
            if is_wanted or (containing and containing in text):
                yield parse_line(path.stem, text)
