"""Decides whether something may be sent to an endpoint, now and from this entry."""

from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple

from amaranthtally.policy.actions import RefusalReason
from amaranthtally.policy.events import Arrival
from amaranthtally.policy.home_regions import HomeRegions, Regions
from amaranthtally.policy.model import Endpoint, PolicySettings
from amaranthtally.policy.sending.endpoint_backoffs import EndpointBackoffs
from amaranthtally.policy.sending.endpoint_limits import EndpointLimits

__all__ = ["Obstacle", "SendGate", "SendWait"]

NO_ENDPOINTS: frozenset[str] = frozenset()


class Obstacle(Enum):
    """Why nothing may be sent to an endpoint."""

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    NOT_AT_HOME = "not_at_home"
    BACKOFF = "backoff"
    RATE_LIMIT = "rate_limit"
    COLD = "cold"


class SendWait(NamedTuple):
    """How long a pool takes nothing, in seconds, and the reason to refuse requests."""

    wait_s: float
    reason: RefusalReason


class SendGate:
    """
    The one place that is asked before anything is sent to an endpoint.

    It joins what holds for an endpoint (whether it takes calls, its rate limit, its
    backoff) and for a request (its home regions). Regions are those to which a request
    is confined, ``None`` if it is not.
    """

    def __init__(self, limits: EndpointLimits, backoffs: EndpointBackoffs) -> None:
        self._limits = limits
        self._backoffs = backoffs
        self._homes = HomeRegions()
        self._endpoints: Mapping[str, Endpoint] = {}
        self._evacuated = NO_ENDPOINTS
        self._abroad: dict[Regions, frozenset[str]] = {}
        self._open_regions: dict[str, set[str]] = {}

    def configure(self, settings: PolicySettings) -> bool:
        """Apply new settings; return whether requests may now be without a place."""
        has_changed = settings.homes != self._homes
        self._homes = settings.homes
        if settings.endpoints is not self._endpoints:
            self._endpoints = settings.endpoints
            self._abroad.clear()
            self._open_regions = {}
            for endpoint in settings.endpoints.values():
                if endpoint.takes_calls:
                    regions = self._open_regions.setdefault(endpoint.pool, set())
                    regions.add(endpoint.region)
            evacuated = frozenset(
                name
                for name, endpoint in settings.endpoints.items()
                if endpoint.is_evacuated
            )
            has_changed = has_changed or evacuated != self._evacuated
            self._evacuated = evacuated
        return has_changed

    # Requests

    def regions_of(self, arrival: Arrival) -> Regions | None:
        """Return the regions to which a request is confined by the settings."""
        return self._homes.allowed(arrival.pipeline.name, arrival.account)

    def refusal_reason(
        self, pools: Iterable[str], regions: Regions | None
    ) -> RefusalReason | None:
        """Return why a request that needs these pools has no place, if it has none."""
        if regions is None and not self._evacuated:
            return None
        for pool in pools:
            open_regions = self._open_regions.get(pool, NO_ENDPOINTS)
            is_open = open_regions if regions is None else regions & open_regions
            if is_open:
                continue
            if self._is_evacuated(pool, regions):
                return RefusalReason.EVACUATED
            if regions is not None:
                return RefusalReason.NO_HOME_ENDPOINT
        return None

    # Endpoints

    def closed(self, now: float, regions: Regions | None) -> frozenset[str]:
        """Return the endpoints to which a request must not be sent now."""
        closed = (
            self._limits.blocked(now) | self._backoffs.active(now) | self._evacuated
        )
        return closed if regions is None else closed | self._outside(regions)

    def obstacle(
        self, now: float, endpoint: Endpoint, regions: Regions | None
    ) -> Obstacle | None:
        """Return why a request must not be sent to an endpoint, ``None`` if it may."""
        if regions is not None and endpoint.region not in regions:
            return Obstacle.NOT_AT_HOME
        if endpoint.id in self._evacuated:
            return Obstacle.EVACUATED
        if not endpoint.takes_calls:
            return Obstacle.LEAVING
        if endpoint.id in self._backoffs.active(now):
            return Obstacle.BACKOFF
        if endpoint.id in self._limits.blocked(now):
            is_cold = self._limits.is_cold(endpoint.id)
            return Obstacle.COLD if is_cold else Obstacle.RATE_LIMIT
        return None

    def note_wanted(self, pool: str) -> None:
        """Note that a request could be sent to any endpoint of a pool."""
        self._limits.note_wanted(pool)

    def requests_wait(self, counts: Mapping[str, int]) -> None:
        """Note how many requests wait to be sent to each pool."""
        self._limits.requests_wait(counts)

    def take(self, now: float, endpoint: str) -> None:
        """Note that a request is sent to an endpoint."""
        self._limits.take(now, endpoint)

    def wait(self, now: float, pool: str, regions: Regions | None) -> SendWait | None:
        """
        Return the wait until the first endpoint of a pool that is held back takes one.

        ``None`` if none is held back.
        """
        permits = self._limits.waits_s(now, pool)
        backoffs = self._backoffs.waits_s(now, pool)
        outside = NO_ENDPOINTS if regions is None else self._outside(regions)
        outside |= self._evacuated
        waits = [
            self._longer(name, permits.get(name, 0.0), backoffs.get(name, 0.0))
            for name in {*permits, *backoffs} - outside
        ]
        return min(waits, key=lambda wait: wait.wait_s, default=None)

    def _longer(self, endpoint: str, permit_s: float, backoff_s: float) -> SendWait:
        if backoff_s > permit_s:
            return SendWait(backoff_s, RefusalReason.OVERLOAD)
        is_cold = self._limits.is_cold(endpoint)
        reason = RefusalReason.COLD if is_cold else RefusalReason.RATE_LIMIT
        return SendWait(permit_s, reason)

    def _is_evacuated(self, pool: str, regions: Regions | None) -> bool:
        endpoints = (self._endpoints[name] for name in self._evacuated)
        return any(
            endpoint.pool == pool and (regions is None or endpoint.region in regions)
            for endpoint in endpoints
        )

    def _outside(self, regions: Regions) -> frozenset[str]:
        """Return the endpoints outside of these regions."""
        outside = self._abroad.get(regions)
        if outside is None:
            outside = self._abroad[regions] = frozenset(
                name
                for name, endpoint in self._endpoints.items()
                if endpoint.region not in regions
            )
        return outside
