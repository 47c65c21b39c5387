"""The other live entries, as those that share duties and pass on news."""

from collections.abc import Iterable
from itertools import islice
from random import Random

from amaranthtally.policy.pool_sites import Peer
from amaranthtally.policy.rendezvous import rendezvous_weight

__all__ = ["PeerGroup"]

# Number of peers to which each entry passes news on. In a fleet of any size, news that
# all pass on once reaches all but a few entries in a handful of steps.
FANOUT = 8
# Interval at which what is known is sent to a few peers again, in seconds: news may be
# lost with a connection, and entries start at any time.
REPEAT_INTERVAL_S = 0.5
REPEAT_FANOUT = 2
# Expected number of entries that send what they know to one that has just started.
JOIN_SENDERS = 4
# How long an entry that did not answer has no duties, in seconds.
PAUSE_S = 3.0


class PeerGroup:
    """
    An entry and the other live ones; time stamps in seconds.

    Each duty belongs to the first entry in the rank by hash for its key, which all find
    without communicating.
    """

    def __init__(self) -> None:
        self._random = Random(0)
        self._name = ""
        self._names: tuple[str, ...] = ()
        # The other entries that are yet to be sent to in this turn.
        self._turn: list[str] = []
        self._newcomers: tuple[str, ...] = ()
        self._paused_until: dict[str, float] = {}
        self._is_leaving = False
        self._ranked: dict[str, tuple[str, ...]] = {}
        self._changed_at: float | None = None

    @property
    def name(self) -> str:
        """Name of the entry itself."""
        return self._name

    @property
    def random(self) -> Random:
        """Draws for what is shared with other entries; no two entries draw alike."""
        return self._random

    @property
    def size(self) -> int:
        """Number of live entries, this one included."""
        return len(self._names) + 1

    @property
    def newcomers(self) -> tuple[str, ...]:
        """Entries that the last change added, to be sent what is known here."""
        return self._newcomers

    def set_name(self, name: str) -> None:
        """Set this entry's name."""
        if name != self._name:
            self._ranked.clear()
            self._random = Random(name)
        self._name = name

    def replace(self, now: float, peers: Iterable[Peer]) -> bool:
        """Replace the set of other live entries; return whether it has changed."""
        names = tuple(peer.name for peer in peers if peer.name != self._name)
        before = set(self._names)
        if set(names) == before:
            return False
        share = JOIN_SENDERS / max(1, len(names))
        added = (name for name in names if name not in before)
        self._newcomers = tuple(n for n in added if self._random.random() < share)
        self._names = names
        self._turn.clear()
        self._ranked.clear()
        self._changed_at = now
        return True

    def leave(self) -> None:
        """Take on no more duties, as this entry is shutting down."""
        self._is_leaving = True

    def note_failure(self, now: float, peer: str) -> None:
        """Give the duties of an entry that did not answer to others for a while."""
        self._paused_until[peer] = now + PAUSE_S
        self._changed_at = now

    def changed_at(self, now: float) -> float:
        """Return when the entries with duties last changed, ``now`` if never."""
        if self._changed_at is None:
            self._changed_at = now
        return self._changed_at

    def ranked(self, key: str) -> tuple[str, ...]:
        """Return all live entries in the rank for a key."""
        ranked = self._ranked.get(key)
        if ranked is None:
            names = [*self._names, self._name]
            names.sort(key=lambda name: rendezvous_weight(name, key))
            ranked = self._ranked[key] = tuple(names)
        return ranked

    def responsible(self, now: float, key: str) -> str:
        """Return the entry that has a duty, "" for this one."""
        first = self.first(now, key, 1)[0]
        return "" if first == self._name else first

    def first(self, now: float, key: str, count: int) -> tuple[str, ...]:
        """Return the entries that share a duty, this one if no other takes it on."""
        able = (name for name in self.ranked(key) if self._takes_on(now, name))
        return tuple(islice(able, count)) or (self._name,)

    def _takes_on(self, now: float, name: str) -> bool:
        if name == self._name:
            return not self._is_leaving
        return now >= self._paused_until.get(name, 0.0)

    def receivers(self) -> tuple[str, ...]:
        """Return the peers to which news is passed on."""
        return self._sample(FANOUT)

    def repeat_receivers(self) -> tuple[str, ...]:
        """Return the peers to which what is known is sent again."""
        return self._sample(REPEAT_FANOUT)

    def next_receivers(self, count: int) -> tuple[str, ...]:
        """Return the peers whose turn it is; each has one before any has another."""
        if len(self._names) <= count:
            return self._names
        chosen, self._turn = self._turn[:count], self._turn[count:]
        if len(chosen) < count:
            missing = count - len(chosen)
            others = [name for name in self._names if name not in chosen]
            chosen += self._random.sample(others, missing)
            self._turn = [name for name in self._names if name not in chosen[-missing:]]
            self._random.shuffle(self._turn)
        return tuple(chosen)

    def _sample(self, count: int) -> tuple[str, ...]:
        if len(self._names) <= count:
            return self._names
        return tuple(self._random.sample(self._names, count))
