"""Commits operators' changes, each by one compare-and-swap."""

import asyncio
import secrets
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any

from result import Err, Ok, Result

from amaranthtally.daemon.entry.change_store import BLOCK, ChangeStore, LogHead
from amaranthtally.daemon.entry.log_follower import LogFollower
from amaranthtally.daemon.entry.snapshots import SnapshotStore
from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.settings_state import SettingsState
from amaranthtally.daemon.supervision import Supervisor
from amaranthtally.platform import PlatformError
from amaranthtally.settings import (
    Change,
    Difference,
    Mistake,
    Proposal,
    Scope,
    check_ops,
    differences,
    encode_change,
    find_overlap,
    undo_ops,
    with_previous_values,
)
from amaranthtally.settings.models import Served

__all__ = ["ChangeConflict", "ChangeRejected", "CommitError", "Committer"]

MAX_COMMIT_ATTEMPTS = 10
CHANGE_ID_BYTES = 8
MAX_CHANGE_BYTES = 900_000
MAX_HEAD_ATTEMPTS = 5
HEAD_PAUSE_S = 0.5

log = get_logger()


@dataclass(frozen=True, slots=True)
class ChangeConflict:
    """Another operator's change to the same keys was committed first."""

    winner: Change
    difference: tuple[Difference, ...]

    def __str__(self) -> str:
        return (
            f"change {self.winner.number} by {self.winner.who} came first "
            f"({self.winner.why!r}); look at the difference and send yours again"
        )


@dataclass(frozen=True, slots=True)
class ChangeRejected:
    """The change is invalid; nothing was written."""

    mistakes: tuple[Mistake, ...]

    def __str__(self) -> str:
        return "; ".join(map(str, self.mistakes))


CommitError = ChangeConflict | ChangeRejected | PlatformError


class Committer:
    """
    Validates proposals against the newest tree and writes them to the platform.

    ``served_models`` returns the models that each endpoint currently serves, as far as
    they are known.
    """

    def __init__(
        self,
        changes: ChangeStore,
        snapshots: SnapshotStore,
        state: SettingsState,
        follower: LogFollower,
        supervisor: Supervisor,
        served_models: Callable[[], Served] = dict,
    ) -> None:
        self._changes = changes
        self._snapshots = snapshots
        self._state = state
        self._follower = follower
        self._supervisor = supervisor
        self._served_models = served_models
        self._commit_lock = asyncio.Lock()
        self._last_snapshot_block = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def commit(self, proposal: Proposal) -> Result[Change, CommitError]:
        """
        Commit all values of a proposal, or none.

        A proposal with an old base revision is committed if no later change sets one of
        its keys at an overlapping scope (see ``find_overlap``); otherwise the result is
        ``ChangeConflict``. If a change with the proposal's id exists, it is returned.
        """
        base = proposal.revision
        async with self._commit_lock:
            for _ in range(MAX_COMMIT_ATTEMPTS):
                head_result = await self._read_newest()
                if isinstance(head_result, Err):
                    return head_result
                if base is None:
                    base = self._state.revision
                result = await self._attempt(proposal, base, head_result.ok_value)
                if isinstance(result, Err) or result.ok_value is not None:
                    break
        if isinstance(result, Err):
            log.warning("change_refused", who=proposal.who, cause=str(result.err_value))
            return result
        if result.ok_value is None:
            newest = self._state.change_log.retained_changes()[-1]
            return Err(ChangeConflict(newest, ()))
        return Ok(result.ok_value)

    async def undo(
        self, number: int, who: str, why: str
    ) -> Result[Change, CommitError]:
        """Commit a change that restores the values that change ``number`` replaced."""
        result = await self.find(number)
        if isinstance(result, Err):
            return result
        change = result.ok_value
        if change is None:
            detail = "no such change is kept; see 'amaranthtally audit'"
            return Err(_rejection("", f"change {number}", detail))
        for op in change.ops:
            if self._state.tree.get(Scope.parse(op.scope), op.key) != op.value:
                detail = f"has changed since change {number}; set it by hand"
                return Err(_rejection(op.scope, op.key, detail))
        revision = self._state.revision
        return await self.commit(Proposal(who, why, undo_ops(change), revision))

    async def find(self, number: int) -> Result[Change | None, PlatformError]:
        """Return a change by its number, from the platform if not in memory."""
        change = self._state.change_log.find(number)
        if change is not None:
            return Ok(change)
        return await self._changes.read_change(number)

    async def close(self) -> None:
        """Cancel the background tasks; a later commit or start repeats their work."""
        for task in list(self._tasks):
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task

    # One attempt

    async def _read_newest(self) -> Result[LogHead, PlatformError]:
        """
        Read the head and apply all changes up to it.

        An entry that was long disconnected from the platform may be at a revision
        whose next change has since been deleted as old. Writing that number would
        succeed and fork the log. The head shows the real end of the log.
        """
        head_result = await self._changes.read_head()
        if isinstance(head_result, Err):
            self._follower.note_result(head_result)
            return head_result
        caught_up = await self._follower.catch_up(head_result.ok_value)
        return caught_up if isinstance(caught_up, Err) else head_result

    async def _attempt(
        self, proposal: Proposal, base: int, head: LogHead
    ) -> Result[Change | None, CommitError]:
        """Return the change; ``Ok(None)`` if another change has taken its number."""
        existing = self._find_by_id(proposal.id)
        if existing is not None:
            return Ok(existing)
        error = await self._check(proposal, base)
        if error is not None:
            return Err(error)
        change = self._build_change(proposal)
        if len(encode_change(change)) > MAX_CHANGE_BYTES:
            return Err(_rejection("", "the batch", "is too large; split it"))
        written = await self._changes.write_change(change)
        if isinstance(written, Err):
            return written
        stored = written.ok_value
        self._state.apply_changes([stored], "commit")
        if stored.id != change.id:
            return Ok(None)
        log.info("change_committed", number=change.number, id=change.id, who=change.who)
        await self._advance_head(change, head)
        return Ok(change)

    async def _check(self, proposal: Proposal, base: int) -> CommitError | None:
        if not proposal.ops:
            return _rejection("", "the batch", "is empty; give at least one value")
        if base > self._state.revision:
            detail = f"revision {base} is ahead of the log; read the settings again"
            return _rejection("", "the batch", detail)
        later_changes = await self._changes_after(base)
        if isinstance(later_changes, Err):
            return later_changes.err_value
        winner = find_overlap(proposal.ops, later_changes.ok_value)
        if winner is not None:
            return ChangeConflict(winner, tuple(differences(proposal.ops, winner)))
        mistakes = check_ops(self._state.tree, proposal.ops, self._served_models())
        return ChangeRejected(tuple(mistakes)) if mistakes else None

    async def _changes_after(self, base: int) -> Result[list[Change], CommitError]:
        revision = self._state.revision
        if base + 1 >= self._state.change_log.oldest:
            changes_in_memory = (
                self._state.change_log.retained_changes() if base < revision else []
            )
            return Ok([change for change in changes_in_memory if change.number > base])
        if revision - base > BLOCK:
            detail = f"revision {base} is old; read the settings again"
            return Err(_rejection("", "the batch", detail))
        return await self._changes.read_changes(base, revision)

    def _find_by_id(self, change_id: str) -> Change | None:
        if not change_id:
            return None
        changes_in_memory = self._state.change_log.retained_changes()
        return next(
            (change for change in changes_in_memory if change.id == change_id), None
        )

    def _build_change(self, proposal: Proposal) -> Change:
        return Change(
            number=self._state.revision + 1,
            id=proposal.id or secrets.token_hex(CHANGE_ID_BYTES),
            who=proposal.who,
            when=datetime.now(UTC).isoformat(timespec="milliseconds"),
            why=proposal.why,
            ops=with_previous_values(self._state.tree, proposal.ops),
        )

    # After the commit

    async def _advance_head(self, change: Change, head: LogHead) -> None:
        advanced = await self._changes.advance_head(change, head)
        if isinstance(advanced, Err):
            self._spawn(self._retry_advance_head(change))
        block = change.number // BLOCK
        if block > self._last_snapshot_block:
            self._last_snapshot_block = block
            self._spawn(self._write_snapshot())

    async def _retry_advance_head(self, change: Change) -> None:
        for _ in range(MAX_HEAD_ATTEMPTS):
            await asyncio.sleep(HEAD_PAUSE_S)
            head_result = await self._changes.read_head()
            if isinstance(head_result, Err):
                continue
            advanced = await self._changes.advance_head(change, head_result.ok_value)
            if isinstance(advanced, Ok):
                return

    async def _write_snapshot(self) -> None:
        tree = self._state.tree
        written = await self._snapshots.write(tree)
        if isinstance(written, Err):
            log.warning("snapshot_failed", cause=str(written.err_value))
        elif written.ok_value:
            log.info("snapshot_written", revision=tree.revision)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._supervisor.spawn_call(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _rejection(scope: str, key: str, detail: str) -> ChangeRejected:
    return ChangeRejected((Mistake(scope, key, detail),))
