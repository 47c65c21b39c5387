"""Endpoints that have asked this entry to send nothing for a while."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from amaranthtally.policy.model import Endpoint

__all__ = ["EndpointRests"]

NO_ENDPOINTS: frozenset[str] = frozenset()


class _Rest(NamedTuple):
    incarnation: int
    until: float


class EndpointRests:
    """
    Until when endpoints are to be left alone; time stamps in seconds.

    An endpoint asks each entry by itself, and an entry that it did not ask may send:
    the wish is part of a response and not shared. Successes of requests that were sent
    before do not end a rest.
    """

    def __init__(self, on_rest: Callable[[str, float], None]) -> None:
        """Create it; ``on_rest`` is called with each endpoint and its rest's end."""
        self._on_rest = on_rest
        self._endpoints: Mapping[str, Endpoint] = {}
        self._rests: dict[str, _Rest] = {}

    def __len__(self) -> int:
        return len(self._rests)

    def configure(self, endpoints: Mapping[str, Endpoint]) -> None:
        """Set the registered endpoints; one that has started again wants no rest."""
        self._endpoints = endpoints
        for name, rest in list(self._rests.items()):
            endpoint = endpoints.get(name)
            if endpoint is not None and endpoint.incarnation != rest.incarnation:
                del self._rests[name]
            elif endpoint is not None:
                self._on_rest(name, rest.until)

    def rest_asked(self, now: float, endpoint: Endpoint, rest_s: float) -> None:
        """
        Note that a response asks for a rest; the longest of several holds.

        ``endpoint`` is the start that was asked, whose record may be missing just now.
        """
        known = self._rests.get(endpoint.id)
        is_same = known is not None and known.incarnation == endpoint.incarnation
        until = max(now + rest_s, known.until if known and is_same else 0.0)
        self._rests[endpoint.id] = _Rest(endpoint.incarnation, until)
        self._on_rest(endpoint.id, until)

    def resting(self, now: float) -> frozenset[str]:
        """Return the endpoints that are to be left alone now."""
        if not self._rests:
            return NO_ENDPOINTS
        self._rests = {n: rest for n, rest in self._rests.items() if rest.until > now}
        return frozenset(self._rests)

    def left_s(self, now: float, endpoint: str) -> float:
        """Return how much longer an endpoint rests, in seconds."""
        rest = self._rests.get(endpoint)
        return max(0.0, rest.until - now) if rest else 0.0

    def waits_s(self, now: float, pool: str) -> dict[str, float]:
        """Return how much longer each resting endpoint of a pool does, in seconds."""
        return {
            name: self.left_s(now, name)
            for name in self.resting(now)
            if (endpoint := self._endpoints.get(name)) and endpoint.pool == pool
        }
