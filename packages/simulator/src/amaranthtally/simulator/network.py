"""Message delays between data centres, and network partitions."""

from collections.abc import Iterable

from amaranthtally.simulator.deployment import DataCentre, Deployment

__all__ = ["Network"]


class Network:
    """Delays between data centres; a partition separates some from the others."""

    def __init__(self, deployment: Deployment) -> None:
        self._near_s = deployment.near_s
        self._region_s = deployment.region_s
        self._far_s = deployment.far_s
        self._data_centres = {centre.name: centre for centre in deployment.data_centres}
        self._isolated: set[str] = set()

    def data_centre(self, name: str) -> DataCentre:
        """Return a data centre by name."""
        return self._data_centres[name]

    def delay_s(self, source: str, target: str) -> float:
        """Return the one-way delay of a message, in seconds."""
        if source == target:
            return self._near_s
        first, second = self._data_centres[source], self._data_centres[target]
        return self._region_s if first.region == second.region else self._far_s

    def reaches(self, source: str, target: str) -> bool:
        """Whether messages pass between two data centres."""
        return (source in self._isolated) == (target in self._isolated)

    def disconnect(self, data_centres: Iterable[str]) -> None:
        """Disconnect these data centres from all others."""
        self._isolated |= set(data_centres)

    def reconnect(self, data_centres: Iterable[str]) -> None:
        """Connect these data centres to the others again."""
        self._isolated -= set(data_centres)
