"""The registered endpoints, retained while the registry is unavailable."""

from collections.abc import Iterable, Mapping
from math import inf

from amaranthtally.policy.model import Endpoint

__all__ = ["EndpointDirectory"]

# Running endpoints register again within this time after the registry has become
# available, in seconds; the users' platform specifies about two.
REREGISTRATION_S = 2.0


class EndpointDirectory:
    """
    Registered endpoints by id; times are time stamps in seconds.

    Records expire while the registry is unavailable, although their endpoints are
    running. If the registry's content were applied as soon as it is available
    again, there would be no endpoint at all for two seconds and every request would
    be refused. An endpoint whose record is missing during the first
    ``REREGISTRATION_S`` is therefore retained, and removed at the end of this period
    unless it has registered again.
    """

    def __init__(self) -> None:
        self._endpoints: dict[str, Endpoint] = {}
        self._missing: dict[str, float] = {}
        self._disconnected = False
        self._grace_ends_at = -inf

    @property
    def endpoints(self) -> Mapping[str, Endpoint]:
        """Registered and retained endpoints; leaving ones do not take calls."""
        return self._endpoints

    @property
    def missing(self) -> int:
        """Number of endpoints that are retained although their record is missing."""
        return len(self._missing)

    def connection_lost(self) -> None:
        """Note that the registry does not respond."""
        self._disconnected = True

    def connection_restored(self, now: float) -> None:
        """Note that the registry responds; starts the grace period after an outage."""
        if self._disconnected:
            self._disconnected = False
            self.settle_for(now, REREGISTRATION_S)

    def settling_s(self, now: float) -> float:
        """Return how much longer endpoints without a record are retained."""
        return max(0.0, self._grace_ends_at - now)

    def settle_for(self, now: float, seconds: float) -> None:
        """Retain endpoints without a record for at least this many seconds."""
        self._grace_ends_at = max(self._grace_ends_at, now + seconds)

    def replace(self, now: float, records: Iterable[Endpoint]) -> None:
        """Apply the complete content of the registry."""
        registered = {endpoint.id: endpoint for endpoint in records}
        for name in [name for name in self._endpoints if name not in registered]:
            self.record_removed(now, name)
        for endpoint in registered.values():
            self.put(endpoint)

    def put(self, endpoint: Endpoint) -> None:
        """Add or replace an endpoint."""
        self._missing.pop(endpoint.id, None)
        self._endpoints = {**self._endpoints, endpoint.id: endpoint}

    def record_removed(self, now: float, name: str) -> None:
        """Remove an endpoint, or retain it until the end of the grace period."""
        if name not in self._endpoints:
            return
        if now < self._grace_ends_at:
            self._missing.setdefault(name, self._grace_ends_at)
            return
        self._remove(name)

    def expire(self, now: float) -> bool:
        """Remove retained endpoints whose time is over; return whether any was."""
        expired = [name for name, until in self._missing.items() if until <= now]
        for name in expired:
            self._remove(name)
        return bool(expired)

    def _remove(self, name: str) -> None:
        self._missing.pop(name, None)
        self._endpoints = {k: v for k, v in self._endpoints.items() if k != name}
