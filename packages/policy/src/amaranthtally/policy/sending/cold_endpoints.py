"""Endpoints that are cold, and which take few requests until they are warm."""

from collections.abc import Mapping
from math import inf
from typing import NamedTuple

from amaranthtally.policy.model import Endpoint
from amaranthtally.policy.routes import Pool

__all__ = ["MAX_COLD_S", "ColdEndpoints"]

# Longest time that one record of an endpoint makes it cold, in seconds. One that claims
# more, and means it, writes further records.
MAX_COLD_S = 60.0

NO_POOL = Pool("")


class _Known(NamedTuple):
    """The start and record of an endpoint that were read last."""

    incarnation: int
    revision: int
    is_evacuated: bool
    cold_until: float


class ColdEndpoints:
    """
    Until when endpoints are cold; time stamps in seconds.

    Their records say so, and may be late or lack it. An endpoint that starts while this
    entry watches, and one that is taken back after an evacuation, therefore count as
    cold for the time that the pool takes to start, whatever the records say that are
    known then. A further record decides anew.
    """

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        self._pools: Mapping[str, Pool] = {}
        self._endpoints: Mapping[str, Endpoint] = {}
        self._next_end = inf

    @property
    def next_end(self) -> float:
        """When the next endpoint becomes warm; infinite if none is cold."""
        return self._next_end

    def configure(
        self, now: float, endpoints: Mapping[str, Endpoint], pools: Mapping[str, Pool]
    ) -> None:
        """Set the registered endpoints and the pools that they belong to."""
        is_first = not self._known
        before, self._known = self._known, {}
        self._endpoints = endpoints
        self._pools = pools
        for name, endpoint in endpoints.items():
            pool = pools.get(endpoint.pool, NO_POOL)
            if pool.cold_rate > 0.0:
                start_s = 0.0 if is_first else pool.cold_start_s
                self._known[name] = _read(now, endpoint, before.get(name), start_s)

    def rates(self, now: float) -> dict[str, float]:
        """Return the limits of the cold endpoints, in requests a second."""
        cold = {name: k for name, k in self._known.items() if k.cold_until > now}
        self._next_end = min((k.cold_until for k in cold.values()), default=inf)
        return {
            name: self._pools[self._endpoints[name].pool].cold_rate
            for name, known in cold.items()
            if not known.is_evacuated
        }


def _read(
    now: float, endpoint: Endpoint, before: _Known | None, start_s: float
) -> _Known:
    """Return what is known of an endpoint, by what was ``before`` and its record."""
    cold_until = -inf
    if before is None or before.incarnation != endpoint.incarnation:
        cold_until = now + start_s
    elif before.revision == endpoint.revision:
        cold_until = before.cold_until
    is_new = before is None or before.revision != endpoint.revision
    if is_new and endpoint.cold_s > 0.0:
        cold_until = max(cold_until, now + min(MAX_COLD_S, endpoint.cold_s))
    if before is not None and before.is_evacuated and not endpoint.is_evacuated:
        cold_until = max(cold_until, now + start_s)
    return _Known(
        endpoint.incarnation, endpoint.revision, endpoint.is_evacuated, cold_until
    )
