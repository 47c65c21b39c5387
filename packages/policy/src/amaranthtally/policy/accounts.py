"""Limits of client accounts, and fair shares of what is left under overload."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import exp, inf

from amaranthtally.policy.budgets import RateLimit
from amaranthtally.policy.model import AccountLimits

__all__ = ["AccountShares"]

MEMORY_S = 5.0
REFRESH_S = 0.5
OVERLOAD = 1.05
IDLE_WORK_S = 1e-3
NO_LIMITS = AccountLimits()


@dataclass(slots=True)
class _Account:
    at: float
    offered: float = 0.0
    admitted: float = 0.0
    limit: RateLimit | None = None

    def fade(self, now: float) -> None:
        factor = exp(-max(0.0, now - self.at) / MEMORY_S)
        self.offered *= factor
        self.admitted *= factor
        self.at = max(self.at, now)


class AccountShares:
    """
    Work offered and admitted by account, fading over ``MEMORY_S`` seconds.

    Under overload the admitted work is divided by maximum and minimum: an
    account that asks for less than its share gets all of it, and what it leaves
    goes to the others by weight. The level is worked out twice a second, so that
    a decision does not grow with the number of accounts.
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._limits: Mapping[str, AccountLimits] = {}
        self._entries = 1
        self._level = inf
        self._refreshed_at = -inf

    def __len__(self) -> int:
        return len(self._accounts)

    @property
    def level(self) -> float:
        """Seconds of work held for each unit of share; infinite when none lacks."""
        return self._level

    def configure(self, limits: Mapping[str, AccountLimits], entries: int) -> None:
        """Use other limits; each entry enforces its part of a rate."""
        self._limits = limits
        self._entries = max(1, entries)
        for name, account in self._accounts.items():
            account.limit = self._limit_of(account.at, name, account.limit)

    def rate_wait_s(self, now: float, account: str) -> float:
        """Return the seconds until the account's rate allows a request."""
        limit = self._of(now, account).limit
        return 0.0 if limit is None else limit.wait_s(now)

    def allowance(self, now: float, account: str) -> float:
        """Return the part of the allowed wait that an account may use, 0 to 1."""
        if self._level == inf:
            return 1.0
        found = self._of(now, account)
        found.fade(now)
        fair = self._level * self._share(account)
        return 1.0 if found.admitted <= fair else fair / found.admitted

    def offered(self, now: float, account: str, work_s: float) -> None:
        """Note a request and the work it asks for, in seconds."""
        found = self._of(now, account)
        found.fade(now)
        found.offered += work_s

    def admitted(self, account: str, work_s: float) -> None:
        """Note that the request offered last is admitted; takes a rate token."""
        found = self._accounts[account]
        found.admitted += work_s
        if found.limit is not None:
            found.limit.take()

    def refresh(self, now: float) -> None:
        """Work the level out again when it is due; forget idle accounts."""
        if now - self._refreshed_at < REFRESH_S:
            return
        self._refreshed_at = now
        for name in list(self._accounts):
            account = self._accounts[name]
            account.fade(now)
            if account.offered < IDLE_WORK_S and account.limit is None:
                del self._accounts[name]
        offered = sum(a.offered for a in self._accounts.values())
        admitted = sum(a.admitted for a in self._accounts.values())
        overloaded = offered > OVERLOAD * admitted
        self._level = self._divide(admitted) if overloaded else inf

    def _divide(self, capacity: float) -> float:
        asking = sorted(
            (account.offered / self._share(name), self._share(name))
            for name, account in self._accounts.items()
        )
        weight = sum(share for _, share in asking)
        for demand, share in asking:
            if demand * weight >= capacity:
                return capacity / weight
            capacity -= demand * share
            weight -= share
        return inf

    def _of(self, now: float, name: str) -> _Account:
        found = self._accounts.get(name)
        if found is None:
            limit = self._limit_of(now, name, None)
            found = self._accounts[name] = _Account(now, limit=limit)
        return found

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
