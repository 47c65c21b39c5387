"""The settings in force in this process, kept up to date from the platform."""

import asyncio
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from amaranthtally.daemon.logs import get_logger
from amaranthtally.platform import KeyValueClient, PlatformAnswerLost, PlatformError
from amaranthtally.settings import Change, SettingsView, Tree
from amaranthtally.wire import SettingsGap

__all__ = ["ChangeConflict", "SettingsStore"]

CHANGE_PREFIX = "changes/"
WATCH_WAIT_S = 30.0
RETRY_WAIT_S = 0.5
NUMBER_WIDTH = 9

log = get_logger()


class ChangeConflict(msgspec.Struct, frozen=True):
    """Another operator's change took the number first."""

    winner: Change

    def __str__(self) -> str:
        return (
            f"change {self.winner.number} by {self.winner.who} came first; "
            "look at the difference and send yours again"
        )


class SettingsStore:
    """
    The log of changes that this process knows, and the tree they make.

    The revision only rises.
    """

    def __init__(
        self, platform: KeyValueClient, on_change: Callable[[SettingsView], None]
    ) -> None:
        self._platform = platform
        self._on_change = on_change
        self._changes: list[Change] = []
        self._view = SettingsView(Tree())
        self._loaded = asyncio.Event()

    @property
    def view(self) -> SettingsView:
        """The settings in force."""
        return self._view

    @property
    def loaded(self) -> asyncio.Event:
        """Set once the settings have been read."""
        return self._loaded

    @property
    def history(self) -> list[Change]:
        """Every known change, oldest first."""
        return self._changes

    def changes_since(self, revision: int) -> SettingsGap:
        """Return the changes after ``revision``."""
        gap = [c for c in self._changes if c.number > revision]
        return SettingsGap(
            self._view.revision, tuple(msgspec.json.encode(c) for c in gap)
        )

    async def follow(self) -> None:
        """Read the log, then watch it, for as long as the process lives."""
        index = 0
        while True:
            found = await self._platform.watch(CHANGE_PREFIX, index, WATCH_WAIT_S)
            if isinstance(found, Err):
                log.warning("settings_watch_failed", cause=str(found.err_value))
                await asyncio.sleep(RETRY_WAIT_S)
                continue
            index = found.ok_value.index
            self._take(
                [
                    msgspec.json.decode(entry.value, type=Change)
                    for entry in found.ok_value.entries
                ]
            )
            self._loaded.set()

    async def commit(
        self, change: Change
    ) -> Result[Change, ChangeConflict | PlatformError]:
        """Write a change by compare-and-swap; one write is the commit point."""
        key = f"{CHANGE_PREFIX}{change.number:0{NUMBER_WIDTH}}"
        written = await self._platform.compare_and_swap(
            key, msgspec.json.encode(change), 0
        )
        if isinstance(written, Ok) and written.ok_value:
            self._take([change])
            return Ok(change)
        if isinstance(written, Err) and not isinstance(
            written.err_value, PlatformAnswerLost
        ):
            return written
        return await self._settle(key, change)

    async def _settle(
        self, key: str, change: Change
    ) -> Result[Change, ChangeConflict | PlatformError]:
        """Read back whose change took the number, ours or another's."""
        found = await self._platform.get(key)
        if isinstance(found, Err):
            return Err(PlatformAnswerLost(str(found.err_value)))
        if found.ok_value is None:
            return Err(PlatformAnswerLost("the change was not found on reading back"))
        stored = msgspec.json.decode(found.ok_value.value, type=Change)
        self._take([stored])
        if stored.id == change.id:
            return Ok(stored)
        return Err(ChangeConflict(stored))

    def _take(self, changes: list[Change]) -> None:
        tree = self._view.tree
        for change in sorted(changes, key=lambda c: c.number):
            if change.number == tree.revision + 1:
                tree = tree.fold(change)
                self._changes.append(change)
        if tree.revision == self._view.revision:
            return
        self._view = SettingsView(tree)
        log.info("settings_in_force", revision=tree.revision)
        self._on_change(self._view)
