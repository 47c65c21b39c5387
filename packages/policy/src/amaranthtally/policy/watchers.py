"""Which entries watch the registry, and which watchers another entry follows."""

from collections.abc import Mapping
from math import ceil

from amaranthtally.policy.rendezvous import (
    duty_weight,
    rendezvous_weight,
    ring_successor,
)

__all__ = [
    "WatcherSelection",
    "elect_deputies",
    "elect_watchers",
    "ring_neighbours",
]

# Number of entries of a data centre for each watcher in it. A watcher answers two small
# calls a second for each follower.
ENTRIES_PER_WATCHER = 12
# Least number of watchers, so that the followers of one that fails have others to ask.
MIN_WATCHERS = 3
# How long a watcher that failed or lost the registry is ranked behind the others, in
# seconds. It is asked again earlier if no other watcher answers.
FAILED_PAUSE_S = 3.0
# The same for a deputy that does not watch yet, in seconds.
DEPUTY_PAUSE_S = 0.2
# How long an answer of a watcher counts as contact with the registry, in seconds, from
# when it was asked: two intervals between the calls to it.
CONTACT_TTL_S = 2.0
ELECTION_KEY = "registry"


def elect_watchers(data_centres: Mapping[str, str]) -> frozenset[str]:
    """
    Return the names of the watchers among entries, given the data centre of each.

    Entries that know the same entries elect the same watchers without communicating.
    While they disagree, more entries watch than necessary, or some follow an entry that
    does not watch, which they learn from its answer.
    """
    return _elect(data_centres, 0)


def elect_deputies(data_centres: Mapping[str, str]) -> frozenset[str]:
    """
    Return the names of the entries that watch first once all watchers are silent.

    There are at most as many as watchers. The other entries follow them, so that a loss
    of all watchers does not bring every entry to the registry at the same time.
    """
    return _elect(data_centres, 1)


def _elect(data_centres: Mapping[str, str], turn: int) -> frozenset[str]:
    """Return those with the lowest weights in each data centre, or the ones after."""
    by_data_centre: dict[str, list[str]] = {}
    for name, data_centre in data_centres.items():
        by_data_centre.setdefault(data_centre, []).append(name)
    least = ceil(MIN_WATCHERS / max(1, len(by_data_centre)))
    elected: set[str] = set()
    for names in by_data_centre.values():
        count = max(least, ceil(len(names) / ENTRIES_PER_WATCHER))
        names.sort(key=lambda name: duty_weight(name, ELECTION_KEY))
        elected.update(names[turn * count : (turn + 1) * count])
    return frozenset(elected)


def ring_neighbours(
    name: str, data_centre: str, data_centres: Mapping[str, str]
) -> tuple[str, ...]:
    """
    Return the successors of an entry among the others, given the data centre of each.

    One follows it in the ring of its data centre, one in the ring of all entries. Each
    entry thus has few neighbours however many entries there are, and each is greeted by
    some, so that one that starts while the registry rejects it is known to them.
    """
    near = [other for other in data_centres if data_centres[other] == data_centre]
    successors = (ring_successor(name, near), ring_successor(name, data_centres))
    return tuple(dict.fromkeys(other for other in successors if other))


class WatcherSelection:
    """
    Ranks the watchers for one entry, and tracks its contact with them.

    An entry is in contact with the registry through a watcher for ``CONTACT_TTL_S``
    after each call that the watcher answered by saying that the registry answers it.
    Without such contact the entry has to watch the registry itself. Times are time
    stamps in seconds, on a clock that goes on while the entry stands still.
    """

    def __init__(self, name: str, data_centre: str, regions: Mapping[str, str]) -> None:
        self._name = name
        self._data_centre = data_centre
        self._regions = regions
        self._is_elected = True
        self._deputies: frozenset[str] = frozenset()
        self._ranked: tuple[str, ...] = ()
        self._failed_until: dict[str, float] = {}
        # Deputies that do not watch yet.
        self._idle_until: dict[str, float] = {}
        self._followed = ""
        self._contact_until = 0.0

    @property
    def is_elected(self) -> bool:
        """Whether this entry is one of the watchers."""
        return self._is_elected

    @property
    def is_deputy(self) -> bool:
        """Whether this entry watches first once all watchers are silent."""
        return self._name in self._deputies

    @property
    def deputies(self) -> frozenset[str]:
        """The entries that watch first once all watchers are silent."""
        return self._deputies

    @property
    def followed(self) -> str:
        """The watcher whose changes this entry accepts; empty if there is none."""
        return self._followed

    def has_contact(self, now: float) -> bool:
        """Whether a followed watcher recently had contact with the registry."""
        return bool(self._followed) and now < self._contact_until

    def replace_entries(self, data_centres: Mapping[str, str]) -> None:
        """Elect the watchers among the other live entries and this one."""
        everyone = {**data_centres, self._name: self._data_centre}
        elected = elect_watchers(everyone)
        self._is_elected = self._name in elected
        self._deputies = elect_deputies(everyone)
        # Watchers have no need of deputies.
        others = elected if self._is_elected else elected | self._deputies
        others -= {self._name}
        self._ranked = tuple(
            sorted(others, key=lambda name: self._rank(name, data_centres[name]))
        )
        self._failed_until = {
            name: until for name, until in self._failed_until.items() if name in others
        }
        self._idle_until.clear()
        if self._is_elected:
            self._followed = ""

    def candidates(self, now: float) -> tuple[str, ...]:
        """
        Return the watchers to ask, near ones first, then their deputies.

        Those that failed come last.
        """
        return tuple(
            sorted(
                self._ranked,
                key=lambda name: (
                    self._has_failed(now, name),
                    now < self._idle_until.get(name, 0),
                ),
            )
        )

    def has_candidates(self, now: float) -> bool:
        """Whether any watcher or deputy has not failed lately."""
        return not all(self._has_failed(now, name) for name in self._ranked)

    def note_answer(self, now: float, watcher: str, is_watching: bool) -> None:
        """Note whether a watcher that answered has contact with the registry."""
        if is_watching:
            self._failed_until.pop(watcher, None)
            self._idle_until.pop(watcher, None)
        elif watcher in self._deputies and watcher != self._followed:
            self._failed_until.pop(watcher, None)
            self._idle_until[watcher] = now + DEPUTY_PAUSE_S
        else:
            self.note_failure(now, watcher)

    def follow(self, sent_at: float, watcher: str) -> None:
        """Follow a watcher that is in touch with the registry, asked at ``sent_at``."""
        if watcher in self._ranked and not self._is_elected:
            self._followed = watcher
            self._contact_until = sent_at + CONTACT_TTL_S

    def note_failure(self, now: float, watcher: str) -> None:
        """Avoid a watcher that did not answer for a while, and stop following it."""
        self._failed_until[watcher] = now + FAILED_PAUSE_S
        if watcher == self._followed:
            self._followed = ""

    def _has_failed(self, now: float, name: str) -> bool:
        return now < self._failed_until.get(name, 0)

    def _rank(self, name: str, data_centre: str) -> tuple[bool, int, bytes]:
        # The hash spreads the entries over watchers that are equally far.
        weight = rendezvous_weight(name, self._name)
        is_deputy = name in self._deputies
        if data_centre == self._data_centre:
            return is_deputy, 0, weight
        is_near = self._region(data_centre) == self._region(self._data_centre)
        return is_deputy, (1 if is_near else 2), weight

    def _region(self, data_centre: str) -> str:
        return self._regions.get(data_centre, data_centre)
