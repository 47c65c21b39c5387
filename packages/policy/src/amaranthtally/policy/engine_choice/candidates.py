"""The engines that may be chosen, by level, and their ranks for each prefix."""

from collections import OrderedDict

from amaranthtally.policy.engine_choice.spill_over import Level
from amaranthtally.policy.groups import EndpointsByRegion
from amaranthtally.policy.model import Endpoint
from amaranthtally.policy.rendezvous import rendezvous_weight

__all__ = ["CandidateSet", "CandidateSets"]

# Engines whose rank for a prefix is kept: the holders, and those that take their place
# while holders are leaving, cold or ejected.
RANKED = 8
MAX_PREFIXES = 2_048
MAX_SETS = 64


class CandidateSet:
    """
    The engines of one pool, model and version that this entry uses.

    Ranks are computed once for each prefix: hashing all engines for each request would
    be most of the cost of a decision.
    """

    def __init__(
        self, regions: EndpointsByRegion, region: str, data_centre: str
    ) -> None:
        self.regions = regions
        self.by_id: dict[str, Endpoint] = {}
        self.levels: dict[Level, list[Endpoint]] = {level: [] for level in Level}
        self._ranked: OrderedDict[str, tuple[Endpoint, ...]] = OrderedDict()
        self._place = (region, data_centre)
        for members in regions.values():
            for endpoint in members:
                self.by_id[endpoint.id] = endpoint
                self.levels[self.level_of(endpoint)].append(endpoint)

    def level_of(self, endpoint: Endpoint) -> Level:
        """Return how far an engine is from the entry."""
        region, data_centre = self._place
        if endpoint.region != region:
            return Level.REMOTE
        is_near = endpoint.data_centre == data_centre
        return Level.DATA_CENTRE if is_near else Level.REGION

    def ranked(self, prefix: str) -> tuple[Endpoint, ...]:
        """Return the engines that rank first for a prefix."""
        ranked = self._ranked.get(prefix)
        if ranked is None:
            ids = sorted(self.by_id, key=lambda name: rendezvous_weight(name, prefix))
            ranked = tuple(self.by_id[name] for name in ids[:RANKED])
            self._ranked[prefix] = ranked
            if len(self._ranked) > MAX_PREFIXES:
                self._ranked.popitem(last=False)
        else:
            self._ranked.move_to_end(prefix)
        return ranked


class CandidateSets:
    """The candidate sets of an entry, rebuilt when their groups change."""

    def __init__(self) -> None:
        self._sets: dict[tuple[str, str, str | None], CandidateSet] = {}
        self._place = ("", "")

    def configure(self, region: str, data_centre: str) -> None:
        """Set the entry's location."""
        if (region, data_centre) != self._place:
            self._sets.clear()
        self._place = (region, data_centre)

    def get(
        self, key: tuple[str, str, str | None], regions: EndpointsByRegion
    ) -> CandidateSet:
        """Return the candidate set of a pool, a model and a version."""
        known = self._sets.pop(key, None)
        if known is None or known.regions is not regions:
            known = CandidateSet(regions, *self._place)
        # Reinserted last, so that the one not used for longest is dropped.
        self._sets[key] = known
        if len(self._sets) > MAX_SETS:
            del self._sets[next(iter(self._sets))]
        return known
