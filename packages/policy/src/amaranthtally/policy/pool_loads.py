"""Sums over a pool's endpoints, and the weight given to their load reports."""

from typing import Protocol

from amaranthtally.policy.regression import DecayingRegression

__all__ = ["EndpointFigures", "PoolLoad", "SharedView", "other_calls_decay"]

OTHER_CALLS_HALF_LIFE_S = 5.0
MAX_UPSTREAM_RATIO = 4.0
# Attempts that start and end within a few reports outweigh a prior of this variance.
RESPONSE_PRIOR_VARIANCE = 0.2


class EndpointFigures(Protocol):
    """Calls of other entries at an endpoint, and how far the number may be trusted."""

    @property
    def calls(self) -> float:
        """Calls of other entries in flight."""

    @property
    def weight(self) -> float:
        """Weight from 0 to 1."""


class SharedView(Protocol):
    """What entries share of the loads of endpoints."""

    def find(self, now: float, endpoint: str) -> EndpointFigures | None:
        """Return what is known of an endpoint, or ``None``."""


class PoolLoad:
    """
    Sums over the endpoints of a pool that an entry uses, updated incrementally.

    ``pending`` counts this entry's requests that have yet to finish a stage in the
    pool, including those still in earlier stages; ``outstanding`` counts only those at
    the pool's endpoints. The cost of reading the sums does not depend on the pool's
    size. ``view`` is what entries share of the pool, ``None`` where they do not.
    """

    __slots__ = (
        "_other_calls",
        "_other_calls_at",
        "_report_weight",
        "_response",
        "capacity",
        "outstanding",
        "pending",
        "size",
        "view",
    )

    def __init__(self) -> None:
        self._response = DecayingRegression(RESPONSE_PRIOR_VARIANCE)
        self._report_weight = 1.0
        self.capacity = 0
        self.outstanding = 0
        self.pending = 0
        self.size = 0
        self.view: SharedView | None = None
        self._other_calls = 0.0
        self._other_calls_at = 0.0

    @property
    def report_weight(self) -> float:
        """Weight of load reports, from 0 where they are stale to 1 where current."""
        return self._report_weight

    def note_report(self, change: float, own_change: float) -> None:
        """
        Update the weight from the changes between two successive reports.

        ``change`` is the change in reported calls and ``own_change`` the change in this
        entry's own attempts. Current reports follow the entry's attempts one by one,
        late ones do not. If entries relied on late reports, all of them would send to
        the endpoints that were idle at that time, and to the others after the next
        report.
        """
        self._response.add(own_change, change)
        self._report_weight = min(1.0, self._response.slope(1.0))

    def mean_other_calls(self, now: float) -> float:
        """Return the mean number of calls of other entries at an endpoint."""
        return max(0.0, self.other_calls(now)) / max(1, self.size)

    def add_other_calls(self, now: float, calls: float) -> None:
        """Add calls of other entries; a negative number subtracts them."""
        self._other_calls = self.other_calls(now) + calls
        self._other_calls_at = max(self._other_calls_at, now)

    def replace_other_calls(self, now: float, old: float, new: float) -> None:
        """Replace one endpoint's number of calls of other entries."""
        self._other_calls = self.other_calls(now) - old + new
        self._other_calls_at = max(self._other_calls_at, now)

    def other_calls(self, now: float) -> float:
        """Return the calls of other entries, which decay as each endpoint's do."""
        return self._other_calls * other_calls_decay(now - self._other_calls_at)

    def wait_s(self, now: float, mean_s: float) -> float:
        """
        Return the predicted queueing time of a new request, in seconds.

        Reports count only the calls at the endpoints, while most requests of a
        beginning burst are still in earlier stages. Other entries are assumed to have
        the same ratio of pending requests to calls at the endpoints as this one,
        limited to between 1 and ``MAX_UPSTREAM_RATIO``.
        """
        if not self.capacity:
            return 0.0
        pending_ratio = self.pending / max(1, self.outstanding)
        upstream_ratio = min(MAX_UPSTREAM_RATIO, max(1.0, pending_ratio))
        others = max(0.0, self.other_calls(now)) * upstream_ratio
        ahead = self.pending + others + 1 - self.capacity
        return max(0.0, ahead) * mean_s / self.capacity


def other_calls_decay(age_s: float) -> float:
    """Return the factor by which a number of calls decays after its last report."""
    return 0.5 ** (age_s / OTHER_CALLS_HALF_LIFE_S) if age_s > 0 else 1.0
