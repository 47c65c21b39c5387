"""
Decisions on calls that may not be repeated.

A call is named by its key and bound to one incarnation of one sidecar. That
incarnation's ``CallLedger`` is the only authority on what became of it.
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

# Kept beyond ``ttl``, in seconds: an entry works out a binding's age from its own
# clock, which may run faster than the sidecar's by a few parts in ten thousand.
KEEP_MARGIN_S = 60.0


@dataclass(frozen=True, slots=True)
class Binding:
    """
    Where alone a stage may run.

    ``issued_s`` is the time of binding on that incarnation's own clock, in
    seconds: hosts' clocks are never compared.
    """

    stage: str
    endpoint: str
    incarnation: int
    issued_s: float


class CallTerms(Protocol):
    """
    Under which terms a call may start; the inner protocol's message has them.

    ``permit`` is the number of times that the call had been withdrawn when its
    request came in; ``fingerprint`` stands for the caller's input.
    """

    @property
    def incarnation(self) -> int:
        """The one incarnation that may run the call."""

    @property
    def issued_s(self) -> float:
        """When the call was bound, on that incarnation's clock, in seconds."""

    @property
    def permit(self) -> int:
        """Withdrawals that the sender knew of."""

    @property
    def fingerprint(self) -> str:
        """Digest of the caller's input."""


class CallVerdict(Enum):
    """What a ledger says of a call."""

    FRESH = "fresh"
    KNOWN = "known"
    CONFLICT = "conflict"
    OTHER_INCARNATION = "foreign"
    EXPIRED = "expired"
    WITHDRAWN = "withdrawn"
    FULL = "full"


class CallState(Enum):
    """How far a recorded call has come."""

    QUEUED = "queued"
    STARTED = "started"
    ENDED = "ended"


@dataclass(slots=True)
class _Call:
    fingerprint: str
    received: float
    state: CallState = CallState.QUEUED


@dataclass(slots=True)
class _Seal:
    permit: int
    sealed: float


class CallLedger:
    """
    One incarnation's calls, bounded by number and by age in seconds.

    A call is forgotten only once every binding under which it could be sent
    again is older than ``ttl``, and such bindings are refused: a binding is
    issued before the call it names is received, both by the same clock.
    """

    def __init__(self, incarnation: int, capacity: int, ttl: float) -> None:
        self._incarnation = incarnation
        self._capacity = capacity
        self._ttl = ttl
        self._calls: OrderedDict[str, _Call] = OrderedDict()
        self._seals: OrderedDict[str, _Seal] = OrderedDict()

    def __len__(self) -> int:
        return len(self._calls)

    def state(self, key: str) -> CallState | None:
        """Return how far a call has come; ``None`` where none is on record."""
        call = self._calls.get(key)
        return None if call is None else call.state

    @property
    def incarnation(self) -> int:
        """The incarnation whose calls these are."""
        return self._incarnation

    @property
    def ttl_s(self) -> float:
        """How old a binding may be, in seconds."""
        return self._ttl

    def fingerprint(self, key: str) -> str:
        """Return a recorded call's digest of its input; raises ``KeyError``."""
        return self._calls[key].fingerprint

    def permit(self, key: str) -> int:
        """Return the permit under which a call may start now."""
        seal = self._seals.get(key)
        return 0 if seal is None else seal.permit

    # Questions

    def check(self, now: float, key: str, terms: CallTerms) -> CallVerdict:
        """Say whether a call is known, may start, or never will."""
        if terms.incarnation != self._incarnation:
            return CallVerdict.OTHER_INCARNATION
        call = self._calls.get(key)
        if call is not None:
            same = call.fingerprint == terms.fingerprint
            return CallVerdict.KNOWN if same else CallVerdict.CONFLICT
        # Its record may have been dropped: a repeat that comes after that would
        # run again, and the ages of binding and record are by the same clock.
        if now - terms.issued_s > self._ttl:
            return CallVerdict.EXPIRED
        if terms.permit < self.permit(key):
            return CallVerdict.WITHDRAWN
        return CallVerdict.FRESH

    # Changes

    def open(self, now: float, key: str, terms: CallTerms) -> CallVerdict:
        """Judge a call and record it where it may start."""
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
        Refuse, from now on, every copy that was sent under an older permit.

        ``WITHDRAWN`` proves that no call under the key has started. Where a call
        is queued, the owner takes it out of the queue and calls ``discard``
        first.
        """
        verdict = self.check(now, key, terms)
        if verdict is not CallVerdict.FRESH:
            return verdict
        self._expire(now)
        # Without its seal a late copy would run after "not run" was answered.
        if key not in self._seals and len(self._seals) >= self._capacity:
            return CallVerdict.FULL
        self._seals[key] = _Seal(self.permit(key) + 1, now)
        self._seals.move_to_end(key)
        return CallVerdict.WITHDRAWN

    def started(self, key: str) -> None:
        """Note that a recorded call goes to the endpoint."""
        self._calls[key].state = CallState.STARTED

    def ended(self, key: str) -> None:
        """Note that a recorded call has its result, known or not."""
        self._calls[key].state = CallState.ENDED

    def discard(self, key: str) -> None:
        """Forget a call that never reached the endpoint."""
        self._calls.pop(key, None)

    def _expire(self, now: float) -> None:
        oldest = now - self._ttl - KEEP_MARGIN_S
        old_calls = takewhile(lambda kv: kv[1].received < oldest, self._calls.items())
        ended = [key for key, call in old_calls if call.state is CallState.ENDED]
        for key in ended:
            del self._calls[key]
        old_seals = takewhile(lambda kv: kv[1].sealed < oldest, self._seals.items())
        for key in [key for key, _ in old_seals]:
            del self._seals[key]


# Choice of an endpoint


def rank_binding_candidates(
    pool: str,
    region: str,
    endpoints: Iterable[Endpoint],
    loads: dict[str, LoadReport],
    turn: int,
) -> list[Endpoint]:
    """
    Return a pool's endpoints that may be bound to, best first.

    Near ones first, then the least loaded; ``turn`` spreads equal ones.
    """
    able = [
        endpoint
        for endpoint in sorted(endpoints, key=lambda e: e.id)
        if endpoint.pool == pool
        and endpoint.takes_calls
        and not (endpoint.id in loads and loads[endpoint.id].leaving)
    ]
    if not able:
        return []
    first = turn % len(able)
    rotated = able[first:] + able[:first]

    def cost(endpoint: Endpoint) -> tuple[bool, float]:
        load = loads.get(endpoint.id)
        return endpoint.region != region, load.backlog_s if load else 0.0

    return sorted(rotated, key=cost)
