"""Follows the log of settings changes on the platform."""

import asyncio
from random import uniform

from aioprometheus import Gauge
from result import Err, Ok, Result

from amaranthtally.daemon.entry.change_store import BLOCK, ChangeStore, LogHead
from amaranthtally.daemon.entry.snapshots import SnapshotStore
from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.settings_state import SettingsState
from amaranthtally.platform import PlatformError

__all__ = ["LogFollower"]

WATCH_WAIT_S = 30.0
RETRY_MIN_S = 0.25
RETRY_MAX_S = 2.0
SOURCE = "platform"

log = get_logger()
connected_gauge = Gauge(
    "amaranthtally_platform_connected", "1 while the platform answers."
)


class LogFollower:
    """Applies the changes in the platform's log to this process's settings."""

    def __init__(
        self, changes: ChangeStore, snapshots: SnapshotStore, state: SettingsState
    ) -> None:
        self._changes = changes
        self._snapshots = snapshots
        self._state = state
        self._first_read_done = asyncio.Event()
        self._connected: bool | None = None

    @property
    def first_read_done(self) -> asyncio.Event:
        """Set after the first read from the platform, successful or not."""
        return self._first_read_done

    @property
    def connected(self) -> bool:
        """Whether the last call to the platform succeeded."""
        return bool(self._connected)

    def distrust_connection(self) -> None:
        """Count as not connected until the platform has answered once more."""
        self._connected = None
        connected_gauge.set({}, 0)
        # Those that wait for the first read load the settings from elsewhere.
        self._first_read_done.set()

    async def follow(self) -> None:
        """Read the log, then watch its head, until cancelled."""
        known_head = LogHead(0)
        pause = RETRY_MIN_S
        while True:
            result = await self._step(known_head)
            self.note_result(result)
            if isinstance(result, Ok):
                known_head = result.ok_value
                pause = RETRY_MIN_S
                # Do not watch an absent head: the watch would end at each write to any
                # key.
                if known_head.number:
                    continue
            # The random pause keeps all entries from calling a recovered platform at
            # once.
            await asyncio.sleep(pause * uniform(0.5, 1.0))
            if isinstance(result, Err):
                pause = min(RETRY_MAX_S, pause * 2)

    async def catch_up(self, head: LogHead) -> Result[None, PlatformError]:
        """Apply every change up to the head."""
        revision = self._state.revision
        if head.number <= revision:
            return Ok(None)
        if head.change is not None and head.number == revision + 1:
            self._state.apply_changes([head.change], SOURCE)
            return Ok(None)
        if head.number - revision > BLOCK:
            snapshot = await self._snapshots.read()
            if isinstance(snapshot, Err):
                return snapshot
            if snapshot.ok_value is not None:
                self._state.apply_tree(snapshot.ok_value, "snapshot")
        changes = await self._changes.read_changes(self._state.revision, head.number)
        if isinstance(changes, Err):
            return changes
        self._state.apply_changes(changes.ok_value, SOURCE)
        return Ok(None)

    def note_result(self, result: Result[LogHead, PlatformError]) -> None:
        """Record whether a call to the platform succeeded, here or in a commit."""
        connected = isinstance(result, Ok)
        if connected:
            self._state.loaded.set()
        if connected != self._connected:
            if isinstance(result, Err):
                log.warning("platform_lost", cause=str(result.err_value))
            else:
                log.info("platform_connected", revision=self._state.revision)
            connected_gauge.set({}, int(connected))
        self._connected = connected
        self._first_read_done.set()

    async def _step(self, known_head: LogHead) -> Result[LogHead, PlatformError]:
        if known_head.number and self._connected:
            result = await self._changes.watch_head(known_head.index, WATCH_WAIT_S)
        else:
            result = await self._changes.read_head()
        if isinstance(result, Err):
            return result
        head = result.ok_value
        caught_up = await self.catch_up(head)
        if isinstance(caught_up, Err):
            return caught_up
        if head.index == known_head.index or not self._connected:
            past_head_result = await self._read_past_head(head)
            if isinstance(past_head_result, Err):
                return past_head_result
        return Ok(head)

    async def _read_past_head(self, head: LogHead) -> Result[None, PlatformError]:
        """
        Apply changes after the head, and advance the head to the last one.

        If an entry dies after it has written a change and before it has advanced the
        head, no watch reports the change, and it would have no effect until the next
        one is committed. The first entry that finds the change advances the head.
        """
        while True:
            result = await self._changes.read_change(self._state.revision + 1)
            if isinstance(result, Err):
                return result
            if result.ok_value is None:
                break
            self._state.apply_changes([result.ok_value], SOURCE)
        newest = self._state.change_log.find(self._state.revision)
        if newest is None:
            return Ok(None)
        return await self._changes.advance_head(newest, head)
