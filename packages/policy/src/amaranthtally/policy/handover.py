"""
Transfer of a stopping sidecar's call records to other sidecars of its pool.

Without it, every repeat of a call that the stopped incarnation had run would be
answered with ``unknown``.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from hashlib import sha256

from amaranthtally.policy.at_most_once import KEEP_MARGIN_S, CallTerms, CallVerdict
from amaranthtally.policy.model import Endpoint

__all__ = ["HandedOverCall", "Handover", "ReceivedHandovers", "rank_successors"]


@dataclass(frozen=True, slots=True)
class HandedOverCall:
    """The record of an ended call; ``status`` is a value of the wire protocol."""

    key: str
    fingerprint: str
    status: str
    output: bytes
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Handover:
    """
    All recorded calls of an incarnation that accepts no new ones.

    ``clock_s`` is the incarnation's own clock at the time of the handover and ``ttl_s``
    the maximum age of its bindings, both in seconds. A handover that is not ``final``
    is sent while calls are still running and is replaced by the final one.
    """

    endpoint: str
    incarnation: int
    clock_s: float
    ttl_s: float
    calls: tuple[HandedOverCall, ...]
    final: bool = True


@dataclass(frozen=True, slots=True)
class _StoredHandover:
    handover: Handover
    received_at: float
    calls: dict[str, HandedOverCall]


class ReceivedHandovers:
    """The records of stopped incarnations, limited by number of calls and by age."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._stored: dict[int, _StoredHandover] = {}

    def __len__(self) -> int:
        return sum(len(stored.calls) for stored in self._stored.values())

    def accept(self, now: float, handover: Handover) -> bool:
        """Store a handover; false, with nothing stored, if it exceeds the capacity."""
        self._expire(now)
        previous = self._stored.get(handover.incarnation)
        # A stopping peer passes on what it has stored, so that a preliminary handover
        # may arrive after the final one. It must not replace the final one's results.
        if previous is not None and (previous.handover.final or not handover.final):
            return True
        replaced = len(previous.calls) if previous is not None else 0
        # A handover is stored completely or not at all: calls that are missing from it
        # would be reported as never run.
        if len(self) - replaced + len(handover.calls) > self._capacity:
            return False
        calls = {call.key: call for call in handover.calls}
        self._stored[handover.incarnation] = _StoredHandover(handover, now, calls)
        return True

    def check(self, now: float, key: str, terms: CallTerms) -> CallVerdict:
        """
        Check a call that was bound to a stopped incarnation.

        ``WITHDRAWN`` means that it did not start there and that no copy of it will.
        """
        stored = self._stored.get(terms.incarnation)
        if stored is None:
            return CallVerdict.OTHER_INCARNATION
        call = stored.calls.get(key)
        if call is not None:
            same = call.fingerprint == terms.fingerprint
            return CallVerdict.KNOWN if same else CallVerdict.CONFLICT
        clock = stored.handover.clock_s + now - stored.received_at
        if clock - terms.issued_s > stored.handover.ttl_s:
            return CallVerdict.EXPIRED
        return CallVerdict.WITHDRAWN

    def call(self, incarnation: int, key: str) -> HandedOverCall:
        """Return the record of a call that is ``KNOWN``; raises ``KeyError``."""
        return self._stored[incarnation].calls[key]

    def export(self, now: float) -> list[Handover]:
        """Return the stored handovers with their clocks advanced to ``now``."""
        self._expire(now)
        return [
            replace(
                stored.handover,
                clock_s=stored.handover.clock_s + now - stored.received_at,
            )
            for stored in self._stored.values()
        ]

    def _expire(self, now: float) -> None:
        for incarnation, stored in list(self._stored.items()):
            if now - stored.received_at > stored.handover.ttl_s + KEEP_MARGIN_S:
                del self._stored[incarnation]


def rank_successors(
    incarnation: int, endpoint: str, endpoints: Iterable[Endpoint]
) -> list[Endpoint]:
    """
    Return an endpoint's pool in the order in which its members are offered the records.

    The order depends only on the incarnation that stops, so that entries can find the
    records without any location being written to the platform. ``endpoint`` itself is
    included: after a restart it can receive its records back from a peer that stops.
    """
    by_id = {listed.id: listed for listed in endpoints}
    pool = by_id[endpoint].pool if endpoint in by_id else ""
    members = [e for e in by_id.values() if e.pool == pool]
    return sorted(
        members, key=lambda e: sha256(f"{incarnation}/{e.id}".encode()).digest()
    )
