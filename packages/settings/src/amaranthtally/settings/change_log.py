"""A process's copy of the change log: the tree and the newest changes."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from amaranthtally.decoding import decode_json, unwrap_decoded
from amaranthtally.settings.snapshot import decode_tree, encode_tree
from amaranthtally.settings.tree import Change, Tree

__all__ = ["ChangeDelta", "ChangeLog", "decode_change", "encode_change"]

MAX_RETAINED_BYTES = 1_048_576


def encode_change(change: Change) -> bytes:
    """Return the JSON in which a change is stored and sent."""
    return msgspec.json.encode(change)


def decode_change(data: bytes) -> Change:
    """Return the change encoded in ``data``; raises ``DecodeError``."""
    return unwrap_decoded(decode_json(data, Change))


@dataclass(frozen=True, slots=True)
class ChangeDelta:
    """
    The settings that a peer is missing: encoded changes, oldest first.

    If some of these changes are no longer retained, ``snapshot`` holds the encoded tree
    instead.
    """

    revision: int
    changes: tuple[bytes, ...] = ()
    snapshot: bytes = b""


@dataclass(frozen=True, slots=True)
class _EncodedChange:
    number: int
    data: bytes


class ChangeLog:
    """
    Applies changes to a tree; the revision never decreases.

    The newest changes are retained for peers and for the history, up to ``max_bytes``
    in encoded form.
    """

    def __init__(self, max_bytes: int = MAX_RETAINED_BYTES) -> None:
        self._max_bytes = max_bytes
        self._retained: deque[_EncodedChange] = deque()
        self._size = 0
        self._tree = Tree()

    @property
    def tree(self) -> Tree:
        """The tree after the newest change."""
        return self._tree

    @property
    def revision(self) -> int:
        """Number of the newest change."""
        return self._tree.revision

    @property
    def oldest(self) -> int:
        """Number of the oldest retained change; ``revision + 1`` if there is none."""
        return self._retained[0].number if self._retained else self.revision + 1

    def retained_changes(self) -> list[Change]:
        """Return the retained changes, oldest first."""
        return [decode_change(retained.data) for retained in self._retained]

    def find(self, number: int) -> Change | None:
        """Return the retained change with this number, or ``None``."""
        index = number - self.oldest
        if not 0 <= index < len(self._retained):
            return None
        return decode_change(self._retained[index].data)

    # Applying newer settings

    def apply_changes(self, changes: Iterable[Change]) -> bool:
        """Apply the changes that follow the revision; return whether there were any."""
        before = self.revision
        for change in sorted(changes, key=lambda c: c.number):
            if change.number == self.revision + 1:
                self._tree = self._tree.fold(change)
                self._retain(change)
        return self.revision > before

    def apply_tree(self, tree: Tree) -> bool:
        """Replace the tree by a snapshot's if that is newer; return whether it was."""
        if tree.revision <= self.revision:
            return False
        self._tree = tree
        self._retained.clear()
        self._size = 0
        return True

    def apply_delta(self, delta: ChangeDelta) -> bool:
        """Apply a delta from a peer; return whether the tree has changed."""
        has_changed = bool(delta.snapshot) and self.apply_tree(
            decode_tree(delta.snapshot)
        )
        changes = [decode_change(data) for data in delta.changes]
        return self.apply_changes(changes) or has_changed

    def delta_since(self, revision: int) -> ChangeDelta:
        """Return the settings that a peer at ``revision`` is missing."""
        if revision >= self.revision:
            return ChangeDelta(self.revision)
        if revision + 1 < self.oldest:
            return ChangeDelta(self.revision, snapshot=encode_tree(self._tree))
        missing = tuple(
            retained.data for retained in self._retained if retained.number > revision
        )
        return ChangeDelta(self.revision, missing)

    def _retain(self, change: Change) -> None:
        data = encode_change(change)
        self._retained.append(_EncodedChange(change.number, data))
        self._size += len(data)
        while self._size > self._max_bytes:
            self._size -= len(self._retained.popleft().data)
