"""Decides from the reports of all entries what ends endpoints."""

from collections.abc import Container, Iterable
from dataclasses import dataclass, field
from math import inf

from amaranthtally.policy.part_losses import KNOWN_WITHIN_S, PartEnd
from amaranthtally.policy.part_successes import EVIDENCE_TTL_S, PartKey, PartSuccess
from amaranthtally.policy.request_key import RequestKey

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
# Number of ends in sequence at which a request is blocked if other endpoints ended at
# that time: in a rolling failure, a sound request that its caller sends again is lost
# at a few of them.
SEQUENTIAL_ENDS_AMID_OTHERS = 5
# How long before the first end of a request others count as of that time, in seconds.
OTHERS_BEFORE_S = 5.0
# Ends of a part that another one need not share to be the likelier cause of the others.
MAX_UNSHARED_ENDS = 1
# Share of a part's ends, if it has succeeded before, that one that never has must share
# to be the likelier cause.
LIKELIER_SHARE = 0.5
# Share of its ends that a part must share with one that is blocked, for its other ends
# at that time to be put down to that one as well.
EXPLAINED_SHARE = 2 / 3
# A part with this many times as many ends is the likelier cause, whatever succeeded.
MANY_MORE_ENDS = 2
# Number of ends that a request and a part must share for the request to explain others.
MIN_SHARED_ENDS = 2
# Time within which what is at fault is blocked everywhere, in seconds.
DECISION_TIME_S = 2.0
# How long the entries have to answer before a part is blocked, in seconds.
ANSWER_TIME_S = 0.4
# Interval at which they are asked about a part again, in seconds. Of a request they are
# asked again with each further end only: many requests lose two endpoints when many
# endpoints fail.
ASK_INTERVAL_S = 2.0
# An end counts against a part this long after the first report of it, in seconds. An
# entry whose response looked whole, as it ended with its connection, knows of the end
# only once the endpoint's record is removed, and may have sent what is at fault.
SETTLED_AFTER_S = KNOWN_WITHIN_S
MAX_SUSPECTS = 4096
# Most questions at a time.
MAX_QUESTIONS = 64


@dataclass(slots=True)
class _Suspect:
    ends: dict[str, PartEnd] = field(default_factory=dict)
    successes: int = 0
    asked_at: float = -inf
    first_asked_at: float = inf
    asked_ends: int = 0


class SuspectParts:
    """
    The ends that entries have reported, by part; time stamps in seconds.

    One request ends an endpoint, but all that it runs are lost with it. What is at
    fault was in flight at every end and never succeeds: a request that is sent again
    and again, or a part that different requests share. Any other part that many
    requests share succeeds at some endpoint in between.
    """

    def __init__(self) -> None:
        # When each end was first reported.
        self._first_reported: dict[str, float] = {}
        self._parts: dict[PartKey, _Suspect] = {}
        self._requests: dict[PartKey, _Suspect] = {}
        # Those with enough ends to ask about them.
        self._open: dict[PartKey, _Suspect] = {}
        # Ends of which the cause is a part, with the time when that became known.
        self._explained: dict[str, float] = {}
        self._blocked_parts: set[PartKey] = set()
        # The ends of each request that is blocked.
        self._blocked_requests: dict[PartKey, set[str]] = {}

    def add_end(self, now: float, end: PartEnd) -> None:
        """Add a report; the latest request counts that was lost with an endpoint."""
        self._first_reported.setdefault(end.endpoint, now)
        if end.part in self._blocked_parts or end.part in self._blocked_requests:
            self._explain(now, end.part, (end.endpoint,))
        if self._is_explained(end):
            return
        suspects = self._table(end.part)
        suspect = suspects.pop(end.part, None) or _Suspect()
        suspects[end.part] = suspect
        suspect.successes = max(suspect.successes, end.successes)
        known = suspect.ends.get(end.endpoint)
        if known is not None:
            sent_at = max(known.sent_at, end.sent_at)
            end = end._replace(lost_at=min(known.lost_at, end.lost_at), sent_at=sent_at)
        suspect.ends[end.endpoint] = end
        if len(suspect.ends) >= ENDS_TO_ASK:
            self._open[end.part] = suspect
        if len(suspects) > MAX_SUSPECTS:
            self._drop(next(iter(suspects)))

    def add_success(self, success: PartSuccess) -> None:
        """Drop the ends before a request that succeeded."""
        suspect = self._table(success.part).get(success.part)
        if suspect is None:
            return
        suspect.successes = max(1, suspect.successes)
        suspect.ends = {
            name: end
            for name, end in suspect.ends.items()
            if end.lost_at > success.sent_at
        }

    def part_blocked(self, now: float, part: PartKey, endpoints: Iterable[str]) -> None:
        """Count the ends of a part that is blocked for no other part."""
        self._drop(part)
        if isinstance(part, RequestKey):
            self._blocked_requests.setdefault(part, set())
        else:
            self._blocked_parts.add(part)
        self._explain(now, part, endpoints)

    def part_cleared(self, part: PartKey) -> None:
        """Put no more ends down to a part that is not blocked any more."""
        self._blocked_parts.discard(part)
        self._blocked_requests.pop(part, None)

    def keep_blocked(self, blocked: frozenset[PartKey]) -> None:
        """Forget parts that are not blocked any more."""
        gone = [*self._blocked_parts, *self._blocked_requests]
        for part in gone:
            if part not in blocked:
                self.part_cleared(part)

    def ends_of(self, part: PartKey) -> tuple[PartEnd, ...]:
        """Return the ends that count against a part, earliest first."""
        suspect = self._table(part).get(part)
        return _in_order(suspect) if suspect else ()

    def due_questions(self, now: float) -> tuple[PartKey, ...]:
        """Return the parts of which all entries are to be asked now."""
        due: list[PartKey] = []
        for part, suspect in self._open.items():
            if len(due) < MAX_QUESTIONS and _is_question_due(now, part, suspect):
                suspect.asked_at = now
                suspect.first_asked_at = min(suspect.first_asked_at, now)
                suspect.asked_ends = len(suspect.ends)
                due.append(part)
        return tuple(due)

    def due_blocks(self, now: float) -> tuple[PartKey, ...]:
        """Return the parts that are to be blocked."""
        return tuple(part for part in self._open if self.is_at_fault(now, part))

    def expire(self, now: float) -> None:
        """Drop what is too old to count."""
        for part, suspect in [*self._parts.items(), *self._requests.items()]:
            suspect.ends = {
                name: end
                for name, end in suspect.ends.items()
                if now - end.lost_at < EVIDENCE_TTL_S
            }
            if not suspect.ends:
                self._drop(part)
            elif len(suspect.ends) < ENDS_TO_ASK:
                self._open.pop(part, None)
        self._first_reported = {
            name: at
            for name, at in self._first_reported.items()
            if now - at < EVIDENCE_TTL_S
        }
        self._explained = {
            name: at
            for name, at in self._explained.items()
            if now - at < EVIDENCE_TTL_S
        }

    def is_at_fault(self, now: float, part: PartKey) -> bool:
        """Whether a part is to be blocked."""
        suspect = self._open.get(part)
        if suspect is None or now - suspect.first_asked_at < ANSWER_TIME_S:
            return False
        if isinstance(part, RequestKey):
            return self._is_request_at_fault(suspect)
        settled = self._settled(now, suspect)
        if not _has_enough_ends(settled):
            return False
        others = [
            other
            for other in self._parts.values()
            if other is not suspect and other.ends.keys() & suspect.ends.keys()
        ]
        return not (
            _has_likelier(others, suspect)
            or _has_likelier((self._settled(now, o) for o in others), settled)
            or self._has_request_at_fault(settled)
        )

    def _is_request_at_fault(self, suspect: _Suspect) -> bool:
        others = (o for o in self._requests.values() if o is not suspect)
        return self._has_request_ends(suspect) and not _has_likelier(others, suspect)

    def _has_request_ends(self, suspect: _Suspect) -> bool:
        """
        Whether a request was lost at enough ends, one after the other.

        Many callers may send the same request. If all its endpoints fail at once, it is
        in flight at each, but at one after the other only if it is sent again.
        """
        if len(suspect.ends) < _ends_to_block(suspect):
            return False
        sequential = _count_sequential(_in_order(suspect))
        if sequential >= SEQUENTIAL_ENDS_AMID_OTHERS:
            return True
        return sequential >= MIN_SEQUENTIAL_ENDS and not self._has_other_ends(suspect)

    def _has_other_ends(self, suspect: _Suspect) -> bool:
        """Whether other endpoints ended about as a request was lost at its own."""
        first = min(end.lost_at for end in suspect.ends.values())
        return any(
            at >= first - OTHERS_BEFORE_S and name not in suspect.ends
            for name, at in self._first_reported.items()
        )

    def _settled(self, now: float, suspect: _Suspect) -> _Suspect:
        """Return a suspect with the ends that all entries have reported by now."""
        ends = {
            name: end
            for name, end in suspect.ends.items()
            if now - self._first_reported.get(name, now) >= SETTLED_AFTER_S
        }
        return _Suspect(ends, suspect.successes)

    def _has_request_at_fault(self, suspect: _Suspect) -> bool:
        """
        Whether one request explains all ends of a part but few.

        The part may then be sound. If it is not, other requests with it end further
        endpoints.
        """
        at_fault: list[Container[str]] = [*self._blocked_requests.values()]
        at_fault += [
            other.ends
            for part, other in self._open.items()
            if isinstance(part, RequestKey) and self._has_request_ends(other)
        ]
        needed = len(suspect.ends) - MAX_UNSHARED_ENDS
        return any(
            len(_explained_ends(suspect, ends, MIN_SHARED_ENDS)) >= needed
            for ends in at_fault
        )

    def _is_explained(self, end: PartEnd) -> bool:
        if end.endpoint in self._explained:
            return True
        if not isinstance(end.part, RequestKey):
            return False
        return any(end.endpoint in ends for ends in self._blocked_requests.values())

    def _explain(self, now: float, cause: PartKey, endpoints: Iterable[str]) -> None:
        """
        Count ends for no other suspect.

        Those of a request go on to count for the parts that it holds, as one of these
        may end endpoints in whatever request it comes. Another request with as many
        ends may be the one at fault, and is left to be blocked too.
        """
        names = set(endpoints)
        ends = self._blocked_requests.get(cause)
        if ends is None:
            self._explained.update(dict.fromkeys(names, now))
            for suspect in [*self._parts.values(), *self._requests.values()]:
                least = EXPLAINED_SHARE * len(suspect.ends)
                for name in _explained_ends(suspect, names, least):
                    del suspect.ends[name]
            return
        ends |= names
        for suspect in self._requests.values():
            if len(suspect.ends) < len(ends):
                for name in names:
                    suspect.ends.pop(name, None)

    def _drop(self, part: PartKey) -> None:
        self._table(part).pop(part, None)
        self._open.pop(part, None)

    def _table(self, part: PartKey) -> dict[PartKey, _Suspect]:
        return self._requests if isinstance(part, RequestKey) else self._parts


def _in_order(suspect: _Suspect) -> tuple[PartEnd, ...]:
    return tuple(sorted(suspect.ends.values(), key=lambda end: end.lost_at))


def _is_question_due(now: float, part: PartKey, suspect: _Suspect) -> bool:
    if len(suspect.ends) < ENDS_TO_ASK:
        return False
    if isinstance(part, RequestKey):
        return len(suspect.ends) > suspect.asked_ends
    return now - suspect.asked_at >= ASK_INTERVAL_S


def _ends_to_block(suspect: _Suspect) -> int:
    return PROVEN_ENDS_TO_BLOCK if suspect.successes else ENDS_TO_BLOCK


def _has_enough_ends(suspect: _Suspect) -> bool:
    """Whether a part was in flight at enough ends."""
    if len(suspect.ends) < _ends_to_block(suspect):
        return False
    if not suspect.successes:
        return True
    return _count_sequential(_in_order(suspect)) >= MIN_SEQUENTIAL_ENDS


def _has_likelier(others: Iterable[_Suspect], suspect: _Suspect) -> bool:
    """
    Whether another part, or another request, explains the same ends better.

    When all engines are down, nothing succeeds. The part that all requests of a route
    share is then in flight at each end, as is the one at fault, and blocking the shared
    one would refuse every request of the route.
    """
    return any(_is_likelier(other, suspect) for other in others)


def _explained_ends(
    suspect: _Suspect, names: Container[str], least: float
) -> list[str]:
    """
    Return the ends of a suspect that another cause, with these ends, explains.

    That goes on to end endpoints until it is blocked everywhere, and entries that noted
    it may have failed since: what ends shortly after the ends that are known to be its
    own is put down to it as well, if it shares at least ``least`` ends.
    """
    shared = [e.lost_at for name, e in suspect.ends.items() if name in names]
    if not shared:
        return []
    first, last = min(shared), max(shared)
    if len(shared) < least:
        return [name for name in suspect.ends if name in names]
    last += DECISION_TIME_S
    return [n for n, end in suspect.ends.items() if first <= end.lost_at <= last]


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
    # Entries may have failed with what they knew of the part at fault. The part of a
    # whole route, on which the others report, would be blocked in its place.
    enough = max(ENDS_TO_BLOCK, LIKELIER_SHARE * len(suspect.ends))
    if suspect.successes and not other.successes and shared >= enough:
        return True
    if shared < len(suspect.ends) - MAX_UNSHARED_ENDS:
        return False
    if len(other.ends) >= MANY_MORE_ENDS * len(suspect.ends):
        return True
    if other.successes == suspect.successes:
        return len(other.ends) > len(suspect.ends)
    return other.successes < suspect.successes
