"""Work that client accounts offer to this entry, and what it admits of it."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import nlargest
from math import exp

from amaranthtally.policy.usage_messages import (
    MAX_ACCOUNTS,
    NO_WORK,
    AccountUsage,
    Resource,
    Work,
    account_digest,
)

__all__ = ["OwnUsage", "UsageEntry"]

# Time constant of the exponential decay of offered and admitted work, in seconds.
DECAY_S = 5.0
# Work in seconds below which an account is forgotten.
IDLE_WORK_S = 1e-3


def _zeros() -> list[float]:
    return [0.0] * len(Resource)


@dataclass(slots=True)
class UsageEntry:
    """
    The work of one account by ``Resource``, in seconds, as decaying sums.

    ``charged`` is what is charged for retries before the time that a refusal named.
    """

    digest: int
    updated_at: float
    offered: list[float] = field(default_factory=_zeros)
    admitted: list[float] = field(default_factory=_zeros)
    charged: list[float] = field(default_factory=_zeros)

    @property
    def total_s(self) -> float:
        """Offered work of all resources."""
        return sum(self.offered)

    def decay(self, now: float) -> None:
        """Decay the work to a time stamp; an earlier one changes nothing."""
        if now <= self.updated_at:
            return
        factor = exp((self.updated_at - now) / DECAY_S)
        for work in (self.offered, self.admitted, self.charged):
            for index, value in enumerate(work):
                work[index] = value * factor
        self.updated_at = now

    def work(self, resource: Resource) -> Work:
        """Return the work of one resource; no more is admitted than offered."""
        offered, admitted = self.offered[resource], self.admitted[resource]
        return Work(max(offered, admitted), admitted)


class OwnUsage:
    """The work of all accounts at this entry; time stamps in seconds."""

    def __init__(self) -> None:
        self._entries: dict[str, UsageEntry] = {}
        self._admitted = UsageEntry(0, 0.0)

    def __len__(self) -> int:
        return len(self._entries)

    def __iter__(self) -> Iterator[tuple[str, UsageEntry]]:
        return iter(self._entries.items())

    def find(self, account: str) -> UsageEntry | None:
        """Return the work of an account as last updated."""
        return self._entries.get(account)

    def entry(self, now: float, account: str) -> UsageEntry:
        """Return the work of an account, decayed to ``now``."""
        entry = self._entries.get(account)
        if entry is None:
            entry = UsageEntry(account_digest(account), now)
            self._entries[account] = entry
        entry.decay(now)
        return entry

    def admit(
        self, now: float, account: str, resource: Resource, work_s: float
    ) -> None:
        """Count work as admitted."""
        self.entry(now, account).admitted[resource] += work_s
        self._admitted.decay(now)
        self._admitted.admitted[resource] += work_s

    def admitted_s(self, now: float, resource: Resource) -> float:
        """Return the admitted work of all accounts at ``now``."""
        self._admitted.decay(now)
        return self._admitted.admitted[resource]

    def refresh(self, now: float) -> None:
        """Decay all work, and forget accounts that are idle."""
        for name in list(self._entries):
            entry = self._entries[name]
            entry.decay(now)
            if entry.total_s < IDLE_WORK_S:
                del self._entries[name]

    def total(self, resource: Resource) -> Work:
        """Return the work of all accounts as last updated."""
        works = [entry.work(resource) for entry in self._entries.values()]
        return Work(sum(w.offered_s for w in works), sum(w.admitted_s for w in works))

    def largest(self) -> tuple[AccountUsage, ...]:
        """Return the work of the largest accounts as last updated."""
        listed = nlargest(MAX_ACCOUNTS, self._entries.values(), key=_total_of)
        return tuple(
            AccountUsage(
                entry.digest,
                (entry.work(Resource.ENGINES), entry.work(Resource.STAGES)),
            )
            for entry in listed
        )

    def rest(self, listed: tuple[AccountUsage, ...]) -> tuple[Work, Work]:
        """Return the work of the accounts that are not listed."""
        return (
            self._rest_of(Resource.ENGINES, listed),
            self._rest_of(Resource.STAGES, listed),
        )

    def _rest_of(self, resource: Resource, listed: tuple[AccountUsage, ...]) -> Work:
        if len(listed) == len(self._entries):
            return NO_WORK
        total = self.total(resource)
        offered_s = total.offered_s - sum(u.work[resource].offered_s for u in listed)
        admitted_s = total.admitted_s - sum(u.work[resource].admitted_s for u in listed)
        return Work(max(0.0, offered_s), max(0.0, admitted_s))


def _total_of(entry: UsageEntry) -> float:
    return entry.total_s
