"""
Decisions on calls that must run at most once.

Such a call is identified by its key and bound to one incarnation of one sidecar. The
``CallLedger`` of that incarnation is the only authority on whether the call has run.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from itertools import takewhile
from typing import Protocol

from amaranthtally.policy.events import LoadReport
from amaranthtally.policy.model import Endpoint

__all__ = [
    "Binding",
    "CallLedger",
    "CallState",
    "CallTerms",
    "CallVerdict",
    "rank_binding_candidates",
]

# Records are kept this many seconds longer than ``ttl``: an entry derives a binding's
# age from its own clock, which may run faster than the sidecar's by a few parts in ten
# thousand.
KEEP_MARGIN_S = 60.0


@dataclass(frozen=True, slots=True)
class Binding:
    """
    The one incarnation of an endpoint that may run a stage.

    ``issued_s`` is the time of binding on that incarnation's own clock, in seconds;
    clocks of different hosts are never compared.
    """

    stage: str
    endpoint: str
    incarnation: int
    issued_s: float


class CallTerms(Protocol):
    """
    The conditions under which a call may start, as sent by the entry.

    A call may start only if its ``permit`` is not lower than the number of times that
    the call has been withdrawn.
    """

    @property
    def incarnation(self) -> int:
        """The incarnation that the call is bound to."""

    @property
    def issued_s(self) -> float:
        """The time of binding on that incarnation's clock, in seconds."""

    @property
    def permit(self) -> int:
        """The number of withdrawals that the sender knew of."""

    @property
    def fingerprint(self) -> str:
        """The digest of the caller's input."""


class CallVerdict(Enum):
    """
    The result of checking a call against a ledger.

    ``FRESH`` calls may start, and ``KNOWN`` ones are on record. In a ``CONFLICT`` the
    recorded call has another input. ``EXPIRED`` bindings are too old to be accepted.
    ``WITHDRAWN`` calls will never start; with ``FULL`` there is no space for a record.
    """

    FRESH = "fresh"
    KNOWN = "known"
    CONFLICT = "conflict"
    OTHER_INCARNATION = "foreign"
    EXPIRED = "expired"
    WITHDRAWN = "withdrawn"
    FULL = "full"


class CallState(Enum):
    """The progress of a recorded call."""

    QUEUED = "queued"
    STARTED = "started"
    ENDED = "ended"


@dataclass(slots=True)
class _Call:
    fingerprint: str
    received: float
    state: CallState = CallState.QUEUED


@dataclass(slots=True)
class _Withdrawal:
    permit: int
    withdrawn: float


class CallLedger:
    """
    The calls of one incarnation, limited in number and by age in seconds.

    Deleting a record is safe once it is older than ``ttl``: a call is received after
    its binding was issued, by the same clock, so that every binding under which it
    could be sent again is older still and is refused as expired.
    """

    def __init__(self, incarnation: int, capacity: int, ttl: float) -> None:
        self._incarnation = incarnation
        self._capacity = capacity
        self._ttl = ttl
        self._calls: OrderedDict[str, _Call] = OrderedDict()
        self._withdrawals: OrderedDict[str, _Withdrawal] = OrderedDict()

    def __len__(self) -> int:
        return len(self._calls)

    def state(self, key: str) -> CallState | None:
        """Return the state of a recorded call, else ``None``."""
        call = self._calls.get(key)
        return None if call is None else call.state

    @property
    def incarnation(self) -> int:
        """The incarnation that the ledger belongs to."""
        return self._incarnation

    @property
    def ttl_s(self) -> float:
        """Maximum age of a binding, in seconds."""
        return self._ttl

    def fingerprint(self, key: str) -> str:
        """Return the input digest of a recorded call; raises ``KeyError``."""
        return self._calls[key].fingerprint

    def permit(self, key: str) -> int:
        """Return the lowest permit under which a call may start now."""
        withdrawal = self._withdrawals.get(key)
        return 0 if withdrawal is None else withdrawal.permit

    # Queries

    def check(self, now: float, key: str, terms: CallTerms) -> CallVerdict:
        """Return whether a call is on record, may start, or will never start."""
        if terms.incarnation != self._incarnation:
            return CallVerdict.OTHER_INCARNATION
        call = self._calls.get(key)
        if call is not None:
            same = call.fingerprint == terms.fingerprint
            return CallVerdict.KNOWN if same else CallVerdict.CONFLICT
        # The call's record may have been deleted by now, so that a repeat would run a
        # second time. Binding and record are dated by the same clock.
        if now - terms.issued_s > self._ttl:
            return CallVerdict.EXPIRED
        if terms.permit < self.permit(key):
            return CallVerdict.WITHDRAWN
        return CallVerdict.FRESH

    # Changes

    def open(self, now: float, key: str, terms: CallTerms) -> CallVerdict:
        """Check a call, and record it if it may start."""
        verdict = self.check(now, key, terms)
        if verdict is not CallVerdict.FRESH:
            return verdict
        self._expire(now)
        if len(self._calls) >= self._capacity:
            return CallVerdict.FULL
        self._calls[key] = _Call(terms.fingerprint, now)
        return CallVerdict.FRESH

    def withdraw(self, now: float, key: str, terms: CallTerms) -> CallVerdict:
        """
        Refuse all copies of a call that were sent under the current permit or below.

        ``WITHDRAWN`` proves that no call under the key has started. A queued call must
        first be removed from the queue and with ``discard``.
        """
        verdict = self.check(now, key, terms)
        if verdict is not CallVerdict.FRESH:
            return verdict
        self._expire(now)
        # Without a record of the withdrawal, a copy that arrives late would run after
        # the caller was answered that the call did not run.
        if key not in self._withdrawals and len(self._withdrawals) >= self._capacity:
            return CallVerdict.FULL
        self._withdrawals[key] = _Withdrawal(self.permit(key) + 1, now)
        self._withdrawals.move_to_end(key)
        return CallVerdict.WITHDRAWN

    def started(self, key: str) -> None:
        """Record that a call has been sent to the endpoint."""
        self._calls[key].state = CallState.STARTED

    def ended(self, key: str) -> None:
        """Record that a call has ended, whether or not its result is known."""
        self._calls[key].state = CallState.ENDED

    def discard(self, key: str) -> None:
        """Delete the record of a call that was never sent to the endpoint."""
        self._calls.pop(key, None)

    def _expire(self, now: float) -> None:
        oldest = now - self._ttl - KEEP_MARGIN_S
        old_calls = takewhile(lambda kv: kv[1].received < oldest, self._calls.items())
        ended = [key for key, call in old_calls if call.state is CallState.ENDED]
        for key in ended:
            del self._calls[key]
        old_withdrawals = takewhile(
            lambda kv: kv[1].withdrawn < oldest, self._withdrawals.items()
        )
        for key in [key for key, _ in old_withdrawals]:
            del self._withdrawals[key]


# Binding


def rank_binding_candidates(
    pool: str,
    region: str,
    endpoints: Iterable[Endpoint],
    loads: dict[str, LoadReport],
    turn: int,
) -> list[Endpoint]:
    """
    Return a pool's endpoints that calls may be bound to, best first.

    Endpoints in ``region`` come first, then those with the least backlog. ``turn``
    rotates the order of equal ones, to spread the calls over them. Those that reported
    that they leave come last: one that has restarted since is known only by the next
    answer, and may be the only one that runs.
    """
    usable = [
        endpoint
        for endpoint in sorted(endpoints, key=lambda e: e.id)
        if endpoint.pool == pool and endpoint.takes_calls
    ]
    if not usable:
        return []
    first = turn % len(usable)
    rotated = usable[first:] + usable[:first]

    def cost(endpoint: Endpoint) -> tuple[bool, bool, float]:
        load = loads.get(endpoint.id)
        if load is None:
            return False, endpoint.region != region, 0.0
        return load.leaving, endpoint.region != region, load.backlog_s

    return sorted(rotated, key=cost)
