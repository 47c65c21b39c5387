"""Encoded trees, split into parts that fit into the platform's key-value service."""

from dataclasses import dataclass
from hashlib import sha256
from typing import Any

import msgspec

from amaranthtally.decoding import decode_json, unwrap_decoded
from amaranthtally.settings.tree import Op, Tree

__all__ = [
    "Snapshot",
    "SnapshotPointer",
    "decode_tree",
    "encode_tree",
    "join_snapshot",
    "split_snapshot",
]

# The platform's key-value service limits values to one megabyte.
PART_BYTES = 900_000
DIGEST_DIGITS = 32


class _Row(msgspec.Struct, frozen=True, array_like=True):
    scope: str
    key: str
    value: Any


class _Document(msgspec.Struct, frozen=True):
    revision: int
    rows: list[_Row]


class SnapshotPointer(msgspec.Struct, frozen=True):
    """
    Identifies the parts of the newest complete snapshot.

    ``block`` is the number of the block of changes in which it was taken;
    ``oldest_snapshot`` and ``oldest_changes`` are the first blocks whose keys may not
    have been deleted yet.
    """

    revision: int
    block: int
    digest: str
    parts: int
    oldest_snapshot: int = 0
    oldest_changes: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The parts of an encoded tree, and the digest of all parts together."""

    digest: str
    parts: tuple[bytes, ...]


def encode_tree(tree: Tree) -> bytes:
    """Return the tree as JSON; equal trees give equal bytes."""
    rows = [_Row(str(scope), key, value) for scope, key, value in tree.items()]
    rows.sort(key=lambda row: (row.scope, row.key))
    return msgspec.json.encode(_Document(tree.revision, rows))


def decode_tree(data: bytes) -> Tree:
    """Return the tree encoded in ``data``; raises ``DecodeError``."""
    document = unwrap_decoded(decode_json(data, _Document))
    ops = (Op(row.scope, row.key, row.value) for row in document.rows)
    return Tree(document.revision - 1).apply(ops)


def split_snapshot(tree: Tree, part_bytes: int = PART_BYTES) -> Snapshot:
    """Encode the tree and split it into parts of at most ``part_bytes``."""
    data = encode_tree(tree)
    parts = tuple(data[n : n + part_bytes] for n in range(0, len(data), part_bytes))
    return Snapshot(_digest(data), parts)


def join_snapshot(pointer: SnapshotPointer, parts: list[bytes]) -> Tree | None:
    """Return the tree, or ``None`` if parts are missing or the digest differs."""
    data = b"".join(parts)
    if len(parts) != pointer.parts or _digest(data) != pointer.digest:
        return None
    return decode_tree(data)


def _digest(data: bytes) -> str:
    return sha256(data).hexdigest()[:DIGEST_DIGITS]
