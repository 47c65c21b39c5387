"""How much work each shared prefix brings, and thus how many engines hold it."""

from collections import OrderedDict
from math import exp

__all__ = ["MAX_HOLDERS", "PrefixDemand"]

# Most engines that hold one prefix. The index of cached prefixes keeps as many.
MAX_HOLDERS = 3
# Part of an engine's time that the prompts of one prefix may take before another engine
# holds it too. Beyond a half, its streams wait for prompts more than they run.
HOLDER_LOAD = 0.5
# Time constant of the observed demand, in seconds: a few requests of a busy session.
DEMAND_S = 5.0
MAX_PREFIXES = 4_096


class PrefixDemand:
    """The decayed rate at which this entry's requests bring work, by prefix."""

    def __init__(self) -> None:
        self._work_s: OrderedDict[str, tuple[float, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._work_s)

    def add(self, now: float, prefix: str, work_s: float) -> None:
        """Add the engine time that one request needs if its prefix is cached."""
        current = self._current(now, prefix)
        self._work_s[prefix] = (current + work_s, now)
        self._work_s.move_to_end(prefix)
        if len(self._work_s) > MAX_PREFIXES:
            self._work_s.popitem(last=False)

    def holders(self, now: float, prefix: str, entries: int) -> int:
        """
        Return how many engines hold a prefix.

        Each of the ``entries``, of which this is one, is assumed to get as many
        requests with the prefix.
        """
        load = self._current(now, prefix) / DEMAND_S * entries
        return min(MAX_HOLDERS, 1 + int(load / HOLDER_LOAD))

    def _current(self, now: float, prefix: str) -> float:
        work_s, at = self._work_s.get(prefix, (0.0, now))
        return work_s * exp(-max(0.0, now - at) / DEMAND_S)
