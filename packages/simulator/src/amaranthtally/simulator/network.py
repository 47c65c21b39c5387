"""How long messages take between places, and which places are cut off."""

from collections.abc import Iterable

from amaranthtally.simulator.deployment import DataCentre, Deployment

__all__ = ["Network"]


class Network:
    """Delays between data centres; a cut parts some of them from the others."""

    def __init__(self, deployment: Deployment) -> None:
        self._near_s = deployment.near_s
        self._region_s = deployment.region_s
        self._far_s = deployment.far_s
        self._places = {one.name: one for one in deployment.data_centres}
        self._cut: set[str] = set()

    def place(self, name: str) -> DataCentre:
        """Return a data centre by name."""
        return self._places[name]

    def delay_s(self, here: str, there: str) -> float:
        """Return how long a message takes one way, in seconds."""
        if here == there:
            return self._near_s
        one, other = self._places[here], self._places[there]
        return self._region_s if one.region == other.region else self._far_s

    def reaches(self, here: str, there: str) -> bool:
        """Whether messages go from one data centre to another."""
        return (here in self._cut) == (there in self._cut)

    def cut(self, places: Iterable[str]) -> None:
        """Part these data centres from all others."""
        self._cut |= set(places)

    def heal(self, places: Iterable[str]) -> None:
        """Join these data centres with the others again."""
        self._cut -= set(places)
