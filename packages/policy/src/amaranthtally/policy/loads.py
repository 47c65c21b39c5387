"""How loaded each endpoint is, from late reports and the entry's own attempts."""

from math import exp

from amaranthtally.policy.events import LoadReport
from amaranthtally.policy.invariants import ensure
from amaranthtally.policy.model import Endpoint

__all__ = ["EndpointLoad", "LoadTable", "PoolLoad"]

UNHEARD_LIMIT = 4
OTHERS_SMOOTHING_S = 0.5
SLOWNESS_WEIGHT = 0.1
FAILURE_WEIGHT = 0.2
FADE_S = 10.0
LEAST_SLOWNESS = 0.25
MOST_SLOWNESS = 50.0


class PoolLoad:
    """
    Sums over the endpoints of a pool that an entry uses, kept as they change.

    ``pending`` counts this entry's requests that have yet to finish a stage in
    the pool, also those that have not reached it. Reading a pool costs the same
    whatever its size.
    """

    __slots__ = ("capacity", "others", "pending", "size")

    def __init__(self) -> None:
        self.capacity = 0
        self.others = 0.0
        self.pending = 0
        self.size = 0

    def wait_s(self, mean_s: float) -> float:
        """Return the predicted wait of a new request, in seconds."""
        if not self.capacity:
            return 0.0
        ahead = self.pending + max(0.0, self.others) + 1 - self.capacity
        return max(0.0, ahead) * mean_s / self.capacity


class EndpointLoad:
    """
    One endpoint as this entry sees it; about 300 bytes.

    A report that lags also counts attempts of our own that ended since, and
    misses those sent since. So a report is only used for what other entries do
    there: the report less our own attempts, smoothed. Our own attempts, which we
    count exactly, are added on top, so that no two decisions between reports
    take an endpoint for equally idle.
    """

    __slots__ = (
        "_failing",
        "_failing_at",
        "_others",
        "_slow",
        "_slow_at",
        "counted",
        "endpoint",
        "heard_at",
        "incarnation",
        "leaving",
        "limit",
        "outstanding",
    )

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.outstanding = 0
        self.limit = UNHEARD_LIMIT
        self.heard_at = -1.0
        self.incarnation = 0
        self.leaving = False
        self.counted = False
        self._others = 0.0
        self._slow = 1.0
        self._slow_at = 0.0
        self._failing = 0.0
        self._failing_at = 0.0

    @property
    def others(self) -> float:
        """Smoothed calls of other entries at the endpoint; may be below 0."""
        return self._others

    @property
    def occupancy(self) -> float:
        """Predicted calls at the endpoint, running and queued."""
        return self.outstanding + max(0.0, self._others)

    @property
    def beside(self) -> float:
        """Predicted calls that run beside a new one."""
        return min(self.occupancy, self.limit - 1)

    def wait_s(self, mean_s: float) -> float:
        """Return the predicted wait of a new call, in seconds."""
        ahead = self.occupancy + 1 - self.limit
        return max(0.0, ahead) * mean_s / self.limit

    def slowness(self, now: float) -> float:
        """Return how much slower than its pool it runs; fades to 1 unheard."""
        return 1.0 + (self._slow - 1.0) * _faded(now - self._slow_at)

    def failing(self, now: float) -> float:
        """Return the smoothed share of attempts that fail; fades to 0 unheard."""
        return self._failing * _faded(now - self._failing_at)

    def note_run(self, now: float, ratio: float) -> None:
        """Learn from a run that took ``ratio`` times its pool's mean."""
        ratio = min(MOST_SLOWNESS, max(LEAST_SLOWNESS, ratio))
        current = self.slowness(now)
        self._slow = current + SLOWNESS_WEIGHT * (ratio - current)
        self._slow_at = now

    def note_attempt(self, now: float, failed: bool) -> None:
        """Learn from an attempt's end."""
        current = self.failing(now)
        self._failing = current + FAILURE_WEIGHT * (failed - current)
        self._failing_at = now

    def take_report(self, now: float, report: LoadReport) -> None:
        """Learn from a report, however late."""
        others = report.running + report.queued - self.outstanding
        if self.heard_at < 0:
            weight = 1.0
        else:
            weight = 1.0 - exp(-max(0.0, now - self.heard_at) / OTHERS_SMOOTHING_S)
        self._others += weight * (others - self._others)
        self.heard_at = now
        self.limit = max(1, report.limit)


class LoadTable:
    """The endpoints that this entry has used or heard of, and sums by pool."""

    def __init__(self) -> None:
        self._loads: dict[str, EndpointLoad] = {}
        self._pools: dict[str, PoolLoad] = {}

    def __len__(self) -> int:
        return len(self._loads)

    def pool(self, name: str) -> PoolLoad:
        """Return the sums of a pool."""
        found = self._pools.get(name)
        if found is None:
            found = self._pools[name] = PoolLoad()
        return found

    def find(self, endpoint: str) -> EndpointLoad | None:
        """Return what is known of an endpoint, or ``None``."""
        return self._loads.get(endpoint)

    def open(self, endpoint: Endpoint) -> EndpointLoad:
        """Return an endpoint's load, made at first use."""
        load = self._loads.get(endpoint.id)
        if load is None:
            load = self._loads[endpoint.id] = EndpointLoad(endpoint)
        return load

    def count_in(self, load: EndpointLoad) -> None:
        """Add a usable endpoint to its pool's sums."""
        if load.counted:
            return
        load.counted = True
        pool = self.pool(load.endpoint.pool)
        pool.size += 1
        pool.capacity += load.limit
        pool.others += load.others

    def count_out(self, load: EndpointLoad) -> None:
        """Take an endpoint that is leaving, ejected or gone out of the sums."""
        if not load.counted:
            return
        load.counted = False
        pool = self.pool(load.endpoint.pool)
        pool.size -= 1
        pool.capacity -= load.limit
        pool.others -= load.others
        ensure(pool.size >= 0, "a pool's size is not negative")

    def take_report(self, now: float, load: EndpointLoad, report: LoadReport) -> None:
        """Learn from a report, and keep the sums."""
        counted = load.counted
        self.count_out(load)
        load.take_report(now, report)
        if counted:
            self.count_in(load)

    def drop(self, endpoint: str) -> None:
        """Forget an endpoint that is no longer registered."""
        load = self._loads.pop(endpoint, None)
        if load is not None:
            self.count_out(load)

    def ids(self) -> list[str]:
        """Return the ids of the endpoints held."""
        return list(self._loads)


def _faded(age_s: float) -> float:
    return 0.5 ** (max(0.0, age_s) / FADE_S)
