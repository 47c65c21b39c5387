"""Decides from the reports of all entries which part of prompts ends endpoints."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import inf

from amaranthtally.policy.part_losses import EVIDENCE_TTL_S, PartEnd, PartSuccess

__all__ = ["SuspectParts"]

# From how many ended endpoints on all entries are asked whether a part has succeeded.
ENDS_TO_ASK = 2
# Number of ended endpoints at which a part is blocked if it has never succeeded.
ENDS_TO_BLOCK = 3
# The same for a part that had succeeded before: this many ends, of which so many are in
# sequence. When many endpoints fail at a time, the parts of all requests are in flight
# there.
PROVEN_ENDS_TO_BLOCK = 4
MIN_SEQUENTIAL_ENDS = 3
# Ends of a part that another one need not share to be the likelier cause of the others.
MAX_UNSHARED_ENDS = 1
# A part with this many times as many ends is the likelier cause, whatever succeeded.
MANY_MORE_ENDS = 2
# How long the entries have to answer before a part is blocked, in seconds.
ANSWER_TIME_S = 0.4
# Interval at which they are asked again, in seconds.
ASK_INTERVAL_S = 2.0
MAX_SUSPECTS = 4096


@dataclass(slots=True)
class _Suspect:
    ends: dict[str, PartEnd] = field(default_factory=dict)
    successes: int = 0
    asked_at: float = -inf
    first_asked_at: float = inf


class SuspectParts:
    """
    The ends that entries have reported, by part; time stamps in seconds.

    One request ends an endpoint, but all that it runs are lost with it. The part that
    is at fault was in flight at every end and never succeeds; any other part that many
    requests share succeeds at some endpoint in between.
    """

    def __init__(self) -> None:
        self._suspects: dict[int, _Suspect] = {}
        # Ends of which the cause is known, with the time when that became known.
        self._explained: dict[str, float] = {}
        self._blocked: set[int] = set()

    def add_end(self, now: float, end: PartEnd) -> None:
        """Add a report; the latest request counts that was lost with an endpoint."""
        if end.part in self._blocked:
            self._explain(now, end.endpoint)
        if end.endpoint in self._explained:
            return
        suspect = self._suspects.setdefault(end.part, _Suspect())
        suspect.successes = max(suspect.successes, end.successes)
        known = suspect.ends.get(end.endpoint)
        if known is not None:
            sent_at = max(known.sent_at, end.sent_at)
            end = end._replace(lost_at=min(known.lost_at, end.lost_at), sent_at=sent_at)
        suspect.ends[end.endpoint] = end
        while len(self._suspects) > MAX_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]

    def add_success(self, success: PartSuccess) -> None:
        """Drop the ends before a request that succeeded."""
        suspect = self._suspects.get(success.part)
        if suspect is None:
            return
        suspect.successes = max(1, suspect.successes)
        suspect.ends = {
            name: end
            for name, end in suspect.ends.items()
            if end.lost_at > success.sent_at
        }

    def part_blocked(self, now: float, part: int, endpoints: Iterable[str]) -> None:
        """Count the ends of a part that is blocked for no other part."""
        self._suspects.pop(part, None)
        self._blocked.add(part)
        for endpoint in endpoints:
            self._explain(now, endpoint)

    def part_cleared(self, part: int) -> None:
        """Put no more ends down to a part that is not blocked any more."""
        self._blocked.discard(part)

    def ends_of(self, part: int) -> tuple[PartEnd, ...]:
        """Return the ends that count against a part, earliest first."""
        suspect = self._suspects.get(part)
        ends = suspect.ends.values() if suspect else ()
        return tuple(sorted(ends, key=lambda end: end.lost_at))

    def due_questions(self, now: float) -> tuple[int, ...]:
        """Return the parts of which all entries are to be asked now."""
        due = []
        for part, suspect in self._suspects.items():
            is_due = now - suspect.asked_at >= ASK_INTERVAL_S
            if len(suspect.ends) >= ENDS_TO_ASK and is_due:
                suspect.asked_at = now
                suspect.first_asked_at = min(suspect.first_asked_at, now)
                due.append(part)
        return tuple(due)

    def due_blocks(self, now: float) -> tuple[int, ...]:
        """Return the parts that are to be blocked."""
        return tuple(part for part in self._suspects if self.is_at_fault(now, part))

    def expire(self, now: float) -> None:
        """Drop what is too old to count."""
        for part, suspect in list(self._suspects.items()):
            suspect.ends = {
                name: end
                for name, end in suspect.ends.items()
                if now - end.lost_at < EVIDENCE_TTL_S
            }
            if not suspect.ends:
                del self._suspects[part]
        self._explained = {
            name: at
            for name, at in self._explained.items()
            if now - at < EVIDENCE_TTL_S
        }

    def is_at_fault(self, now: float, part: int) -> bool:
        """Whether a part is to be blocked."""
        suspect = self._suspects.get(part)
        if suspect is None or now - suspect.first_asked_at < ANSWER_TIME_S:
            return False
        is_enough = (
            self._has_enough_proven_ends(part, suspect)
            if suspect.successes
            else len(suspect.ends) >= ENDS_TO_BLOCK
        )
        return is_enough and not self._has_likelier_cause(suspect)

    def _has_enough_proven_ends(self, part: int, suspect: _Suspect) -> bool:
        if len(suspect.ends) < PROVEN_ENDS_TO_BLOCK:
            return False
        return _count_sequential(self.ends_of(part)) >= MIN_SEQUENTIAL_ENDS

    def _has_likelier_cause(self, suspect: _Suspect) -> bool:
        """
        Whether another part explains the same ends better.

        When all engines are down, nothing succeeds. The part that all requests of a
        route share is then in flight at each end, as is the one at fault, and blocking
        the shared one would refuse every request of the route.
        """
        return any(
            _is_likelier(other, suspect)
            for other in self._suspects.values()
            if other is not suspect
        )

    def _explain(self, now: float, endpoint: str) -> None:
        self._explained[endpoint] = now
        for suspect in self._suspects.values():
            suspect.ends.pop(endpoint, None)


def _count_sequential(ends: Iterable[PartEnd]) -> int:
    """Return how many ends had a request that was sent after the one before."""
    count, last = 0, -inf
    for end in ends:
        if end.sent_at >= last:
            count += 1
            last = end.lost_at
    return count


def _is_likelier(other: _Suspect, suspect: _Suspect) -> bool:
    """Whether another part was in flight at the same ends, and is likelier at fault."""
    shared = len(other.ends.keys() & suspect.ends.keys())
    if shared < len(suspect.ends) - MAX_UNSHARED_ENDS:
        return False
    if len(other.ends) >= MANY_MORE_ENDS * len(suspect.ends):
        return True
    if other.successes == suspect.successes:
        return len(other.ends) > len(suspect.ends)
    return other.successes < suspect.successes
