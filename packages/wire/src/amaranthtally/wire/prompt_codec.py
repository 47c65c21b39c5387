"""Conversion of notices and reports on parts and requests to Cap'n Proto structs."""

from collections.abc import Sequence
from typing import Any

from amaranthtally.policy import (
    PartEnd,
    PartKey,
    PartNotice,
    PartState,
    PartSuccess,
    RequestKey,
)

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
        _write_part(item, notice.part)
        item.state = notice.state.value
        item.serial = notice.serial
        item.ageMicros = _micros(now - notice.since)
        item.ends = list(notice.ends)
        item.author = notice.author


def read_part_notices(source: Any, now: float) -> tuple[PartNotice, ...]:
    """Decode the notices of a ``spreadPartNotices`` request."""
    return tuple(
        PartNotice(
            _read_part(item),
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
        _write_part(item, end.part)
        item.endpoint = end.endpoint
        item.lostAgeMicros = _micros(now - end.lost_at)
        item.sentAgeMicros = _micros(now - end.sent_at)
        item.successes = end.successes


def read_part_ends(source: Any, now: float) -> tuple[PartEnd, ...]:
    """Decode the ends of a ``reportEnds`` request."""
    return tuple(
        PartEnd(
            _read_part(item),
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
        _write_part(item, success.part)
        item.sentAgeMicros = _micros(now - success.sent_at)
        item.endedAgeMicros = _micros(now - success.ended_at)


def read_part_successes(source: Any, now: float) -> tuple[PartSuccess, ...]:
    """Decode the successes of a ``reportSuccesses`` request."""
    return tuple(
        PartSuccess(
            _read_part(item),
            now - item.sentAgeMicros / MICROSECONDS,
            now - item.endedAgeMicros / MICROSECONDS,
        )
        for item in source
    )


def _write_part(item: Any, part: PartKey) -> None:
    item.isRequest = isinstance(part, RequestKey)
    number = part.digest if isinstance(part, RequestKey) else part
    item.part = f"{number:x}"


def _read_part(item: Any) -> PartKey:
    number = int(item.part, HEXADECIMAL)
    return RequestKey(number) if item.isRequest else number


def _micros(seconds: float) -> int:
    return int(seconds * MICROSECONDS)
