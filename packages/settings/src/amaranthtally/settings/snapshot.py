"""A tree as bytes, cut into parts that the platform's service can hold."""

from dataclasses import dataclass
from hashlib import sha256
from typing import Any

import msgspec

from amaranthtally.settings.tree import Op, Tree

__all__ = [
    "Snapshot",
    "SnapshotPointer",
    "split_snapshot",
    "decode_tree",
    "encode_tree",
    "join_snapshot",
]

# The platform holds values up to a megabyte.
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
    Names the parts of the newest whole snapshot.

    ``block`` numbers the block of changes it was taken in; ``oldest_snapshot``
    and ``oldest_changes`` are the first blocks that may still hold keys.
    """

    revision: int
    block: int
    digest: str
    parts: int
    oldest_snapshot: int = 0
    oldest_changes: int = 0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """An encoded tree in parts, and the digest of the whole."""

    digest: str
    parts: tuple[bytes, ...]


def encode_tree(tree: Tree) -> bytes:
    """Return the tree as bytes, the same for equal trees."""
    rows = [_Row(str(scope), key, value) for scope, key, value in tree.items()]
    rows.sort(key=lambda row: (row.scope, row.key))
    return msgspec.json.encode(_Document(tree.revision, rows))


def decode_tree(data: bytes) -> Tree:
    """Return the tree held by ``data``; raises ``msgspec.DecodeError``."""
    document = msgspec.json.decode(data, type=_Document)
    ops = (Op(row.scope, row.key, row.value) for row in document.rows)
    return Tree(document.revision - 1).apply(ops)


def split_snapshot(tree: Tree, part_bytes: int = PART_BYTES) -> Snapshot:
    """Return the tree in parts of at most ``part_bytes``."""
    data = encode_tree(tree)
    parts = tuple(data[n : n + part_bytes] for n in range(0, len(data), part_bytes))
    return Snapshot(_digest(data), parts)


def join_snapshot(pointer: SnapshotPointer, parts: list[bytes]) -> Tree | None:
    """Return the tree, or ``None`` where a part is missing or not the right one."""
    data = b"".join(parts)
    if len(parts) != pointer.parts or _digest(data) != pointer.digest:
        return None
    return decode_tree(data)


def _digest(data: bytes) -> str:
    return sha256(data).hexdigest()[:DIGEST_DIGITS]
