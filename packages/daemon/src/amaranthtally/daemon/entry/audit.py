"""Reads the audit trail: changes in memory, and older ones from the platform."""

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
    """Criteria that a change must match; an empty field matches any change."""

    limit: int
    before: int = 0
    id: str = ""
    key: str = ""
    scope: str = ""
    who: str = ""

    def matches(self, change: Change) -> bool:
        """Whether a change matches all criteria."""
        if self.before and change.number >= self.before:
            return False
        if self.id not in ("", change.id) or self.who not in ("", change.who):
            return False
        return any(
            self.key in ("", op.key) and self.scope in ("", op.scope)
            for op in change.ops
        )


class AuditReader:
    """Searches for changes, newest first."""

    def __init__(self, changes: ChangeStore, state: SettingsState) -> None:
        self._changes = changes
        self._state = state

    async def read(self, criteria: ChangeFilter) -> Result[list[Change], PlatformError]:
        """
        Return the newest changes that match, at most ``criteria.limit``.

        The search covers the changes in memory, then a bounded number of older blocks
        on the platform. It does not scan the whole log for criteria that rarely match.
        """
        log = self._state.change_log
        matching = [c for c in reversed(log.retained_changes()) if criteria.matches(c)]
        last = log.oldest - 1
        if criteria.before:
            last = min(last, criteria.before - 1)
        for _ in range(MAX_BLOCKS_READ):
            if len(matching) >= criteria.limit or last < 1:
                break
            after = max(0, last // BLOCK * BLOCK - 1)
            older = await self._changes.read_changes(after, last)
            if isinstance(older, Err):
                return older
            matching += [c for c in reversed(older.ok_value) if criteria.matches(c)]
            last = after
        return Ok(matching[: criteria.limit])
