"""The endpoints that may run a stage, as a bounded subset per region."""

from collections.abc import Mapping
from random import Random
from typing import NamedTuple

from amaranthtally.policy.model import Endpoint, Stage

__all__ = ["EndpointGroups", "EndpointsByRegion"]

LOCAL_SUBSET_SIZE = 64
REMOTE_SUBSET_SIZE = 16

EndpointsByRegion = dict[str, list[Endpoint]]


class _GroupKey(NamedTuple):
    pool: str
    model: str
    version: str | None


class EndpointGroups:
    """
    Candidate endpoints of each pool and model by region, computed at first use.

    Streams that have begun need endpoints of one software version. These have groups
    of their own, as the subset for new work may hold none of that version.

    An entry uses a random subset of the endpoints of a pool and model: at most
    ``LOCAL_SUBSET_SIZE`` in its own region and ``REMOTE_SUBSET_SIZE`` in any other.
    Without this bound, 750 entries and 11,000 endpoints would hold eight million
    connections. Members of a subset stay in it when settings change.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._region = ""
        self._endpoints: Mapping[str, Endpoint] = {}
        self._by_pool: dict[str, list[Endpoint]] = {}
        self._groups: dict[_GroupKey, EndpointsByRegion] = {}

    def replace(self, region: str, endpoints: Mapping[str, Endpoint]) -> bool:
        """Set the entry's region and the endpoints; return whether either changed."""
        if endpoints == self._endpoints and region == self._region:
            return False
        self._region = region
        self._endpoints = endpoints
        self._by_pool = {}
        for endpoint in endpoints.values():
            if endpoint.takes_calls:
                self._by_pool.setdefault(endpoint.pool, []).append(endpoint)
        old_groups = self._groups
        self._groups = {}
        for key, regions in old_groups.items():
            members = {e.id for group in regions.values() for e in group}
            group = self._build(key, members)
            if group or key.version is None:
                self._groups[key] = group
        return True

    def candidates(self, stage: Stage, version: str | None = None) -> EndpointsByRegion:
        """Return a stage's candidates by region, all of one version if it is given."""
        key = _GroupKey(stage.pool, stage.model, version)
        regions = self._groups.get(key)
        if regions is None:
            regions = self._build(key, set())
            # A version without endpoints needs no group; it will hardly come back.
            if regions or version is None:
                self._groups[key] = regions
        return regions

    def find(self, endpoint: str) -> Endpoint | None:
        """Return a registered endpoint, or ``None``."""
        return self._endpoints.get(endpoint)

    def _build(self, key: _GroupKey, members: set[str]) -> EndpointsByRegion:
        regions: EndpointsByRegion = {}
        for endpoint in self._eligible(key):
            regions.setdefault(endpoint.region, []).append(endpoint)
        return {
            region: self._subset(region, group, members)
            for region, group in regions.items()
        }

    def _eligible(self, key: _GroupKey) -> list[Endpoint]:
        """
        Return the endpoints that are configured for a model, or else the whole pool.

        All of them have the key's version, if it has one.

        A request must still complete if it was accepted before its model was removed
        from the configuration of every endpoint. It is sent to an endpoint that
        reports the model as loaded, or to one that has not reported yet, which
        refuses the call if it does not have the model.
        """
        members = self._by_pool.get(key.pool, [])
        if key.version is not None:
            members = [e for e in members if e.version == key.version]
        return [e for e in members if e.is_meant_for(key.model)] or members

    def _subset(
        self, region: str, group: list[Endpoint], members: set[str]
    ) -> list[Endpoint]:
        size = LOCAL_SUBSET_SIZE if region == self._region else REMOTE_SUBSET_SIZE
        if len(group) <= size:
            return group
        kept = [e for e in group if e.id in members][:size]
        others = [e for e in group if e.id not in members]
        return kept + self._random.sample(others, size - len(kept))
