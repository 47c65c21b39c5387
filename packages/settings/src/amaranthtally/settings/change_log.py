"""The log of changes as one process knows it: a tree and the newest changes."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from amaranthtally.settings.snapshot import decode_tree, encode_tree
from amaranthtally.settings.tree import Change, Tree

__all__ = ["ChangeLog", "ChangeDelta", "decode_change", "encode_change"]

KEPT_BYTES = 1_048_576


def encode_change(change: Change) -> bytes:
    """Return the bytes under which a change is kept and sent."""
    return msgspec.json.encode(change)


def decode_change(data: bytes) -> Change:
    """Return the change held by ``data``; raises ``msgspec.DecodeError``."""
    return msgspec.json.decode(data, type=Change)


@dataclass(frozen=True, slots=True)
class ChangeDelta:
    """
    What a peer lacks: changes, encoded, oldest first.

    ``snapshot`` holds the whole tree instead where the changes are kept no more.
    """

    revision: int
    changes: tuple[bytes, ...] = ()
    snapshot: bytes = b""


@dataclass(frozen=True, slots=True)
class _Kept:
    number: int
    data: bytes


class ChangeLog:
    """
    Folds changes into a tree; the revision only rises.

    The newest changes are kept for peers and for the history, at most
    ``kept_bytes`` of them.
    """

    def __init__(self, kept_bytes: int = KEPT_BYTES) -> None:
        self._kept_bytes = kept_bytes
        self._kept: deque[_Kept] = deque()
        self._size = 0
        self._tree = Tree()

    @property
    def tree(self) -> Tree:
        """The tree of the newest change."""
        return self._tree

    @property
    def revision(self) -> int:
        """Number of the newest change."""
        return self._tree.revision

    @property
    def oldest(self) -> int:
        """Number of the oldest change kept; one past the newest when none is."""
        return self._kept[0].number if self._kept else self.revision + 1

    def retained_changes(self) -> list[Change]:
        """Return the changes kept, oldest first."""
        return [decode_change(kept.data) for kept in self._kept]

    def find(self, number: int) -> Change | None:
        """Return a change that is kept, or ``None``."""
        place = number - self.oldest
        if not 0 <= place < len(self._kept):
            return None
        return decode_change(self._kept[place].data)

    # Moving forward

    def apply_changes(self, changes: Iterable[Change]) -> bool:
        """Fold in what comes next, in any order; true when the tree moved."""
        before = self.revision
        for change in sorted(changes, key=lambda c: c.number):
            if change.number == self.revision + 1:
                self._tree = self._tree.fold(change)
                self._keep(change)
        return self.revision > before

    def apply_tree(self, tree: Tree) -> bool:
        """Go on to a snapshot's tree if it is newer; true when the tree moved."""
        if tree.revision <= self.revision:
            return False
        self._tree = tree
        self._kept.clear()
        self._size = 0
        return True

    def apply_delta(self, gap: ChangeDelta) -> bool:
        """Fold in what a peer sent; true when the tree moved."""
        moved = bool(gap.snapshot) and self.apply_tree(decode_tree(gap.snapshot))
        changes = [decode_change(data) for data in gap.changes]
        return self.apply_changes(changes) or moved

    def delta_since(self, revision: int) -> ChangeDelta:
        """Return what a peer at ``revision`` lacks."""
        if revision >= self.revision:
            return ChangeDelta(self.revision)
        if revision + 1 < self.oldest:
            return ChangeDelta(self.revision, snapshot=encode_tree(self._tree))
        lacking = tuple(kept.data for kept in self._kept if kept.number > revision)
        return ChangeDelta(self.revision, lacking)

    def _keep(self, change: Change) -> None:
        data = encode_change(change)
        self._kept.append(_Kept(change.number, data))
        self._size += len(data)
        while self._size > self._kept_bytes:
            self._size -= len(self._kept.popleft().data)
