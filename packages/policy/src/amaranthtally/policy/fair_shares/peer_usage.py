"""What other entries report of the work of client accounts."""

from collections.abc import Mapping
from math import inf, isfinite
from typing import NamedTuple

from amaranthtally.policy.usage_messages import (
    MAX_ACCOUNTS,
    NO_WORK,
    AccountUsage,
    Resource,
    UsageReport,
    Work,
)

__all__ = ["REPORT_TTL_S", "PeerUsage"]

# How long a report holds that is not renewed, in seconds: four reporting intervals.
REPORT_TTL_S = 2.0
# Bound of each figure of a report, in seconds of work: a thousand concurrent requests
# for a hundred times the time constant of the sums.
MAX_WORK_S = 5e5
# Senders whose reports are kept. Of a larger fleet, an entry hears only a part.
MAX_SENDERS = 256
# Senders of which it is remembered that an absurd figure has been logged.
MAX_LOGGED = 1024


class _Held(NamedTuple):
    report: UsageReport
    expires_at: float


class PeerUsage:
    """
    The newest report of each other entry, and their sums; time stamps in seconds.

    Nothing depends on the clock of a sender: a report says for how much longer it
    holds, and never holds longer than ``REPORT_TTL_S``.
    """

    def __init__(self) -> None:
        self._held: dict[str, _Held] = {}
        # The incarnation that a sender had before its present one. Messages that it
        # sent before its restart may arrive later than those sent after it.
        self._former: dict[str, int] = {}
        self._logged: set[str] = set()
        self._accounts: dict[int, tuple[Work, Work]] = {}
        self._rest: tuple[Work, Work] = (NO_WORK, NO_WORK)
        self._rest_accounts = 0
        self._limits_s = [inf] * len(Resource)

    def __len__(self) -> int:
        return len(self._held)

    @property
    def accounts(self) -> Mapping[int, tuple[Work, Work]]:
        """The sums by account digest."""
        return self._accounts

    @property
    def rest_accounts(self) -> int:
        """Number of accounts that a report sums up without listing them."""
        return self._rest_accounts

    def rest(self, resource: Resource) -> Work:
        """Return the sum of the work of accounts that reports do not list."""
        return self._rest[resource]

    def is_overloaded(self, now: float) -> bool:
        """Whether an entry reports that it refuses requests."""
        return any(
            held.report.is_overloaded
            for held in self._held.values()
            if held.expires_at > now
        )

    def wait_limit_s(self, resource: Resource) -> float:
        """Return the shortest reported wait limit, infinite without one."""
        return self._limits_s[resource]

    def received(self, now: float, sender: str, report: UsageReport) -> str:
        """
        Keep a report that is newer than the one held.

        Returns the fault of a report with absurd figures if the sender had none
        before, else an empty string.
        """
        held = self._held.get(sender)
        if not sender or not self._is_newer(sender, held, report):
            return ""
        bounded, fault = _bounded(report)
        if bounded.remaining_s > 0.0 and (held or len(self._held) < MAX_SENDERS):
            if held and held.report.incarnation != report.incarnation:
                self._former[sender] = held.report.incarnation
            self._held[sender] = _Held(bounded, now + bounded.remaining_s)
        if not fault or sender in self._logged or len(self._logged) >= MAX_LOGGED:
            return ""
        self._logged.add(sender)
        return fault

    def refresh(self, now: float) -> None:
        """Drop reports that have expired, and compute the sums anew."""
        for sender in [s for s, h in self._held.items() if h.expires_at <= now]:
            del self._held[sender]
            self._former.pop(sender, None)
        self._accounts = {}
        self._rest = (NO_WORK, NO_WORK)
        self._rest_accounts = 0
        self._limits_s = [inf] * len(Resource)
        for held in self._held.values():
            self._add(held.report)

    def _add(self, report: UsageReport) -> None:
        for usage in report.accounts:
            known = self._accounts.get(usage.account)
            self._accounts[usage.account] = (
                usage.work if known is None else _sum(known, usage.work)
            )
        for resource, limit_s in zip(Resource, report.wait_limits_s, strict=True):
            if limit_s > 0.0:
                self._limits_s[resource] = min(self._limits_s[resource], limit_s)
        self._rest = _sum(self._rest, report.rest)
        # Entries leave out much the same accounts: the number is not added up.
        self._rest_accounts = max(self._rest_accounts, report.rest_accounts)

    def _is_newer(self, sender: str, held: _Held | None, report: UsageReport) -> bool:
        if held is None:
            return True
        if report.incarnation == held.report.incarnation:
            return report.serial > held.report.serial
        return report.incarnation != self._former.get(sender)


def _sum(one: tuple[Work, Work], other: tuple[Work, Work]) -> tuple[Work, Work]:
    return one[0].plus(other[0]), one[1].plus(other[1])


def _bounded(report: UsageReport) -> tuple[UsageReport, str]:
    """Return a report with usable figures, and what was wrong with it, if anything."""
    faults: list[str] = []
    kept = [
        AccountUsage(usage.account, work)
        for usage in report.accounts[:MAX_ACCOUNTS]
        if (work := _bounded_works(usage.work, faults)) is not None
    ]
    if len(report.accounts) > MAX_ACCOUNTS:
        faults.append("too many accounts")
    remaining_s = report.remaining_s
    if not isfinite(remaining_s) or remaining_s < 0.0:
        faults.append("remaining time")
        remaining_s = 0.0
    limits = tuple(limit if isfinite(limit) else 0.0 for limit in report.wait_limits_s)
    bounded = report._replace(
        remaining_s=min(REPORT_TTL_S, remaining_s),
        wait_limits_s=(limits[0], limits[1]),
        accounts=tuple(kept),
        rest=_bounded_works(report.rest, faults) or (NO_WORK, NO_WORK),
    )
    return bounded, faults[0] if faults else ""


def _bounded_works(
    works: tuple[Work, Work], faults: list[str]
) -> tuple[Work, Work] | None:
    """Return work with each figure bounded, ``None`` if one is not usable at all."""
    figures = [figure for work in works for figure in work]
    if not all(isfinite(figure) and figure >= 0.0 for figure in figures):
        faults.append("negative or not finite")
        return None
    if max(figures) > MAX_WORK_S:
        faults.append("too large")
    engines, stages = (_bounded_work(work) for work in works)
    return engines, stages


def _bounded_work(work: Work) -> Work:
    offered_s = min(work.offered_s, MAX_WORK_S)
    return Work(offered_s, min(work.admitted_s, offered_s))
