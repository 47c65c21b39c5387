"""The division of engine time and stage time by the work of all entries."""

from collections.abc import Mapping
from math import inf, isfinite

from amaranthtally.policy.actions import Action, FairSharesChanged
from amaranthtally.policy.fair_shares.division import (
    NO_SHORTAGE,
    Division,
    divide,
    is_overloaded,
    is_starved,
)
from amaranthtally.policy.fair_shares.own_usage import OwnUsage, UsageEntry
from amaranthtally.policy.fair_shares.peer_usage import PeerUsage
from amaranthtally.policy.model import AccountLimits
from amaranthtally.policy.usage_messages import (
    NO_WORK,
    Resource,
    Work,
    account_digest,
)

__all__ = ["FleetDivision"]

# Interval between computations of the division, in seconds. With that of the reports it
# stays below the second within which lent share is returned.
DIVIDE_INTERVAL_S = 0.2
# Bounds of a share: the least one counts for shares of 0 and below.
MIN_SHARE = 1e-6
MAX_SHARE = 1e6
# Accounts that reports sum up and that are divided among, at most.
MAX_REST = 1024
NO_LIMITS = AccountLimits()


class FleetDivision:
    """
    Divides each resource by the work of this entry and of the reports of others.

    Where the fleet has enough, but this entry does not, its own work is divided. Time
    stamps are in seconds.
    """

    def __init__(self, own: OwnUsage, peers: PeerUsage) -> None:
        self._own = own
        self._peers = peers
        self._shares: dict[int, float] = {}
        self._divisions = [NO_SHORTAGE] * len(Resource)
        self._own_divisions = [NO_SHORTAGE] * len(Resource)
        self._divided_at = -inf
        # Admitted work of the peers, as it was when the division was computed.
        self._peers_admitted_s = [0.0] * len(Resource)
        self._scale = 1.0
        self._changes: list[Action] = []

    def configure(self, limits: Mapping[str, AccountLimits]) -> None:
        """Set the accounts' shares."""
        self._shares = {
            account_digest(name): _bounded_share(limit.share)
            for name, limit in limits.items()
        }

    def set_sampled_part(self, part: float) -> None:
        """Set which part of the other entries reports to this one, 0 to 1."""
        self._scale = 1.0 / part if 0.0 < part < 1.0 else 1.0

    def take_changes(self) -> list[Action]:
        """Return the changes of the division that are to be logged."""
        changes, self._changes = self._changes, []
        return changes

    @property
    def is_overloaded(self) -> bool:
        """Whether this entry refuses requests for lack of a resource."""
        return any(division.is_short for division in self._own_divisions)

    def division(self, resource: Resource) -> Division:
        """Return the division of a resource in force."""
        return self._divisions[resource]

    def divide_if_due(self, now: float) -> None:
        """Compute the divisions anew, and drop what has expired, if that is due."""
        if now - self._divided_at < DIVIDE_INTERVAL_S:
            return
        self._divided_at = now
        self._own.refresh(now)
        self._peers.refresh(now)
        for resource in Resource:
            before = self._divisions[resource]
            own = self._divide_own(resource)
            fleet = self._divide_fleet(resource) if len(self._peers) else own
            self._own_divisions[resource] = own
            self._divisions[resource] = fleet if fleet.is_short else own
            self._note_change(resource, before, self._divisions[resource])

    def _divide_own(self, resource: Resource) -> Division:
        accounts = [
            (entry.work(resource), self._share_of(entry.digest))
            for _, entry in self._own
        ]
        return divide(accounts, is_local=True)

    def _divide_fleet(self, resource: Resource) -> Division:
        works = {
            digest: _scaled(work[resource], self._scale)
            for digest, work in self._peers.accounts.items()
        }
        for _, entry in self._own:
            peers = works.get(entry.digest, NO_WORK)
            works[entry.digest] = entry.work(resource).plus(peers)
        accounts = [(work, self._share_of(digest)) for digest, work in works.items()]
        count = min(self._peers.rest_accounts, MAX_REST)
        if count:
            # The accounts that reports only sum up are taken for equal ones.
            rest = _scaled(self._peers.rest(resource), self._scale / count)
            accounts += [(rest, NO_LIMITS.share)] * count
        own_s = self._own.admitted_s(self._divided_at, resource)
        total_s = sum(work.admitted_s for work, _ in accounts)
        self._peers_admitted_s[resource] = max(0.0, total_s - own_s)
        return divide(accounts, is_local=False)

    def _note_change(
        self, resource: Resource, before: Division, after: Division
    ) -> None:
        if before.is_short == after.is_short:
            return
        self._changes.append(
            FairSharesChanged(
                resource,
                after.is_short,
                after.level,
                self._above(resource),
                len(self._peers),
            )
        )

    def _above(self, resource: Resource) -> int:
        """Return how many accounts of this entry are above their share."""
        return sum(
            self.work(entry, resource).admitted_s
            > self._divisions[resource].level * self._share_of(entry.digest)
            for _, entry in self._own
        )

    # Accounts

    def is_starved(self, account: str, resource: Resource) -> bool:
        """Whether an account is refused requests and gets far less than the mean."""
        division = self._divisions[resource]
        entry = self._own.find(account)
        if not division.is_short or entry is None:
            return False
        return is_overloaded(entry.work(resource)) and is_starved(
            self.work(entry, resource),
            self._share_of(entry.digest),
            division.mean,
        )

    def is_entitled(self, now: float, account: str, resource: Resource) -> bool:
        """Whether an account should be refused nothing, as all it asks is its share."""
        division = self._divisions[resource]
        entry = self._own.find(account)
        if not division.is_short or entry is None:
            return False
        work = self.work(entry, resource)
        if work.offered_s <= self.fair_s(now, entry, resource):
            return True
        return is_starved(work, self._share_of(entry.digest), division.mean)

    def fair_s(self, now: float, entry: UsageEntry, resource: Resource) -> float:
        """
        Return the fair work of an account now.

        Since the division was computed, all sums have grown or decayed. Compared with
        its level alone, every account would be above its share while load rises.
        """
        division = self._divisions[resource]
        admitted_s = self._own.admitted_s(now, resource)
        if not division.is_local:
            admitted_s += self._peers_admitted_s[resource]
        growth = admitted_s / division.capacity_s
        return division.level * growth * self._share_of(entry.digest)

    def work(self, entry: UsageEntry, resource: Resource) -> Work:
        """Return the work of an account that the division refers to."""
        own = entry.work(resource)
        peers = self._peers.accounts.get(entry.digest)
        if self._divisions[resource].is_local or peers is None:
            return own
        return own.plus(_scaled(peers[resource], self._scale))

    def _share_of(self, digest: int) -> float:
        return self._shares.get(digest, NO_LIMITS.share)


def _bounded_share(share: float) -> float:
    return min(MAX_SHARE, max(MIN_SHARE, share)) if isfinite(share) else MIN_SHARE


def _scaled(work: Work, factor: float) -> Work:
    return Work(work.offered_s * factor, work.admitted_s * factor)
