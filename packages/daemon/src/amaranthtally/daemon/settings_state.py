"""The settings in force in this process; the same for both roles."""

import asyncio
from collections.abc import Callable, Iterable

import msgspec
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
    Takes changes from wherever they come and tells whoever listens.

    The revision only rises: what is older than the tree in force is passed over.
    """

    def __init__(self) -> None:
        self._log = ChangeLog()
        self._listeners: list[Callable[[Tree], None]] = []
        self._loaded = asyncio.Event()

    @property
    def change_log(self) -> ChangeLog:
        """The changes known here."""
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
        """Set once the settings have been read, from the platform or a peer."""
        return self._loaded

    def add_listener(self, listener: Callable[[Tree], None]) -> None:
        """Call ``listener`` with each newer tree."""
        self._listeners.append(listener)

    # Moving forward

    def apply_changes(self, changes: Iterable[Change], source: str) -> None:
        """Put newer changes in force."""
        if self._log.apply_changes(changes):
            self._moved(source)

    def apply_tree(self, tree: Tree, source: str) -> None:
        """Put a newer snapshot in force."""
        if self._log.apply_tree(tree):
            self._moved(source)

    def apply_delta(self, gap: SettingsDelta, source: str) -> None:
        """Put in force what a peer sent."""
        try:
            moved = self._log.apply_delta(
                ChangeDelta(gap.revision, gap.changes, gap.snapshot)
            )
        except (msgspec.DecodeError, ValueError) as error:
            log.error("settings_gap_unreadable", source=source, cause=str(error))
            return
        if moved:
            self._moved(source)

    def changes_since(self, revision: int) -> SettingsDelta:
        """Return what a peer at ``revision`` lacks."""
        gap = self._log.delta_since(revision)
        return SettingsDelta(gap.revision, gap.changes, gap.snapshot)

    def _moved(self, source: str) -> None:
        revision_gauge.set({}, self.revision)
        for listener in self._listeners:
            listener(self.tree)
        log.info("settings_in_force", revision=self.revision, source=source)
