"""Follows the log of changes on the platform."""

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
    """Keeps this process's settings up to date with the platform's log."""

    def __init__(
        self, changes: ChangeStore, snapshots: SnapshotStore, state: SettingsState
    ) -> None:
        self._changes = changes
        self._snapshots = snapshots
        self._state = state
        self._tried = asyncio.Event()
        self._connected: bool | None = None

    @property
    def tried(self) -> asyncio.Event:
        """Set once the platform has answered, or failed to, for the first time."""
        return self._tried

    @property
    def connected(self) -> bool:
        """Whether the platform answered the last time."""
        return bool(self._connected)

    async def follow(self) -> None:
        """Read the log, then watch its head, for as long as the process lives."""
        seen = LogHead(0)
        pause = RETRY_MIN_S
        while True:
            step = await self._step(seen)
            self.note(step)
            if isinstance(step, Ok):
                seen = step.ok_value
                pause = RETRY_MIN_S
                # A watch of an absent head would end at each write to any key.
                if seen.number:
                    continue
            # Spread out, so that a platform that comes back isn't met by all at once.
            await asyncio.sleep(pause * uniform(0.5, 1.0))
            if isinstance(step, Err):
                pause = min(RETRY_MAX_S, pause * 2)

    async def catch_up(self, head: LogHead) -> Result[None, PlatformError]:
        """Take every change up to the head."""
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

    def note(self, step: Result[LogHead, PlatformError]) -> None:
        """Take note of whether the platform answered, here or to a commit."""
        connected = isinstance(step, Ok)
        if connected:
            self._state.loaded.set()
        if connected != self._connected:
            if isinstance(step, Err):
                log.warning("platform_lost", cause=str(step.err_value))
            else:
                log.info("platform_connected", revision=self._state.revision)
            connected_gauge.set({}, int(connected))
        self._connected = connected
        self._tried.set()

    async def _step(self, seen: LogHead) -> Result[LogHead, PlatformError]:
        if seen.number and self._connected:
            found = await self._changes.watch_head(seen.index, WATCH_WAIT_S)
        else:
            found = await self._changes.read_head()
        if isinstance(found, Err):
            return found
        head = found.ok_value
        caught_up = await self.catch_up(head)
        if isinstance(caught_up, Err):
            return caught_up
        if head.index == seen.index or not self._connected:
            probed = await self._probe(head)
            if isinstance(probed, Err):
                return probed
        return Ok(head)

    async def _probe(self, head: LogHead) -> Result[None, PlatformError]:
        """
        Look beyond the head.

        An entry that dies between writing a change and naming it in the head
        leaves a change that no watch tells of: it would be in force nowhere until
        the next one. Whoever finds it here names it for all.
        """
        while True:
            found = await self._changes.read_change(self._state.revision + 1)
            if isinstance(found, Err):
                return found
            if found.ok_value is None:
                break
            self._state.apply_changes([found.ok_value], SOURCE)
        newest = self._state.change_log.find(self._state.revision)
        if newest is None:
            return Ok(None)
        return await self._changes.advance_head(newest, head)
