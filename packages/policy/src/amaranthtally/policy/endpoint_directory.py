"""Which endpoints are registered, also while their register is away."""

from collections.abc import Iterable, Mapping
from math import inf

from amaranthtally.policy.model import Endpoint

__all__ = ["EndpointDirectory"]

# Endpoints that live have written their records again this long after the register's
# return, in seconds; the users' platform says about two.
RETURN_S = 2.0


class EndpointDirectory:
    """
    Endpoints by id, as their records say; times are time stamps in seconds.

    The failure: records run out while the register is away, though their endpoints
    live. Taken at its word on its return, it would name no endpoint at all for two
    seconds, and every request would be refused. So an endpoint whose record is
    missing just then is kept until ``RETURN_S`` later, and only then taken as gone.
    """

    def __init__(self) -> None:
        self._endpoints: dict[str, Endpoint] = {}
        self._missing: dict[str, float] = {}
        self._lost = False
        self._trusted_at = -inf

    @property
    def endpoints(self) -> Mapping[str, Endpoint]:
        """Registered endpoints; those that leave take no calls."""
        return self._endpoints

    @property
    def missing(self) -> int:
        """Endpoints that are kept although their record is missing."""
        return len(self._missing)

    def connection_lost(self) -> None:
        """Note that the register does not answer."""
        self._lost = True

    def connection_restored(self, now: float) -> None:
        """Note that the register answers."""
        if self._lost:
            self._lost = False
            self._trusted_at = now + RETURN_S

    def replace(self, now: float, records: Iterable[Endpoint]) -> None:
        """Take the whole register, as it was read."""
        found = {endpoint.id: endpoint for endpoint in records}
        for name in [name for name in self._endpoints if name not in found]:
            self.record_removed(now, name)
        for endpoint in found.values():
            self.put(endpoint)

    def put(self, endpoint: Endpoint) -> None:
        """Take a new or changed record."""
        self._missing.pop(endpoint.id, None)
        self._endpoints = {**self._endpoints, endpoint.id: endpoint}

    def record_removed(self, now: float, name: str) -> None:
        """Take word that a record is no longer there."""
        if name not in self._endpoints:
            return
        if now < self._trusted_at:
            self._missing.setdefault(name, self._trusted_at)
            return
        self._drop(name)

    def expire(self, now: float) -> bool:
        """Drop those whose records have not come back; whether there were any."""
        due = [name for name, until in self._missing.items() if until <= now]
        for name in due:
            self._drop(name)
        return bool(due)

    def _drop(self, name: str) -> None:
        self._missing.pop(name, None)
        self._endpoints = {k: v for k, v in self._endpoints.items() if k != name}
