"""Notices of entries on parts of prompts and requests, and those that are blocked."""

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from amaranthtally.policy.part_successes import PartKey
from amaranthtally.policy.request_key import RequestKey

__all__ = ["BlockedParts", "PartNotice", "PartState"]

# How long a part stays blocked, in seconds. It is tried at longer intervals before.
BLOCK_TTL_S = 900.0
# How long it is known that a part is not blocked any more, in seconds.
CLEARED_TTL_S = 120.0
MAX_PARTS = 512
# A blocked part is tried with one request after this many seconds, and after each try
# that fails, after this many times as long.
FIRST_TRIAL_S = 20.0
# The same for a request, which only its own callers miss.
FIRST_REQUEST_TRIAL_S = 60.0
TRIAL_BACKOFF = 4.0


class PartState(Enum):
    """
    What a notice says of a part.

    ``ASKED`` asks all entries whether a request with it has succeeded, ``BLOCKED`` says
    that endpoints end on it, and ``CLEARED`` that they do not.
    """

    ASKED = "asked"
    BLOCKED = "blocked"
    CLEARED = "cleared"


class PartNotice(NamedTuple):
    """
    A notice on a part of prompts, or on a request.

    ``serial`` counts the changes of a part's state, or the questions of one entry.
    ``ends`` are the ends that a blocked part explains, and ``since`` is the time stamp
    of the first. ``author`` is the entry that asks.
    """

    part: PartKey
    state: PartState
    serial: int
    since: float
    ends: tuple[str, ...] = ()
    author: str = ""


class _Known(NamedTuple):
    notice: PartNotice
    learned_at: float
    trial_at: float
    trials: int


class BlockedParts:
    """The newest notice of each part that was ever blocked; time stamps in seconds."""

    def __init__(self) -> None:
        self._known: dict[PartKey, _Known] = {}
        self._blocked: frozenset[PartKey] = frozenset()

    def __len__(self) -> int:
        return len(self._known)

    @property
    def blocked(self) -> frozenset[PartKey]:
        """The parts that are blocked."""
        return self._blocked

    @property
    def notices(self) -> tuple[PartNotice, ...]:
        """All notices, also of parts that are not blocked any more."""
        return tuple(known.notice for known in self._known.values())

    def find(self, part: PartKey) -> PartNotice | None:
        """Return the newest notice of a part, or ``None``."""
        known = self._known.get(part)
        return None if known is None else known.notice

    def next_notice(
        self, part: PartKey, state: PartState, since: float, ends: Iterable[str] = ()
    ) -> PartNotice:
        """Return the notice of a change of a part's state."""
        known = self._known.get(part)
        serial = 1 if known is None else known.notice.serial + 1
        return PartNotice(part, state, serial, since, tuple(ends))

    def put(self, now: float, notice: PartNotice) -> bool:
        """Take a notice; return whether it is newer than what was known."""
        known = self._known.get(notice.part)
        if known is not None and _rank(notice) <= _rank(known.notice):
            return False
        self._known.pop(notice.part, None)
        self._known[notice.part] = _Known(
            notice, now, now + _first_trial_s(notice.part), 0
        )
        while len(self._known) > MAX_PARTS:
            del self._known[next(iter(self._known))]
        self._refresh()
        return True

    def take_trial(self, now: float, part: PartKey) -> bool:
        """Whether one request with a blocked part may be tried now."""
        known = self._known.get(part)
        if known is None or now < known.trial_at:
            return False
        pause_s = _first_trial_s(part) * TRIAL_BACKOFF ** (known.trials + 1)
        self._known[part] = known._replace(
            trial_at=now + pause_s, trials=known.trials + 1
        )
        return True

    def wait_s(self, now: float, part: PartKey) -> float:
        """Return the seconds until a blocked part may be tried again."""
        known = self._known.get(part)
        return 0.0 if known is None else max(0.0, known.trial_at - now)

    def expire(self, now: float) -> None:
        """Drop notices that are too old."""
        expired = [
            part
            for part, known in self._known.items()
            if now - known.learned_at >= _ttl_s(known.notice)
        ]
        for part in expired:
            del self._known[part]
        if expired:
            self._refresh()

    def _refresh(self) -> None:
        self._blocked = frozenset(
            part
            for part, known in self._known.items()
            if known.notice.state is PartState.BLOCKED
        )


def _rank(notice: PartNotice) -> tuple[int, bool]:
    return notice.serial, notice.state is PartState.CLEARED


def _first_trial_s(part: PartKey) -> float:
    is_request = isinstance(part, RequestKey)
    return FIRST_REQUEST_TRIAL_S if is_request else FIRST_TRIAL_S


def _ttl_s(notice: PartNotice) -> float:
    return BLOCK_TTL_S if notice.state is PartState.BLOCKED else CLEARED_TTL_S
