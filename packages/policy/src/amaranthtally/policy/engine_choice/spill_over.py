"""How far from home an entry looks for an engine, by how full the nearer ones are."""

from enum import IntEnum
from math import exp

__all__ = ["Level", "SpillOver"]

# Time constant with which an entry follows what it sees, in seconds. Views of other
# entries' calls lag by up to a third of this: entries that followed at once would all
# move to another region and back.
FOLLOW_S = 1.0
MAX_POOLS = 1_024


class Level(IntEnum):
    """How far an engine is from the entry."""

    DATA_CENTRE = 0
    REGION = 1
    REMOTE = 2

    @property
    def label(self) -> str:
        """The name in logs and metrics."""
        return self.name.lower()


class _Fullness:
    """The smoothed probability that the best engine of one level is late."""

    __slots__ = ("at", "share")

    def __init__(self) -> None:
        self.at = 0.0
        self.share = 0.0


class SpillOver:
    """
    The share of an entry's requests that look beyond each level, by pool.

    It is the smoothed probability that the best engine found at a level makes its
    request or the streams there late. It falls as slowly as it rises.
    """

    def __init__(self) -> None:
        self._levels: dict[tuple[str, Level], _Fullness] = {}

    def share_beyond(self, pool: str, level: Level) -> float:
        """Return the share of requests that look beyond a level, from 0 to 1."""
        fullness = self._levels.get((pool, level))
        return 0.0 if fullness is None else fullness.share

    def note(self, now: float, pool: str, level: Level, late_share: float) -> None:
        """Note how probably the best engine of a level is late for a request."""
        key = (pool, level)
        fullness = self._levels.get(key)
        if fullness is None:
            if late_share <= 0.0:
                return
            if len(self._levels) >= MAX_POOLS * len(Level):
                del self._levels[next(iter(self._levels))]
            fullness = self._levels[key] = _Fullness()
            fullness.at = now - FOLLOW_S / 2
        weight = 1.0 - exp(-max(0.0, now - fullness.at) / FOLLOW_S)
        fullness.share += weight * (late_share - fullness.share)
        fullness.at = now
