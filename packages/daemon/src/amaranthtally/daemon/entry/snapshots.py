"""
Snapshots on the platform: they keep start-up short and the log bounded.

Parts are named by block and digest and written where absent; the pointer, written
last by compare-and-swap, makes them the snapshot. One that is cut off half-way
has no pointer, and one that lost a race differs by name, so neither is read.
"""

import msgspec
from result import Err, Ok, Result

from amaranthtally.daemon.entry.change_store import BLOCK, block_prefix
from amaranthtally.platform import KeyValueClient, KeyValueEntry, PlatformError
from amaranthtally.settings import (
    Snapshot,
    SnapshotPointer,
    Tree,
    join_snapshot,
    split_snapshot,
)

__all__ = ["KEPT_BLOCKS", "SnapshotStore"]

POINTER_KEY = "snapshot"
PARTS_PREFIX = "snapshot-parts/"
BLOCK_WIDTH = 7
# 100,000 changes are kept for the audit: ten days at 9,200 changes a day.
KEPT_BLOCKS = 1000
READ_TRIES = 3


class SnapshotStore:
    """Reads and writes of snapshots; errors come back as ``Err``."""

    def __init__(self, platform: KeyValueClient, kept_blocks: int = KEPT_BLOCKS):
        self._platform = platform
        self._kept_blocks = kept_blocks

    async def read(self) -> Result[Tree | None, PlatformError]:
        """Read the newest snapshot; ``Ok(None)`` where there is none."""
        for _ in range(READ_TRIES):
            found = await self._platform.get(POINTER_KEY)
            if isinstance(found, Err):
                return found
            if found.ok_value is None:
                return Ok(None)
            pointer = _pointer(found.ok_value)
            parts = await self._read_parts(pointer)
            if isinstance(parts, Err):
                return parts
            tree = join_snapshot(pointer, parts.ok_value)
            # A part is missing when a newer snapshot has replaced this one since.
            if tree is not None:
                return Ok(tree)
        return Ok(None)

    async def write(self, tree: Tree) -> Result[bool, PlatformError]:
        """Write a snapshot; ``Ok(False)`` where one of this block is there."""
        found = await self._platform.get(POINTER_KEY)
        if isinstance(found, Err):
            return found
        entry = found.ok_value
        old = _pointer(entry) if entry else SnapshotPointer(0, 0, "", 0)
        block = tree.revision // BLOCK
        if old.block >= block:
            return Ok(False)
        snapshot = split_snapshot(tree)
        failed = await self._write_parts(block, snapshot)
        if failed is not None:
            return Err(failed)
        pointer = SnapshotPointer(
            revision=tree.revision,
            block=block,
            digest=snapshot.digest,
            parts=len(snapshot.parts),
            oldest_snapshot=old.block,
            oldest_changes=max(old.oldest_changes, block - self._kept_blocks),
        )
        # The old keys go first: a process that dies in between leaves the old
        # pointer, from which the next one deletes them again.
        failed = await self._delete_old(old, pointer)
        if failed is not None:
            return Err(failed)
        data = msgspec.json.encode(pointer)
        index = entry.index if entry else 0
        return await self._platform.compare_and_swap(POINTER_KEY, data, index)

    async def _read_parts(
        self, pointer: SnapshotPointer
    ) -> Result[list[bytes], PlatformError]:
        parts = []
        for number in range(pointer.parts):
            name = _part_key(pointer.block, pointer.digest, number)
            found = await self._platform.get(name)
            if isinstance(found, Err):
                return found
            if found.ok_value is not None:
                parts.append(found.ok_value.value)
        return Ok(parts)

    async def _write_parts(
        self, block: int, snapshot: Snapshot
    ) -> PlatformError | None:
        for number, part in enumerate(snapshot.parts):
            # A key that is there already holds the same bytes: its name has the
            # digest of the whole. A lost answer is caught by the reader's digest.
            name = _part_key(block, snapshot.digest, number)
            written = await self._platform.compare_and_swap(name, part, 0)
            if isinstance(written, Err):
                return written.err_value
        return None

    async def _delete_old(
        self, old: SnapshotPointer, new: SnapshotPointer
    ) -> PlatformError | None:
        prefixes = [
            f"{PARTS_PREFIX}{block:0{BLOCK_WIDTH}}/"
            for block in range(old.oldest_snapshot, new.oldest_snapshot)
        ]
        prefixes += [
            block_prefix(block)
            for block in range(old.oldest_changes, new.oldest_changes)
        ]
        for prefix in prefixes:
            deleted = await self._platform.delete_prefix(prefix)
            if isinstance(deleted, Err):
                return deleted.err_value
        return None


def _part_key(block: int, digest: str, number: int) -> str:
    return f"{PARTS_PREFIX}{block:0{BLOCK_WIDTH}}/{digest}-{number:03}"


def _pointer(entry: KeyValueEntry) -> SnapshotPointer:
    return msgspec.json.decode(entry.value, type=SnapshotPointer)
