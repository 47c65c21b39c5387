"""
Snapshots of the settings tree on the platform.

They make start-up fast and allow old changes to be deleted from the log. A snapshot
is written in parts, whose keys contain the block number and a digest. The pointer,
which is written last by compare-and-swap, makes the parts the current snapshot. An
incomplete snapshot has no pointer, and the parts of one that lost a race between two
entries have other keys, so neither is read.
"""

import msgspec
from result import Err, Ok, Result

from amaranthtally.daemon.entry.change_store import BLOCK, block_prefix
from amaranthtally.decoding import DecodeError
from amaranthtally.platform import (
    KeyValueClient,
    PlatformError,
    PlatformUnavailable,
    decode_entry,
)
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
# Keeps 100,000 changes for the audit trail: ten days at 9,200 changes a day.
KEPT_BLOCKS = 1000
MAX_READ_ATTEMPTS = 3


class SnapshotStore:
    """Reads and writes snapshots; errors are returned as ``Err``."""

    def __init__(self, platform: KeyValueClient, kept_blocks: int = KEPT_BLOCKS):
        self._platform = platform
        self._kept_blocks = kept_blocks

    async def read(self) -> Result[Tree | None, PlatformError]:
        """Read the newest snapshot; ``Ok(None)`` if there is none."""
        for _ in range(MAX_READ_ATTEMPTS):
            result = await self._platform.get(POINTER_KEY)
            if isinstance(result, Err):
                return result
            if result.ok_value is None:
                return Ok(None)
            parsed = decode_entry(result.ok_value, SnapshotPointer)
            if isinstance(parsed, Err):
                return parsed
            pointer = parsed.ok_value
            parts = await self._read_parts(pointer)
            if isinstance(parts, Err):
                return parts
            try:
                tree = join_snapshot(pointer, parts.ok_value)
            except DecodeError as error:
                return Err(PlatformUnavailable(f"malformed snapshot: {error}"))
            # A part is missing if a newer snapshot has replaced this one since the
            # pointer was read; read the new pointer then.
            if tree is not None:
                return Ok(tree)
        return Ok(None)

    async def write(self, tree: Tree) -> Result[bool, PlatformError]:
        """Write a snapshot; ``Ok(False)`` if this or a later block has one."""
        result = await self._platform.get(POINTER_KEY)
        if isinstance(result, Err):
            return result
        entry = result.ok_value
        old = SnapshotPointer(0, 0, "", 0)
        if entry:
            parsed = decode_entry(entry, SnapshotPointer)
            if isinstance(parsed, Err):
                return parsed
            old = parsed.ok_value
        block = tree.revision // BLOCK
        if old.block >= block:
            return Ok(False)
        snapshot = split_snapshot(tree)
        error = await self._write_parts(block, snapshot)
        if error is not None:
            return Err(error)
        pointer = SnapshotPointer(
            revision=tree.revision,
            block=block,
            digest=snapshot.digest,
            parts=len(snapshot.parts),
            oldest_snapshot=old.block,
            oldest_changes=max(old.oldest_changes, block - self._kept_blocks),
        )
        # Delete the old keys before the pointer is written: if the process dies in
        # between, the old pointer remains and the next writer deletes the keys again.
        error = await self._delete_old(old, pointer)
        if error is not None:
            return Err(error)
        data = msgspec.json.encode(pointer)
        index = entry.index if entry else 0
        return await self._platform.compare_and_swap(POINTER_KEY, data, index)

    async def _read_parts(
        self, pointer: SnapshotPointer
    ) -> Result[list[bytes], PlatformError]:
        parts = []
        for number in range(pointer.parts):
            key = _part_key(pointer.block, pointer.digest, number)
            result = await self._platform.get(key)
            if isinstance(result, Err):
                return result
            if result.ok_value is not None:
                parts.append(result.ok_value.value)
        return Ok(parts)

    async def _write_parts(
        self, block: int, snapshot: Snapshot
    ) -> PlatformError | None:
        for number, part in enumerate(snapshot.parts):
            # A key that already exists has the same value, since the key contains the
            # digest of the whole snapshot. If the outcome of a write was lost, the
            # reader detects a missing part by the digest.
            key = _part_key(block, snapshot.digest, number)
            written = await self._platform.compare_and_swap(key, part, 0)
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
