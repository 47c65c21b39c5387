"""Commits operators' changes: one compare-and-swap each."""

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

COMMIT_TRIES = 10
CHANGE_ID_BYTES = 8
MAX_CHANGE_BYTES = 900_000
HEAD_TRIES = 5
HEAD_PAUSE_S = 0.5

log = get_logger()


@dataclass(frozen=True, slots=True)
class ChangeConflict:
    """Another operator's change touched the same thing first."""

    winner: Change
    difference: tuple[Difference, ...]

    def __str__(self) -> str:
        return (
            f"change {self.winner.number} by {self.winner.who} came first "
            f"({self.winner.why!r}); look at the difference and send yours again"
        )


@dataclass(frozen=True, slots=True)
class ChangeRejected:
    """The change breaks a rule; nothing was written."""

    mistakes: tuple[Mistake, ...]

    def __str__(self) -> str:
        return "; ".join(map(str, self.mistakes))


CommitError = ChangeConflict | ChangeRejected | PlatformError


class Committer:
    """
    Checks proposals against the newest tree and writes them to the platform.

    ``served`` returns the models that endpoints are known to answer now.
    """

    def __init__(
        self,
        changes: ChangeStore,
        snapshots: SnapshotStore,
        state: SettingsState,
        follower: LogFollower,
        served: Callable[[], Served] = dict,
    ) -> None:
        self._changes = changes
        self._snapshots = snapshots
        self._state = state
        self._follower = follower
        self._served = served
        self._committing = asyncio.Lock()
        self._snapshot_block = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def commit(self, proposal: Proposal) -> Result[Change, CommitError]:
        """
        Commit a batch whole or not at all.

        A proposal whose base revision is old still commits where no change since
        touches the same key below a common scope (see ``find_overlap``); otherwise
        it is a conflict. One that repeats the id of a change gives that change.
        """
        base = proposal.revision
        async with self._committing:
            for _ in range(COMMIT_TRIES):
                read = await self._read_newest()
                if isinstance(read, Err):
                    return read
                if base is None:
                    base = self._state.revision
                done = await self._try(proposal, base, read.ok_value)
                if isinstance(done, Err) or done.ok_value is not None:
                    break
        if isinstance(done, Err):
            log.warning("change_refused", who=proposal.who, cause=str(done.err_value))
            return done
        if done.ok_value is None:
            newest = self._state.change_log.retained_changes()[-1]
            return Err(ChangeConflict(newest, ()))
        return Ok(done.ok_value)

    async def undo(
        self, number: int, who: str, why: str
    ) -> Result[Change, CommitError]:
        """Commit a change that puts back what change ``number`` replaced."""
        found = await self.find(number)
        if isinstance(found, Err):
            return found
        change = found.ok_value
        if change is None:
            detail = "no such change is kept; see 'amaranthtally audit'"
            return Err(_rejected("", f"change {number}", detail))
        for op in change.ops:
            if self._state.tree.get(Scope.parse(op.scope), op.key) != op.value:
                detail = f"has changed since change {number}; set it by hand"
                return Err(_rejected(op.scope, op.key, detail))
        revision = self._state.revision
        return await self.commit(Proposal(who, why, undo_ops(change), revision))

    async def find(self, number: int) -> Result[Change | None, PlatformError]:
        """Return a change by its number, from the platform if it is old."""
        kept = self._state.change_log.find(number)
        if kept is not None:
            return Ok(kept)
        return await self._changes.read_change(number)

    async def close(self) -> None:
        """End what runs in the background; whoever comes next does it again."""
        for task in list(self._tasks):
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task

    # One try

    async def _read_newest(self) -> Result[LogHead, PlatformError]:
        """
        Read the head and catch up with it.

        An entry cut off from the platform for long may be at a revision whose
        next key has been deleted since: a write where absent would then succeed
        and fork the log. The head tells how far the log has really come.
        """
        read = await self._changes.read_head()
        if isinstance(read, Err):
            self._follower.note(read)
            return read
        caught_up = await self._follower.catch_up(read.ok_value)
        return caught_up if isinstance(caught_up, Err) else read

    async def _try(
        self, proposal: Proposal, base: int, head: LogHead
    ) -> Result[Change | None, CommitError]:
        """Return the change, or ``Ok(None)`` when another one took the number."""
        known = self._known(proposal.id)
        if known is not None:
            return Ok(known)
        refusal = await self._refusal(proposal, base)
        if refusal is not None:
            return Err(refusal)
        change = self._change(proposal)
        if len(encode_change(change)) > MAX_CHANGE_BYTES:
            return Err(_rejected("", "the batch", "is too large; split it"))
        written = await self._changes.write_change(change)
        if isinstance(written, Err):
            return written
        stored = written.ok_value
        self._state.apply_changes([stored], "commit")
        if stored.id != change.id:
            return Ok(None)
        log.info("change_committed", number=change.number, id=change.id, who=change.who)
        await self._name_in_head(change, head)
        return Ok(change)

    async def _refusal(self, proposal: Proposal, base: int) -> CommitError | None:
        if not proposal.ops:
            return _rejected("", "the batch", "is empty; give at least one value")
        if base > self._state.revision:
            detail = f"revision {base} is ahead of the log; read the settings again"
            return _rejected("", "the batch", detail)
        since = await self._changes_after(base)
        if isinstance(since, Err):
            return since.err_value
        winner = find_overlap(proposal.ops, since.ok_value)
        if winner is not None:
            return ChangeConflict(winner, tuple(differences(proposal.ops, winner)))
        mistakes = check_ops(self._state.tree, proposal.ops, self._served())
        return ChangeRejected(tuple(mistakes)) if mistakes else None

    async def _changes_after(self, base: int) -> Result[list[Change], CommitError]:
        revision = self._state.revision
        if base + 1 >= self._state.change_log.oldest:
            kept = self._state.change_log.retained_changes() if base < revision else []
            return Ok([change for change in kept if change.number > base])
        if revision - base > BLOCK:
            detail = f"revision {base} is old; read the settings again"
            return Err(_rejected("", "the batch", detail))
        return await self._changes.read_changes(base, revision)

    def _known(self, change_id: str) -> Change | None:
        if not change_id:
            return None
        kept = self._state.change_log.retained_changes()
        return next((change for change in kept if change.id == change_id), None)

    def _change(self, proposal: Proposal) -> Change:
        return Change(
            number=self._state.revision + 1,
            id=proposal.id or secrets.token_hex(CHANGE_ID_BYTES),
            who=proposal.who,
            when=datetime.now(UTC).isoformat(timespec="milliseconds"),
            why=proposal.why,
            ops=with_previous_values(self._state.tree, proposal.ops),
        )

    # After the commit

    async def _name_in_head(self, change: Change, head: LogHead) -> None:
        advanced = await self._changes.advance_head(change, head)
        if isinstance(advanced, Err):
            self._spawn(self._name_later(change))
        block = change.number // BLOCK
        if block > self._snapshot_block:
            self._snapshot_block = block
            self._spawn(self._write_snapshot())

    async def _name_later(self, change: Change) -> None:
        for _ in range(HEAD_TRIES):
            await asyncio.sleep(HEAD_PAUSE_S)
            read = await self._changes.read_head()
            if isinstance(read, Err):
                continue
            advanced = await self._changes.advance_head(change, read.ok_value)
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
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _rejected(scope: str, key: str, detail: str) -> ChangeRejected:
    return ChangeRejected((Mistake(scope, key, detail),))
