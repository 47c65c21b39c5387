"""Rate limits of client accounts, and their fair shares of one entry's capacity."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp, inf

from amaranthtally.policy.budgets import RateLimit
from amaranthtally.policy.fair_shares.division import OVERLOAD_RATIO, fair_level
from amaranthtally.policy.fair_shares.own_usage import DECAY_S
from amaranthtally.policy.model import AccountLimits

__all__ = ["AccountShares"]

# Interval between computations of the fair level, in seconds.
REFRESH_S = 0.5
# Offered work in seconds below which an account without a rate limit is forgotten.
IDLE_WORK_S = 1e-3
NO_LIMITS = AccountLimits()


@dataclass(slots=True)
class _AccountUsage:
    updated_at: float
    offered: float = 0.0
    admitted: float = 0.0
    limit: RateLimit | None = None

    def decay(self, now: float) -> None:
        factor = exp(-max(0.0, now - self.updated_at) / DECAY_S)
        self.offered *= factor
        self.admitted *= factor
        self.updated_at = max(self.updated_at, now)


class AccountShares:
    """
    Enforces the accounts' rate limits, and their fair shares by this entry's own view.

    The work offered and the work admitted are tracked by account. Both decay
    exponentially with the time constant ``DECAY_S``. Under overload the capacity, taken
    to be the admitted work, is divided by weighted max-min fairness: an account that
    offers less than its share has all of it admitted, and the rest is divided among the
    others by weight. The level of this division is computed only twice a second, so
    that the cost of a decision does not grow with the number of accounts.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _AccountUsage] = {}
        self._limits: Mapping[str, AccountLimits] = {}
        self._entries = 1
        self._level = inf
        self._refreshed_at = -inf

    def __len__(self) -> int:
        return len(self._accounts)

    @property
    def level(self) -> float:
        """Fair work in seconds per unit of share; infinite without overload."""
        return self._level

    def configure(self, limits: Mapping[str, AccountLimits], entries: int) -> None:
        """Change the limits; each of ``entries`` enforces an equal part of a rate."""
        self._limits = limits
        self._entries = max(1, entries)
        for name, account in self._accounts.items():
            account.limit = self._limit_of(account.updated_at, name, account.limit)

    def rate_wait_s(self, now: float, account: str) -> float:
        """Return the seconds until the account's rate limit allows a request."""
        limit = self._usage(now, account).limit
        return 0.0 if limit is None else limit.wait_s(now)

    def allowance(self, now: float, account: str) -> float:
        """
        Return the factor, 0 to 1, by which the account's allowed wait is reduced.

        It is 1 for an account within its fair share, else the ratio of that share to
        the work admitted for it.
        """
        if self._level == inf:
            return 1.0
        usage = self._usage(now, account)
        usage.decay(now)
        fair = self._level * self._share(account)
        return 1.0 if usage.admitted <= fair else fair / usage.admitted

    def add_offered(self, now: float, account: str, work_s: float) -> None:
        """Count the work of a request that arrived, in seconds."""
        usage = self._usage(now, account)
        usage.decay(now)
        usage.offered += work_s

    def add_admitted(self, account: str, work_s: float) -> None:
        """Count the last offered request as admitted, and take a rate-limit token."""
        usage = self._accounts[account]
        usage.admitted += work_s
        if usage.limit is not None:
            usage.limit.take()

    def refresh(self, now: float) -> None:
        """Recompute the fair level if it is due, and forget idle accounts."""
        if now - self._refreshed_at < REFRESH_S:
            return
        self._refreshed_at = now
        for name in list(self._accounts):
            account = self._accounts[name]
            account.decay(now)
            if account.offered < IDLE_WORK_S and account.limit is None:
                del self._accounts[name]
        offered = sum(a.offered for a in self._accounts.values())
        admitted = sum(a.admitted for a in self._accounts.values())
        overloaded = offered > OVERLOAD_RATIO * admitted
        self._level = self._fair_level(admitted) if overloaded else inf

    def _fair_level(self, capacity: float) -> float:
        return fair_level(
            (
                (account.offered / self._share(name), self._share(name))
                for name, account in self._accounts.items()
            ),
            capacity,
        )

    def _usage(self, now: float, name: str) -> _AccountUsage:
        usage = self._accounts.get(name)
        if usage is None:
            limit = self._limit_of(now, name, None)
            usage = self._accounts[name] = _AccountUsage(now, limit=limit)
        return usage

    def _limit_of(
        self, now: float, name: str, current: RateLimit | None
    ) -> RateLimit | None:
        limits = self._limits.get(name, NO_LIMITS)
        if limits.rate <= 0:
            return None
        rate = limits.rate / self._entries
        burst = limits.burst / self._entries
        if current is None:
            return RateLimit(now, rate, burst)
        current.configure(rate, burst)
        return current

    def _share(self, name: str) -> float:
        return max(1e-6, self._limits.get(name, NO_LIMITS).share)
