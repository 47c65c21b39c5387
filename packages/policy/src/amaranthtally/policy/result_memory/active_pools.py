"""The pools whose endpoints report their speed, for which this package takes effect."""

__all__ = ["ActivePools"]


class ActivePools:
    """The names of pools of which an endpoint has reported its host's slowness."""

    def __init__(self) -> None:
        self._names: set[str] = set()

    def __contains__(self, pool: object) -> bool:
        return pool in self._names

    def __bool__(self) -> bool:
        return bool(self._names)

    def add(self, pool: str) -> None:
        """Add a pool; it stays active until the process ends."""
        self._names.add(pool)
