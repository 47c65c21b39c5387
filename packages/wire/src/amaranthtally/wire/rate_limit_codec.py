"""Conversion of rate limits and permits to and from Cap'n Proto structs."""

from collections.abc import Iterable, Sequence
from typing import Any

from amaranthtally.policy import PermitAnswer, PermitAsk, RateLimitNotice

__all__ = [
    "read_permit_answers",
    "read_permit_asks",
    "read_rate_limits",
    "write_permit_answers",
    "write_permit_asks",
    "write_rate_limits",
]

MICROSECONDS = 1_000_000
# Stands for an endpoint that names no limit any more.
NO_RATE = -1.0


def write_rate_limits(target: Any, notices: Sequence[RateLimitNotice]) -> None:
    """Fill a ``spreadRateLimits`` request."""
    items = target.init("limits", len(notices))
    for item, notice in zip(items, notices, strict=True):
        item.endpoint = notice.endpoint
        item.incarnation = notice.incarnation
        item.serial = notice.serial
        item.rate = NO_RATE if notice.rate is None else notice.rate


def read_rate_limits(source: Any) -> tuple[RateLimitNotice, ...]:
    """Decode the notices of a ``spreadRateLimits`` request."""
    return tuple(
        RateLimitNotice(
            item.endpoint,
            item.incarnation,
            item.serial,
            item.rate if item.rate >= 0.0 else None,
        )
        for item in source
    )


def write_permit_asks(target: Any, asks: Sequence[PermitAsk]) -> None:
    """Fill an ``askPermits`` request."""
    items = target.init("asks", len(asks))
    for item, ask in zip(items, asks, strict=True):
        item.endpoint = ask.endpoint
        item.rate = ask.rate
        item.wanted = ask.wanted


def read_permit_asks(source: Any) -> tuple[PermitAsk, ...]:
    """Decode the asks of an ``askPermits`` request."""
    return tuple(PermitAsk(item.endpoint, item.rate, item.wanted) for item in source)


def write_permit_answers(target: Any, answers: Sequence[PermitAnswer]) -> None:
    """Fill the reply to an ``askPermits`` request."""
    items = target.init("answers", len(answers))
    for item, answer in zip(items, answers, strict=True):
        item.endpoint = answer.endpoint
        item.delaysMicros = _micros(answer.delays_s)
        item.retryAfterMicros = int(answer.retry_after_s * MICROSECONDS)


def read_permit_answers(source: Any) -> tuple[PermitAnswer, ...]:
    """Decode the reply to an ``askPermits`` request."""
    return tuple(
        PermitAnswer(
            item.endpoint,
            tuple(delay / MICROSECONDS for delay in item.delaysMicros),
            item.retryAfterMicros / MICROSECONDS,
        )
        for item in source
    )


def _micros(values_s: Iterable[float]) -> list[int]:
    return [int(value_s * MICROSECONDS) for value_s in values_s]
