"""Endpoints that have asked this entry to back off for a while."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from amaranthtally.policy.model import Endpoint

__all__ = ["EndpointBackoffs"]

NO_ENDPOINTS: frozenset[str] = frozenset()


class _Backoff(NamedTuple):
    incarnation: int
    until: float


class EndpointBackoffs:
    """
    Until when endpoints are sent nothing; time stamps in seconds.

    An endpoint asks each entry by itself, and an entry that it did not ask may send.
    Successes of requests that were sent before do not end a backoff.
    """

    def __init__(self, on_backoff: Callable[[str, float], None]) -> None:
        """Create it; ``on_backoff`` is called with an endpoint and a backoff's end."""
        self._on_backoff = on_backoff
        self._endpoints: Mapping[str, Endpoint] = {}
        self._backoffs: dict[str, _Backoff] = {}

    def configure(self, endpoints: Mapping[str, Endpoint]) -> None:
        """Set the registered endpoints; forget backoffs of an earlier start of one."""
        self._endpoints = endpoints
        for name, backoff in list(self._backoffs.items()):
            endpoint = endpoints.get(name)
            if endpoint is None:
                continue
            if endpoint.incarnation == backoff.incarnation:
                self._on_backoff(name, backoff.until)
            else:
                del self._backoffs[name]

    def backoff_requested(
        self, now: float, endpoint: Endpoint, duration_s: float
    ) -> None:
        """
        Note that a response asks for a backoff; the longest of several is in force.

        ``endpoint`` is the start that was called, whose record may be missing just now.
        """
        until = now + duration_s
        known = self._backoffs.get(endpoint.id)
        if known is not None and known.incarnation == endpoint.incarnation:
            until = max(until, known.until)
        self._backoffs[endpoint.id] = _Backoff(endpoint.incarnation, until)
        self._on_backoff(endpoint.id, until)

    def active(self, now: float) -> frozenset[str]:
        """Return the endpoints that are sent nothing now."""
        if not self._backoffs:
            return NO_ENDPOINTS
        self._backoffs = {n: b for n, b in self._backoffs.items() if b.until > now}
        return frozenset(self._backoffs)

    def left_s(self, now: float, endpoint: str) -> float:
        """Return how much longer an endpoint's backoff lasts, in seconds."""
        backoff = self._backoffs.get(endpoint)
        return max(0.0, backoff.until - now) if backoff else 0.0

    def waits_s(self, now: float, pool: str) -> dict[str, float]:
        """Return how much longer each backoff in a pool lasts, in seconds."""
        return {
            name: self.left_s(now, name)
            for name in self.active(now)
            if (endpoint := self._endpoints.get(name)) and endpoint.pool == pool
        }
