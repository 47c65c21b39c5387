"""What this entry and the others know together of the endpoints' loads."""

from collections.abc import Callable, Mapping, Sequence
from random import Random
from typing import NamedTuple

from amaranthtally.policy.actions import Action
from amaranthtally.policy.events import LoadReport
from amaranthtally.policy.load_messages import LoadMessage
from amaranthtally.policy.load_view.contributions import NO_CALLS, Figures
from amaranthtally.policy.load_view.endpoint_keys import EndpointKeys
from amaranthtally.policy.load_view.exchange import LoadExchange, LoadViewCounters
from amaranthtally.policy.load_view.outbox import ChangeLog
from amaranthtally.policy.load_view.reports import KnownReport, PoolHalfLives, Reports
from amaranthtally.policy.model import Endpoint
from amaranthtally.policy.pool_sites import Peer

__all__ = [
    "EndpointView",
    "LoadView",
    "ObservedSlowness",
    "build_load_view",
]

# A report makes an endpoint look at most this much faster than was observed. An
# endpoint with false reports then gets about twice an equal share of the calls.
LEAST_OF_OBSERVED = 0.5
# The number of bits of an incarnation.
INCARNATION_BITS = 63

ObservedSlowness = Callable[[float, str], float]
NO_ACTIONS: list[Action] = []


class EndpointView(NamedTuple):
    """
    What is known of an endpoint beyond this entry's own calls.

    ``calls`` and ``prefill_tokens`` are of other entries: calls in flight, and prompt
    tokens that have yet to be processed; ``weight``, from 0 to 1, is how far they may
    be relied on now. ``slowness`` is how many times as long as usual work takes there:
    the newest report, the closer to what this entry observed itself the older it is.
    """

    calls: float
    prefill_tokens: float
    slowness: float
    weight: float


class LoadView:
    """
    Shares calls, prompt tokens and reports of endpoints with the other entries.

    Time stamps are in seconds. The entries of a region form groups. Each sends its own
    figures to the relay of its group, whose answer holds those of all others; relays
    exchange the sums of their groups. Pools take part once a report with a slowness was
    heard from one of their endpoints; before that nothing is sent.
    """

    def __init__(self, observed: ObservedSlowness, random: Random) -> None:
        self._observed = observed
        self._active: frozenset[str] = frozenset()
        self._endpoints: Mapping[str, Endpoint] = {}
        self._keys: EndpointKeys | None = None
        self._half_lives: dict[str, PoolHalfLives] = {}
        self._changes = ChangeLog()
        self._own: dict[int, Figures] = {}
        self._reports = Reports()
        self._exchange = LoadExchange(
            random.getrandbits(INCARNATION_BITS) or 1,
            self._own,
            self._reports,
            self._changes,
            self._take_report,
        )

    @property
    def active_pools(self) -> frozenset[str]:
        """Names of the pools that take part."""
        return self._active

    @property
    def counters(self) -> LoadViewCounters:
        """Totals since the start."""
        return self._exchange.counters

    @property
    def senders(self) -> int:
        """Number of entries and groups whose contributions are counted now."""
        return self._exchange.senders

    @property
    def _index(self) -> EndpointKeys:
        if self._keys is None:
            self._keys = EndpointKeys(self._endpoints)
        return self._keys

    def is_active(self, pool: str) -> bool:
        """Whether a pool takes part."""
        return pool in self._active

    def half_life_s(self, pool: str) -> float:
        """Return the time in which the calls at a pool's endpoints change by half."""
        return self._half_lives_of(pool).calls.seconds

    def find(self, now: float, endpoint: str) -> EndpointView | None:
        """Return what is known of an endpoint, ``None`` if its pool takes no part."""
        registered = self._endpoints.get(endpoint)
        if registered is None or registered.pool not in self._active:
            return None
        key = self._index.key_of(endpoint)
        if key is None:
            return None
        half_lives = self._half_lives_of(registered.pool)
        figures, age_s = self._exchange.others(now, key)
        weight = 0.0 if age_s is None else half_lives.calls.weight(age_s)
        slowness = self._slowness(now, endpoint, self._reports.find(key), half_lives)
        return EndpointView(float(figures[0]), float(figures[1]), slowness, weight)

    # The entry itself

    def configure(self, name: str, data_centre: str) -> None:
        """Set the name and the data centre of this entry."""
        self._exchange.configure(name, data_centre)

    def endpoints_changed(self, endpoints: Mapping[str, Endpoint]) -> None:
        """Use these endpoints; what is known of others, or earlier starts, is lost."""
        if endpoints == self._endpoints:
            return
        self._endpoints = endpoints
        if self._keys is not None:
            keys = EndpointKeys(endpoints)
            self._forget([key for key in self._keys if key not in keys])
            self._keys = keys
        pools = {endpoint.pool for endpoint in endpoints.values()}
        self._active &= pools
        self._half_lives = {p: h for p, h in self._half_lives.items() if p in pools}
        self._exchange.places_changed(
            lambda: {e.data_centre: e.region for e in endpoints.values()}
        )

    def peers_changed(self, now: float, peers: Sequence[Peer]) -> None:
        """Use this set of other live entries."""
        self._exchange.peers_changed(peers)

    def report_received(
        self, now: float, endpoint: Endpoint, report: LoadReport
    ) -> None:
        """Take a report from an endpoint; one with a slowness switches its pool on."""
        if report.host_slowness is None or endpoint.id not in self._endpoints:
            return
        key = self._index.key_of(endpoint.id)
        if key is not None and self._index.find(key) == endpoint:
            calls = report.running + report.queued
            self._take_report(key, KnownReport(report.host_slowness, calls, now))

    def attempt_changed(
        self, now: float, endpoint: Endpoint, calls: int, prefill_tokens: int
    ) -> None:
        """Take the numbers of this entry's own calls and pending prompt tokens."""
        if endpoint.pool not in self._active:
            return
        key = self._index.key_of(endpoint.id)
        figures = (calls, prefill_tokens)
        if key is None or self._own.get(key, NO_CALLS) == figures:
            return
        self._own[key] = figures
        if figures == NO_CALLS:
            del self._own[key]
        self._changes.note([key])

    # Exchange

    def tick(self, now: float) -> list[Action]:
        """Return the calls of other entries that are due."""
        return self._exchange.tick(now) if self._active else NO_ACTIONS

    def exchange_received(
        self, now: float, sender: str, message: LoadMessage
    ) -> LoadMessage:
        """Take another entry's figures; return those that it lacks."""
        return self._exchange.received(now, sender, message)

    def exchange_answered(self, now: float, peer: str, message: LoadMessage) -> None:
        """Take what an entry answers that this one has called."""
        self._exchange.answered(now, peer, message)

    def exchange_failed(self, now: float, peer: str) -> None:
        """Note that an entry did not answer; another takes on its duty for a while."""
        self._exchange.failed(now, peer)

    # Reports

    def _slowness(
        self,
        now: float,
        endpoint: str,
        report: KnownReport | None,
        half_lives: PoolHalfLives,
    ) -> float:
        observed = self._observed(now, endpoint)
        if report is None:
            return observed
        weight = half_lives.slowness.weight(now - report.heard_at)
        slowness = max(LEAST_OF_OBSERVED * observed, report.slowness)
        return observed + weight * (slowness - observed)

    def _take_report(self, key: int, report: KnownReport) -> bool:
        endpoint = self._index.find(key)
        if endpoint is None:
            return False
        half_lives = self._half_lives_of(endpoint.pool)
        if self._reports.take(key, report, half_lives):
            self._changes.note([key])
        if endpoint.pool not in self._active:
            self._active |= {endpoint.pool}
        return True

    # State

    def _half_lives_of(self, pool: str) -> PoolHalfLives:
        half_lives = self._half_lives.get(pool)
        if half_lives is None:
            half_lives = self._half_lives[pool] = PoolHalfLives()
        return half_lives

    def _forget(self, gone: list[int]) -> None:
        """Drop what is known of endpoints that are no longer registered."""
        for key in gone:
            self._own.pop(key, None)
        self._reports.forget(gone)
        self._changes.forget(gone)
        self._exchange.forget(gone)


def build_load_view(observed: ObservedSlowness, random: Random) -> LoadView:
    """
    Return a view; ``observed`` is what bounds the slowness that endpoints report.

    ``random`` draws what tells this start of the entry from earlier ones.
    """
    return LoadView(observed, random)
