"""The groups of entries that share one relay."""

from collections.abc import Callable, Iterable

from amaranthtally.policy.peer_group import PAUSE_S
from amaranthtally.policy.pool_sites import Peer
from amaranthtally.policy.rendezvous import duty_weight, rendezvous_weight

__all__ = ["EntryGroups"]

# Highest number of entries of a group. A relay answers as many calls in each interval;
# in the largest region there are then as many groups as a group has members.
MAX_MEMBERS = 16
MEMBER_DUTY = "load view"


class EntryGroups:
    """
    Assigns the live entries to groups, and finds each group's relay.

    All entries with the same list of live ones find the same groups and relays. The
    relay is the first of the group's ranking that answers.
    """

    def __init__(self) -> None:
        self._name = ""
        self._data_centre = ""
        self._peers: dict[str, str] = {}
        self._region_of: Callable[[str], str] = str
        # The members of each group, in the order in which they become its relay.
        self._members: dict[str, list[str]] = {}
        self._regions: dict[str, str] = {}
        self._own = ""
        self._paused_until: dict[str, float] = {}

    @property
    def own_group(self) -> str:
        """Name of this entry's group."""
        return self._own

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all groups."""
        return tuple(self._members)

    def configure(
        self, name: str, data_centre: str, region_of: Callable[[str], str]
    ) -> None:
        """Set the entry itself, and what finds the region of a data centre."""
        self._name = name
        self._data_centre = data_centre
        self._region_of = region_of
        self._assign()

    def replace(self, peers: Iterable[Peer]) -> None:
        """Replace the set of the other live entries."""
        self._peers = {p.name: p.data_centre for p in peers if p.name != self._name}
        paused = self._paused_until.items()
        self._paused_until = {n: t for n, t in paused if n in self._peers}
        self._assign()

    def note_failure(self, now: float, peer: str) -> None:
        """Ask another entry for a while, as this one did not answer."""
        self._paused_until[peer] = now + PAUSE_S

    def note_answer(self, peer: str) -> None:
        """Give its duties back to an entry that has shown that it is alive."""
        self._paused_until.pop(peer, None)

    def region_of_group(self, group: str) -> str:
        """Return the region of a group."""
        return self._regions[group]

    def relay(self, now: float, group: str) -> str:
        """Return the relay of a group, "" if it is this entry, or none answers."""
        for name in self._members.get(group, ()):
            if name == self._name:
                return ""
            if now >= self._paused_until.get(name, 0.0):
                return name
        return ""

    def calls_first(self, peer: str) -> bool:
        """Whether this entry is the one of two relays that calls the other."""
        own = duty_weight(self._name, MEMBER_DUTY)
        return own < duty_weight(peer, MEMBER_DUTY)

    def _assign(self) -> None:
        by_region: dict[str, list[str]] = {}
        everyone = {**self._peers, self._name: self._data_centre}
        for name, data_centre in everyone.items():
            by_region.setdefault(self._region_of(data_centre), []).append(name)
        self._members = {}
        for region, names in by_region.items():
            names.sort(key=lambda name: duty_weight(name, MEMBER_DUTY))
            count = -(-len(names) // MAX_MEMBERS)
            for index in range(count):
                first, end = (i * len(names) // count for i in (index, index + 1))
                group = f"{region}/{index}"
                self._members[group] = _ranked(names[first:end], group)
                self._regions[group] = region
                if self._name in self._members[group]:
                    self._own = group


def _ranked(names: list[str], group: str) -> list[str]:
    return sorted(names, key=lambda name: rendezvous_weight(name, group))
