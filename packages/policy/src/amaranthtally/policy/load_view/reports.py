"""The newest load report of each endpoint, whichever entry heard it."""

from math import log
from typing import NamedTuple

from amaranthtally.policy.load_messages import SharedReport
from amaranthtally.policy.load_view.half_life import HalfLife

__all__ = ["KnownReport", "PoolHalfLives", "Reports"]

# Bounds of a reported slowness, and the age in seconds beyond which one is not used.
MIN_SLOWNESS = 0.05
MAX_SLOWNESS = 50.0
MAX_AGE_S = 10.0


class KnownReport(NamedTuple):
    """A report, and the time stamp at which the endpoint's response arrived."""

    slowness: float
    calls: int
    heard_at: float

    def share(self, now: float) -> SharedReport:
        """Return the report as it is sent to another entry."""
        return SharedReport(self.slowness, self.calls, max(0.0, now - self.heard_at))


class PoolHalfLives:
    """How fast the slowness of a pool's endpoints and the calls there change."""

    __slots__ = ("calls", "slowness")

    def __init__(self) -> None:
        self.calls = HalfLife()
        self.slowness = HalfLife()


class Reports:
    """The newest reports by the endpoints' keys; time stamps are in seconds."""

    def __init__(self) -> None:
        self._reports: dict[int, KnownReport] = {}

    def find(self, key: int) -> KnownReport | None:
        """Return the newest report of an endpoint, or ``None``."""
        return self._reports.get(key)

    def take(
        self, key: int, report: KnownReport, half_lives: PoolHalfLives | None
    ) -> bool:
        """Take a report; return whether it is newer than the one that is known."""
        known = self._reports.get(key)
        lag_s = report.heard_at - known.heard_at if known is not None else 1.0
        if lag_s <= 0.0:
            return False
        slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, report.slowness))
        report = report._replace(slowness=slowness)
        if known is not None and half_lives is not None:
            half_lives.slowness.add(lag_s, log(slowness / known.slowness))
            half_lives.calls.add(lag_s, float(report.calls - known.calls))
        self._reports[key] = report
        return True

    def received(self, now: float, shared: SharedReport) -> KnownReport | None:
        """Return a report that another entry sent, ``None`` if it is of no use."""
        if not 0.0 <= shared.age_s <= MAX_AGE_S or not shared.slowness > 0.0:
            return None
        return KnownReport(shared.slowness, shared.calls, now - shared.age_s)

    def forget(self, keys: list[int]) -> None:
        """Remove the reports of endpoints that are no longer registered."""
        for key in keys:
            self._reports.pop(key, None)
