"""The endpoints that may run a stage, by region; a bounded subset for each entry."""

from collections.abc import Mapping
from random import Random

from amaranthtally.policy.model import Endpoint, Stage

__all__ = ["EndpointGroups", "EndpointsByRegion"]

LOCAL_SUBSET_SIZE = 64
REMOTE_SUBSET_SIZE = 16

EndpointsByRegion = dict[str, list[Endpoint]]


class EndpointGroups:
    """
    Candidates of each pool and model, by region, built at first use.

    An entry uses at most ``LOCAL_SUBSET_SIZE`` endpoints of a pool and model in its own
    region and ``REMOTE_SUBSET_SIZE`` in any other, drawn at random: 750 entries before
    11,000 endpoints would otherwise hold eight million connections. A subset
    keeps its members when settings change.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._region = ""
        self._endpoints: Mapping[str, Endpoint] = {}
        self._by_pool: dict[str, list[Endpoint]] = {}
        self._groups: dict[tuple[str, str], EndpointsByRegion] = {}

    def replace(self, region: str, endpoints: Mapping[str, Endpoint]) -> bool:
        """Use another home region and endpoints; false when nothing differs."""
        if endpoints == self._endpoints and region == self._region:
            return False
        self._region = region
        self._endpoints = endpoints
        self._by_pool = {}
        for endpoint in endpoints.values():
            if endpoint.takes_calls:
                self._by_pool.setdefault(endpoint.pool, []).append(endpoint)
        old = self._groups
        self._groups = {}
        for key, regions in old.items():
            members = {e.id for group in regions.values() for e in group}
            self._groups[key] = self._build(key, members)
        return True

    def candidates(self, stage: Stage) -> EndpointsByRegion:
        """Return a stage's candidates by region."""
        key = (stage.pool, stage.model)
        found = self._groups.get(key)
        if found is None:
            found = self._groups[key] = self._build(key, set())
        return found

    def find(self, endpoint: str) -> Endpoint | None:
        """Return a registered endpoint, or ``None``."""
        return self._endpoints.get(endpoint)

    def _build(self, key: tuple[str, str], members: set[str]) -> EndpointsByRegion:
        pool, model = key
        regions: EndpointsByRegion = {}
        for endpoint in self._meant_for(pool, model):
            regions.setdefault(endpoint.region, []).append(endpoint)
        return {
            region: self._subset(region, group, members)
            for region, group in regions.items()
        }

    def _meant_for(self, pool: str, model: str) -> list[Endpoint]:
        """
        Return the endpoints that are to answer a model, or the whole pool.

        A request that was accepted before the operators took its model off every
        endpoint still has to end: whoever says that it has the model, or has said
        nothing yet and will refuse truly where it has not, gets it.
        """
        members = self._by_pool.get(pool, [])
        return [e for e in members if e.is_meant_for(model)] or members

    def _subset(
        self, region: str, group: list[Endpoint], members: set[str]
    ) -> list[Endpoint]:
        size = LOCAL_SUBSET_SIZE if region == self._region else REMOTE_SUBSET_SIZE
        if len(group) <= size:
            return group
        kept = [e for e in group if e.id in members][:size]
        others = [e for e in group if e.id not in members]
        return kept + self._random.sample(others, size - len(kept))
