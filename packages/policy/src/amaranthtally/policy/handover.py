"""
Records that a sidecar hands to its peers as it stops.

A stop that took the records along would turn every repeat into ``unknown``.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from hashlib import sha256

from amaranthtally.policy.at_most_once import KEEP_MARGIN_S, CallTerms, CallVerdict
from amaranthtally.policy.model import Endpoint

__all__ = ["HandedOverCall", "Handover", "ReceivedHandovers", "rank_successors"]


@dataclass(frozen=True, slots=True)
class HandedOverCall:
    """A call that ended, with its result; ``status`` as in the inner protocol."""

    key: str
    fingerprint: str
    status: str
    output: bytes
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Handover:
    """
    Every call on record of an endpoint's incarnation that takes none any more.

    ``clock_s`` is its own clock as it stopped, ``ttl_s`` how old a binding it
    would have taken, both in seconds. Where it is not ``final``, calls that run
    may still end, and a final one takes its place.
    """

    endpoint: str
    incarnation: int
    clock_s: float
    ttl_s: float
    calls: tuple[HandedOverCall, ...]
    final: bool = True


@dataclass(frozen=True, slots=True)
class _Kept:
    handover: Handover
    taken: float
    calls: dict[str, HandedOverCall]


class ReceivedHandovers:
    """The records of stopped incarnations, bounded by number of calls and by age."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._kept: dict[int, _Kept] = {}

    def __len__(self) -> int:
        return sum(len(kept.calls) for kept in self._kept.values())

    def take(self, now: float, handover: Handover) -> bool:
        """Keep a handover; false where there is no room for all of it."""
        self._expire(now)
        known = self._kept.get(handover.incarnation)
        # An early one that comes late, from a peer that stops in turn, must not
        # take the results of the final one away again.
        if known is not None and (known.handover.final or not handover.final):
            return True
        replaced = len(known.calls) if known is not None else 0
        # Half of one would have the missing half pass for calls that never ran.
        if len(self) - replaced + len(handover.calls) > self._capacity:
            return False
        calls = {call.key: call for call in handover.calls}
        self._kept[handover.incarnation] = _Kept(handover, now, calls)
        return True

    def check(self, now: float, key: str, terms: CallTerms) -> CallVerdict:
        """
        Say what became of a call that was bound to a stopped incarnation.

        ``WITHDRAWN``: it never started there, and no copy of it ever will.
        """
        kept = self._kept.get(terms.incarnation)
        if kept is None:
            return CallVerdict.OTHER_INCARNATION
        call = kept.calls.get(key)
        if call is not None:
            same = call.fingerprint == terms.fingerprint
            return CallVerdict.KNOWN if same else CallVerdict.CONFLICT
        clock = kept.handover.clock_s + now - kept.taken
        if clock - terms.issued_s > kept.handover.ttl_s:
            return CallVerdict.EXPIRED
        return CallVerdict.WITHDRAWN

    def call(self, incarnation: int, key: str) -> HandedOverCall:
        """Return a call that ``check`` knows; raises ``KeyError``."""
        return self._kept[incarnation].calls[key]

    def export(self, now: float) -> list[Handover]:
        """Return what is kept, for a peer to keep in turn."""
        self._expire(now)
        return [
            replace(kept.handover, clock_s=kept.handover.clock_s + now - kept.taken)
            for kept in self._kept.values()
        ]

    def _expire(self, now: float) -> None:
        for incarnation, kept in list(self._kept.items()):
            if now - kept.taken > kept.handover.ttl_s + KEEP_MARGIN_S:
                del self._kept[incarnation]


def rank_successors(
    incarnation: int, endpoint: str, endpoints: Iterable[Endpoint]
) -> list[Endpoint]:
    """
    Return an endpoint's pool, those who take its records first.

    It is one of them itself: started anew, it can take its records back from a
    peer that stops in turn.

    The order follows from the incarnation alone, so that an entry finds the
    records without anything written to the platform.
    """
    known = {found.id: found for found in endpoints}
    pool = known[endpoint].pool if endpoint in known else ""
    members = [e for e in known.values() if e.pool == pool]
    return sorted(
        members, key=lambda e: sha256(f"{incarnation}/{e.id}".encode()).digest()
    )
