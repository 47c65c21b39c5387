"""Remembers which parts of prompts, and which requests, have succeeded at one entry."""

from typing import NamedTuple

from amaranthtally.policy.request_key import RequestKey

__all__ = ["EVIDENCE_TTL_S", "PartKey", "PartSuccess", "PartSuccesses"]

# How long ends and successes count, in seconds.
EVIDENCE_TTL_S = 60.0
# Most parts whose successes are remembered, and as many requests. Nearly all requests
# differ: they must not displace the parts that they share.
MAX_SUCCESSES = 4096

# What endpoints may end on: a part of prompts, by its id, or a whole request.
PartKey = int | RequestKey


class PartSuccess(NamedTuple):
    """A request with a part that was sent at ``sent_at`` and answered in full."""

    part: PartKey
    sent_at: float
    ended_at: float


class PartSuccesses:
    """The last success of each part and their number; time stamps in seconds."""

    def __init__(self) -> None:
        self._parts: dict[PartKey, tuple[PartSuccess, int]] = {}
        self._requests: dict[PartKey, tuple[PartSuccess, int]] = {}

    def find(self, now: float, part: PartKey) -> PartSuccess | None:
        """Return the last success of a part, if it still counts."""
        known = self._table(part).get(part)
        if known is None or now - known[0].ended_at >= EVIDENCE_TTL_S:
            return None
        return known[0]

    def count(self, now: float, part: PartKey) -> int:
        """Return the number of successes, none of them long before the next."""
        if self.find(now, part) is None:
            return 0
        return self._table(part)[part][1]

    def add(self, success: PartSuccess) -> None:
        """Count a success."""
        count = self.count(success.ended_at, success.part) + 1
        table = self._table(success.part)
        table.pop(success.part, None)
        table[success.part] = (success, count)
        if len(table) > MAX_SUCCESSES:
            del table[next(iter(table))]

    def _table(self, part: PartKey) -> dict[PartKey, tuple[PartSuccess, int]]:
        return self._requests if isinstance(part, RequestKey) else self._parts
