"""Runs the entries, keeps their records, and distributes changes to the entries."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from amaranthtally.policy import Peer, PieceCoordinator, PolicySettings
from amaranthtally.simulator.clock import VirtualClock
from amaranthtally.simulator.entries import Entry

__all__ = ["RECORD_TTL_S", "ManagedEntry", "EntryManager"]

# Time until the record of a killed entry expires, and until entries are notified of
# changed records or settings, in seconds.
RECORD_TTL_S = 6.0
NOTIFY_DELAY_S = 0.02
# Time limit for a stopping entry to finish its requests, and the interval at which this
# is checked, in seconds.
DRAIN_TIMEOUT_S = 6.0
DRAIN_POLL_S = 0.05


class ManagedEntry(NamedTuple):
    """An entry and the piece coordinator of its planner."""

    entry: Entry
    coordinator: PieceCoordinator


class EntryManager:
    """
    Starts, stops and kills the entries of a deployment.

    ``start`` creates an entry from its name and data centre; ``build_settings`` returns
    the current settings for both.
    """

    def __init__(
        self,
        clock: VirtualClock,
        data_centres: dict[str, str],
        start: Callable[[str, str], ManagedEntry],
        build_settings: Callable[[str, str], PolicySettings],
    ) -> None:
        self._clock = clock
        self._data_centres = data_centres
        self._start = start
        self._build_settings = build_settings
        self._entries: dict[str, ManagedEntry] = {}
        self._records: dict[str, Peer] = {}
        for name in data_centres:
            self._launch(name)
        self._publish_peers()

    @property
    def names(self) -> list[str]:
        """The names of all entries, running or not."""
        return list(self._data_centres)

    def __getitem__(self, name: str) -> Entry:
        return self._entries[name].entry

    def __iter__(self) -> Iterator[Entry]:
        return (managed.entry for managed in self._entries.values())

    def running(self, name: str) -> Entry | None:
        """Return a running entry, ``None`` if the entry is down."""
        managed = self._entries.get(name)
        return (
            managed.entry if managed is not None and managed.entry.is_running else None
        )

    def accepting(self) -> list[ManagedEntry]:
        """Return the running entries that accept callers."""
        return [
            managed
            for managed in self._entries.values()
            if managed.entry.is_running and not managed.entry.leaving
        ]

    # Lifecycle

    def start(self, name: str) -> None:
        """Start an entry that is down, with empty state."""
        if not self[name].is_running:
            self._launch(name)
            self._records_changed()

    def stop(self, name: str, downtime_s: float) -> None:
        """Drain and stop an entry, and restart it ``downtime_s`` later."""
        entry = self[name]
        if not entry.is_running:
            return
        entry.leave()
        self._remove_record(name)
        self._end_when_idle(entry, self._clock.now + DRAIN_TIMEOUT_S, downtime_s)

    def kill(self, name: str) -> None:
        """Kill an entry; its record expires later."""
        entry = self[name]
        if not entry.is_running:
            return
        entry.kill()

        def expire() -> None:
            if self[name] is entry:
                self._remove_record(name)

        self._clock.after(RECORD_TTL_S, expire)

    def _launch(self, name: str) -> None:
        data_centre = self._data_centres[name]
        self._entries[name] = self._start(name, data_centre)
        self._records[name] = Peer(name, data_centre)

    def _end_when_idle(self, entry: Entry, end: float, downtime_s: float) -> None:
        if entry.in_flight and self._clock.now < end:
            self._clock.after(
                DRAIN_POLL_S, lambda: self._end_when_idle(entry, end, downtime_s)
            )
            return
        entry.kill()
        self._clock.after(downtime_s, lambda: self.start(entry.name))

    # Notifications

    def disconnect_store(self, name: str) -> None:
        """Stop notifications to an entry."""
        self[name].is_store_disconnected = True

    def reconnect_store(self, name: str) -> None:
        """Resume notifications to an entry, and send the current state."""
        self[name].is_store_disconnected = False
        self._publish_peers()
        self._publish_settings()

    def settings_changed(self) -> None:
        """Notify all entries of newer settings."""
        self._clock.after(NOTIFY_DELAY_S, self._publish_settings)

    def _remove_record(self, name: str) -> None:
        self._records.pop(name, None)
        self._records_changed()

    def _records_changed(self) -> None:
        self._clock.after(NOTIFY_DELAY_S, self._publish_peers)

    def _publish_peers(self) -> None:
        peers = list(self._records.values())
        for entry in self:
            if not entry.is_store_disconnected:
                entry.peers_changed(peers)

    def _publish_settings(self) -> None:
        for entry in self:
            if not entry.is_store_disconnected:
                entry.settings_changed(
                    self._build_settings(entry.name, entry.data_centre)
                )
