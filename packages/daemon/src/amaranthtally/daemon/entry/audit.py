"""Reads the audit trail: the kept changes, and older ones from the platform."""

from dataclasses import dataclass

from result import Err, Ok, Result

from amaranthtally.daemon.entry.change_store import BLOCK, ChangeStore
from amaranthtally.daemon.settings_state import SettingsState
from amaranthtally.platform import PlatformError
from amaranthtally.settings import Change

__all__ = ["AuditReader", "ChangeFilter"]

MAX_BLOCKS_READ = 20


@dataclass(frozen=True, slots=True)
class ChangeFilter:
    """Which changes are asked for; an empty field asks for any."""

    limit: int
    before: int = 0
    id: str = ""
    key: str = ""
    scope: str = ""
    who: str = ""

    def matches(self, change: Change) -> bool:
        """Whether the change is one of those asked for."""
        if self.before and change.number >= self.before:
            return False
        if self.id not in ("", change.id) or self.who not in ("", change.who):
            return False
        return any(
            self.key in ("", op.key) and self.scope in ("", op.scope)
            for op in change.ops
        )


class AuditReader:
    """Looks for changes, newest first."""

    def __init__(self, changes: ChangeStore, state: SettingsState) -> None:
        self._changes = changes
        self._state = state

    async def read(self, wanted: ChangeFilter) -> Result[list[Change], PlatformError]:
        """
        Return the newest changes that match.

        It looks at what this process keeps, then at a bounded number of older
        blocks on the platform: an id or a name that is rare is not looked for
        through the whole log.
        """
        log = self._state.change_log
        found = [c for c in reversed(log.retained_changes()) if wanted.matches(c)]
        last = log.oldest - 1
        if wanted.before:
            last = min(last, wanted.before - 1)
        for _ in range(MAX_BLOCKS_READ):
            if len(found) >= wanted.limit or last < 1:
                break
            after = max(0, last // BLOCK * BLOCK - 1)
            older = await self._changes.read_changes(after, last)
            if isinstance(older, Err):
                return older
            found += [c for c in reversed(older.ok_value) if wanted.matches(c)]
            last = after
        return Ok(found[: wanted.limit])
