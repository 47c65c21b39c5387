"""Holds the settings in force in this process; entries and sidecars use it."""

import asyncio
from collections.abc import Callable, Iterable

from aioprometheus import Gauge

from amaranthtally.daemon.logs import get_logger
from amaranthtally.settings import Change, ChangeDelta, ChangeLog, Tree
from amaranthtally.wire import SettingsDelta

__all__ = ["SettingsState"]

log = get_logger()
revision_gauge = Gauge(
    "amaranthtally_settings_revision", "Revision of the settings in force."
)


class SettingsState:
    """
    Applies changes from the platform, peers and commits, and notifies listeners.

    The revision never decreases: data older than the tree in force is ignored.
    """

    def __init__(self) -> None:
        self._log = ChangeLog()
        self._listeners: list[Callable[[Tree], None]] = []
        self._loaded = asyncio.Event()

    @property
    def change_log(self) -> ChangeLog:
        """The tree in force with the newest changes."""
        return self._log

    @property
    def tree(self) -> Tree:
        """The tree in force."""
        return self._log.tree

    @property
    def revision(self) -> int:
        """Revision of the tree in force."""
        return self._log.revision

    @property
    def loaded(self) -> asyncio.Event:
        """Set once initial settings have been read from the platform or a peer."""
        return self._loaded

    def add_listener(self, listener: Callable[[Tree], None]) -> None:
        """Call ``listener`` with every newer tree that comes into force."""
        self._listeners.append(listener)

    # Applying newer settings

    def apply_changes(self, changes: Iterable[Change], source: str) -> None:
        """Put the changes that follow the current revision in force."""
        if self._log.apply_changes(changes):
            self._notify(source)

    def apply_tree(self, tree: Tree, source: str) -> None:
        """Put the tree of a snapshot in force if it is newer."""
        if self._log.apply_tree(tree):
            self._notify(source)

    def apply_delta(self, delta: SettingsDelta, source: str) -> None:
        """Put the settings in a peer's delta in force as far as they are newer."""
        try:
            is_newer = self._log.apply_delta(
                ChangeDelta(delta.revision, delta.changes, delta.snapshot)
            )
        except ValueError as error:
            log.error("settings_gap_unreadable", source=source, cause=str(error))
            return
        if is_newer:
            self._notify(source)

    def changes_since(self, revision: int) -> SettingsDelta:
        """Return the settings that a peer at ``revision`` is missing."""
        delta = self._log.delta_since(revision)
        return SettingsDelta(delta.revision, delta.changes, delta.snapshot)

    def _notify(self, source: str) -> None:
        revision_gauge.set({}, self.revision)
        errors = [
            error
            for listener in self._listeners
            if (error := _error_of(listener, self.tree)) is not None
        ]
        log.info("settings_in_force", revision=self.revision, source=source)
        if errors:
            raise errors[0]


def _error_of(listener: Callable[[Tree], None], tree: Tree) -> Exception | None:
    """Call a listener; return its exception, so that the others are called, too."""
    try:
        listener(tree)
    except Exception as error:
        return error
    return None
