"""Conversion of notices and reports on parts of prompts to Cap'n Proto structs."""

from collections.abc import Sequence
from typing import Any

from amaranthtally.policy import PartEnd, PartNotice, PartState, PartSuccess

__all__ = [
    "read_part_ends",
    "read_part_notices",
    "read_part_successes",
    "write_part_ends",
    "write_part_notices",
    "write_part_successes",
]

MICROSECONDS = 1_000_000
# Callers' ids of parts are hexadecimal numbers of any length; they travel as text.
HEXADECIMAL = 16


def write_part_notices(target: Any, notices: Sequence[PartNotice], now: float) -> None:
    """Fill a ``spreadPartNotices`` request; ``now`` is the current loop time."""
    items = target.init("notices", len(notices))
    for item, notice in zip(items, notices, strict=True):
        item.part = f"{notice.part:x}"
        item.state = notice.state.value
        item.serial = notice.serial
        item.ageMicros = _micros(now - notice.since)
        item.ends = list(notice.ends)
        item.author = notice.author


def read_part_notices(source: Any, now: float) -> tuple[PartNotice, ...]:
    """Decode the notices of a ``spreadPartNotices`` request."""
    return tuple(
        PartNotice(
            int(item.part, HEXADECIMAL),
            PartState(str(item.state)),
            item.serial,
            now - item.ageMicros / MICROSECONDS,
            tuple(item.ends),
            item.author,
        )
        for item in source
    )


def write_part_ends(target: Any, ends: Sequence[PartEnd], now: float) -> None:
    """Fill a ``reportEnds`` request."""
    items = target.init("ends", len(ends))
    for item, end in zip(items, ends, strict=True):
        item.part = f"{end.part:x}"
        item.endpoint = end.endpoint
        item.lostAgeMicros = _micros(now - end.lost_at)
        item.sentAgeMicros = _micros(now - end.sent_at)
        item.successes = end.successes


def read_part_ends(source: Any, now: float) -> tuple[PartEnd, ...]:
    """Decode the ends of a ``reportEnds`` request."""
    return tuple(
        PartEnd(
            int(item.part, HEXADECIMAL),
            item.endpoint,
            now - item.lostAgeMicros / MICROSECONDS,
            now - item.sentAgeMicros / MICROSECONDS,
            item.successes,
        )
        for item in source
    )


def write_part_successes(
    target: Any, successes: Sequence[PartSuccess], now: float
) -> None:
    """Fill a ``reportSuccesses`` request."""
    items = target.init("successes", len(successes))
    for item, success in zip(items, successes, strict=True):
        item.part = f"{success.part:x}"
        item.sentAgeMicros = _micros(now - success.sent_at)
        item.endedAgeMicros = _micros(now - success.ended_at)


def read_part_successes(source: Any, now: float) -> tuple[PartSuccess, ...]:
    """Decode the successes of a ``reportSuccesses`` request."""
    return tuple(
        PartSuccess(
            int(item.part, HEXADECIMAL),
            now - item.sentAgeMicros / MICROSECONDS,
            now - item.endedAgeMicros / MICROSECONDS,
        )
        for item in source
    )


def _micros(seconds: float) -> int:
    return int(seconds * MICROSECONDS)
