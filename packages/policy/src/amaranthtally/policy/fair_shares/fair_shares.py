"""Fair shares of the fleet's engine time and stage time under overload."""

from collections.abc import Mapping
from dataclasses import replace
from math import inf, isfinite, log
from typing import NamedTuple

from amaranthtally.policy.actions import Action, UsageFault
from amaranthtally.policy.events import Arrival
from amaranthtally.policy.fair_shares.account_shares import AccountShares
from amaranthtally.policy.fair_shares.early_retries import EarlyRetries
from amaranthtally.policy.fair_shares.fleet_division import FleetDivision
from amaranthtally.policy.fair_shares.own_usage import DECAY_S, OwnUsage
from amaranthtally.policy.fair_shares.peer_usage import REPORT_TTL_S, PeerUsage
from amaranthtally.policy.fair_shares.wait_limits import WaitLimits
from amaranthtally.policy.model import AccountLimits
from amaranthtally.policy.usage_messages import Resource, UsageReport

__all__ = ["SEND_INTERVAL_S", "FairShares", "SharesState"]

# Interval between reports to other entries, in seconds.
SEND_INTERVAL_S = 0.5
# Part of a request's work that is charged for a retry before the named time. A caller
# that sends ten such retries forgoes one request.
RETRY_CHARGE = 0.1
# Part of an account's share that charges use up at most: different requests may have
# the same content, and are then taken for retries.
MAX_CHARGED_PART = 0.25
# Longest time by which the return of a refused account is put off beyond its backlog,
# in seconds; and the longest by which returns are spread in addition.
MAX_RETURN_S = 2 * DECAY_S
MIN_SPREAD_S = 0.2
# Rank of requests of starved accounts.
MOST_URGENT = 0


class SharesState(NamedTuple):
    """What an operator sees: infinite levels without shortage, in seconds of work."""

    engines_level_s: float
    stages_level_s: float
    accounts: int
    senders: int
    is_overloaded: bool


class FairShares(AccountShares):
    """
    Divides engine time and stage time among accounts, by the work of the whole fleet.

    It is in use if the entry's setting says so. The methods without a ``Resource`` act
    on this entry's own view, which decides otherwise; time stamps are in seconds.

    Work is offered when a request arrives and admitted if the request is. The division
    takes the admitted work of this entry and of the reports of other entries as the
    capacity. An account above its share may wait for a part of the usual time only, so
    that it is refused before any other account is; as long as nothing waits, nothing is
    refused. An entry that hears nothing divides its own work.
    """

    def __init__(self) -> None:
        super().__init__()
        self._is_used = False
        self._own = OwnUsage()
        self._peers = PeerUsage()
        self._retries = EarlyRetries()
        self._wait_limits = WaitLimits()
        self._fleet = FleetDivision(self._own, self._peers)
        self._serial = 0
        self._sent_at = -inf

    @property
    def is_used(self) -> bool:
        """Whether requests are admitted by the fleet's shares."""
        return self._is_used

    @property
    def state(self) -> SharesState:
        """A snapshot for the metrics."""
        return SharesState(
            self._fleet.division(Resource.ENGINES).level,
            self._fleet.division(Resource.STAGES).level,
            len(self._own),
            len(self._peers),
            self._fleet.is_overloaded,
        )

    # Settings

    def configure(
        self,
        limits: Mapping[str, AccountLimits],
        entries: int,
        fair_shares: bool = False,
    ) -> None:
        """Change the limits; ``fair_shares`` turns the fleet's shares on."""
        super().configure(limits, entries)
        self._is_used = fair_shares
        self._fleet.configure(limits)

    def set_sampled_part(self, part: float) -> None:
        """Set which part of the other entries reports to this one, 0 to 1."""
        self._fleet.set_sampled_part(part)

    # Requests

    def offer(
        self, now: float, arrival: Arrival, resource: Resource, work_s: float
    ) -> None:
        """
        Count the work of a request that arrived.

        A request with the content of one that was told to come back later is charged
        to its account in addition.
        """
        # A division computed between this and the decision on the request would take
        # the request for one that is refused.
        self._fleet.divide_if_due(now)
        entry = self._own.entry(now, arrival.account)
        entry.offered[resource] += work_s
        if self._retries.is_early(now, arrival.account, arrival.key):
            entry.charged[resource] += RETRY_CHARGE * work_s

    def admit(
        self, now: float, arrival: Arrival, resource: Resource, work_s: float
    ) -> None:
        """Count the work of a request as admitted."""
        self._own.admit(now, arrival.account, resource, work_s)

    def withdraw(
        self, now: float, arrival: Arrival, resource: Resource, work_s: float
    ) -> None:
        """Take back offered work of a request that another resource has no room for."""
        entry = self._own.entry(now, arrival.account)
        entry.offered[resource] = max(0.0, entry.offered[resource] - work_s)

    def refused(
        self,
        now: float,
        arrival: Arrival,
        resource: Resource,
        max_wait_s: float,
        retry_after_s: float,
    ) -> None:
        """
        Note the refusal of a request that could wait for ``max_wait_s``.

        ``retry_after_s`` is the time until which it was told not to come back.
        """
        self._retries.note_refused(now, arrival.account, arrival.key, retry_after_s)
        if self._fleet.is_entitled(now, arrival.account, resource):
            self._wait_limits.note_refused(now, resource, max_wait_s)

    def allowance(
        self, now: float, account: str, resource: Resource | None = None
    ) -> float:
        """
        Return the factor, 0 to 1, by which the account's allowed wait is reduced.

        It is 1 for an account within its fair share, else the ratio of that share to
        the work admitted for it. Without a ``resource`` it is that of this entry alone.
        """
        if resource is None:
            return super().allowance(now, account)
        division = self._fleet.division(resource)
        if not division.is_short:
            return 1.0
        entry = self._own.entry(now, account)
        fair_s = self._fleet.fair_s(now, entry, resource)
        charged_s = min(entry.charged[resource], MAX_CHARGED_PART * fair_s)
        used_s = self._fleet.work(entry, resource).admitted_s + charged_s
        return 1.0 if used_s <= fair_s else fair_s / used_s

    def allowed_wait_s(
        self, now: float, account: str, resource: Resource, max_wait_s: float
    ) -> float:
        """
        Return how long a request may wait that is on time after ``max_wait_s``.

        The limit for the sake of accounts within their share applies to all that ask
        for more than theirs, whatever they got lately: among many of these there are
        always some that are just below it.
        """
        if max_wait_s <= 0.0 or not self._fleet.division(resource).is_short:
            return max_wait_s
        if self._fleet.is_entitled(now, account, resource):
            self._wait_limits.renew(now, resource, max_wait_s)
            return max_wait_s
        allowance = self.allowance(now, account, resource)
        limit_s = self._peers.wait_limit_s(resource)
        limit_s = min(limit_s, self._wait_limits.limit_s(now, resource))
        return allowance * min(max_wait_s, limit_s)

    def return_times_s(
        self, now: float, account: str, resource: Resource
    ) -> tuple[float, float]:
        """
        Return when an account is likely to be within its share, and the spread.

        The first is when its admitted work has decayed to its share. Within the second,
        what it is refused now fits into its share: callers that come back evenly in
        that time do not exceed it again.
        """
        division = self._fleet.division(resource)
        if not division.is_short:
            return 0.0, 0.0
        entry = self._own.entry(now, account)
        work = self._fleet.work(entry, resource)
        fair_s = max(1e-9, self._fleet.fair_s(now, entry, resource))
        after_s = DECAY_S * log(max(1.0, work.admitted_s / fair_s))
        spread_s = DECAY_S * max(0.0, work.offered_s - fair_s) / fair_s
        return (
            min(MAX_RETURN_S, after_s),
            min(MAX_RETURN_S, max(MIN_SPREAD_S, spread_s)),
        )

    def prioritized(self, now: float, arrival: Arrival) -> Arrival:
        """
        Return an arrival with the rank by which its pieces are served.

        Pieces are served by rank, and an account whose requests all have a low one gets
        nothing while those of others fill the pool. It is served first until it is no
        longer starved.
        """
        if not self.is_used or arrival.piece_work is None or not arrival.priority:
            return arrival
        self._fleet.divide_if_due(now)
        if not self._fleet.is_starved(arrival.account, Resource.STAGES):
            return arrival
        return replace(arrival, priority=MOST_URGENT)

    # Exchange with other entries

    def usage_to_send(self, now: float) -> UsageReport | None:
        """Return the report that is due, if this entry or another is overloaded."""
        if not self.is_used or now - self._sent_at < SEND_INTERVAL_S:
            return None
        self._fleet.divide_if_due(now)
        if not (self._fleet.is_overloaded or self._peers.is_overloaded(now)):
            return None
        self._sent_at = now
        self._serial += 1
        listed = self._own.largest()
        return UsageReport(
            incarnation=0,
            serial=self._serial,
            remaining_s=REPORT_TTL_S,
            is_overloaded=self._fleet.is_overloaded,
            wait_limits_s=(
                self._reported_limit_s(now, Resource.ENGINES),
                self._reported_limit_s(now, Resource.STAGES),
            ),
            accounts=listed,
            rest=self._own.rest(listed),
            rest_accounts=len(self._own) - len(listed),
        )

    def usage_received(
        self, now: float, sender: str, report: UsageReport
    ) -> list[Action]:
        """Take the report of another entry; returns what is to be logged of it."""
        fault = self._peers.received(now, sender, report)
        return [UsageFault(sender, fault)] if fault else []

    def refresh(self, now: float) -> None:
        """Recompute what is due, and forget idle accounts and expired reports."""
        super().refresh(now)
        if self.is_used:
            self._fleet.divide_if_due(now)

    def take_changes(self) -> list[Action]:
        """Return the changes of the division that are to be logged."""
        return self._fleet.take_changes()

    def _reported_limit_s(self, now: float, resource: Resource) -> float:
        limit_s = self._wait_limits.limit_s(now, resource)
        return limit_s if isfinite(limit_s) else 0.0
