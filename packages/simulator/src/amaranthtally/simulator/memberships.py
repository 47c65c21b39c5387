"""Which entries run, which records of them there are, and who hears of changes."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from amaranthtally.policy import Peer, PieceCoordinator, PolicySettings
from amaranthtally.simulator.clock import VirtualClock
from amaranthtally.simulator.entries import Entry

__all__ = ["RECORD_S", "Member", "Membership"]

# How long an entry's record outlives its process, and how soon a change of records is
# heard, in seconds.
RECORD_S = 6.0
HEAR_S = 0.02
# How long a stopping entry goes on for the requests that it has, in seconds, and how
# often it is looked at.
LEAVING_S = 6.0
POLL_S = 0.05


class Member(NamedTuple):
    """An entry, and the part of its planner that has pieces made."""

    entry: Entry
    coordinator: PieceCoordinator


class Membership:
    """
    Starts, stops and kills the entries of a deployment.

    ``start`` makes an entry by its name and place; ``settings_of`` returns what an
    entry is to use now.
    """

    def __init__(
        self,
        clock: VirtualClock,
        places: dict[str, str],
        start: Callable[[str, str], Member],
        settings_of: Callable[[str, str], PolicySettings],
    ) -> None:
        self._clock = clock
        self._places = places
        self._start = start
        self._settings_of = settings_of
        self._members: dict[str, Member] = {}
        self._records: dict[str, Peer] = {}
        for name in places:
            self._begin(name)
        self._tell_peers()

    @property
    def names(self) -> list[str]:
        """Return the name of each entry, running or not."""
        return list(self._places)

    def __getitem__(self, name: str) -> Entry:
        return self._members[name].entry

    def __iter__(self) -> Iterator[Entry]:
        return (member.entry for member in self._members.values())

    def running(self, name: str) -> Entry | None:
        """Return an entry that runs."""
        member = self._members.get(name)
        return member.entry if member is not None and member.entry.up else None

    def taking(self) -> list[Member]:
        """Return the entries that take callers."""
        return [
            member
            for member in self._members.values()
            if member.entry.up and not member.entry.leaving
        ]

    # Starts and ends

    def start(self, name: str) -> None:
        """Start an entry that is down; it knows nothing."""
        if not self[name].up:
            self._begin(name)
            self._records_changed()

    def stop(self, name: str, away_s: float) -> None:
        """Stop an entry as planned, and start it again a while after its end."""
        entry = self[name]
        if not entry.up:
            return
        entry.leave()
        self._forget(name)
        self._end_when_idle(entry, self._clock.now + LEAVING_S, away_s)

    def kill(self, name: str) -> None:
        """Kill an entry; its record outlives it."""
        entry = self[name]
        if not entry.up:
            return
        entry.kill()

        def expire() -> None:
            if self[name] is entry:
                self._forget(name)

        self._clock.after(RECORD_S, expire)

    def _begin(self, name: str) -> None:
        place = self._places[name]
        self._members[name] = self._start(name, place)
        self._records[name] = Peer(name, place)

    def _end_when_idle(self, entry: Entry, end: float, away_s: float) -> None:
        if entry.in_flight and self._clock.now < end:
            self._clock.after(POLL_S, lambda: self._end_when_idle(entry, end, away_s))
            return
        entry.kill()
        self._clock.after(away_s, lambda: self.start(entry.name))

    # Who hears of what

    def cut_from_store(self, name: str) -> None:
        """Let an entry hear of no change."""
        self[name].is_cut_from_store = True

    def hear_store(self, name: str) -> None:
        """Let an entry hear of all that changed."""
        self[name].is_cut_from_store = False
        self._tell_peers()
        self._tell_settings()

    def settings_changed(self) -> None:
        """Let all entries hear of newer settings."""
        self._clock.after(HEAR_S, self._tell_settings)

    def _forget(self, name: str) -> None:
        self._records.pop(name, None)
        self._records_changed()

    def _records_changed(self) -> None:
        self._clock.after(HEAR_S, self._tell_peers)

    def _tell_peers(self) -> None:
        peers = list(self._records.values())
        for entry in self:
            if not entry.is_cut_from_store:
                entry.peers_changed(peers)

    def _tell_settings(self) -> None:
        for entry in self:
            if not entry.is_cut_from_store:
                entry.settings_changed(self._settings_of(entry.name, entry.place))
