"""Proposals of operators, and their conflicts with changes committed meanwhile."""

from collections.abc import Iterable
from typing import Any

import msgspec

from amaranthtally.settings.tree import Change, Op, Scope, Tree

__all__ = [
    "Difference",
    "Proposal",
    "differences",
    "find_overlap",
    "undo_ops",
    "with_previous_values",
]


class Proposal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    A batch of operations that is committed atomically.

    ``revision`` is the revision on which the operator based the proposal, and defaults
    to the newest. ``id`` identifies the change, so that a repeated proposal is
    recognised.
    """

    who: str
    why: str
    ops: list[Op]
    revision: int | None = None
    id: str = ""


class Difference(msgspec.Struct, frozen=True):
    """A key in conflict between two operators: the former value and both new ones."""

    scope: str
    key: str
    before: Any
    theirs: Any
    yours: Any


def with_previous_values(tree: Tree, ops: Iterable[Op]) -> list[Op]:
    """Return the operations with ``before`` set to the value that each replaces."""
    return [
        Op(op.scope, op.key, op.value, tree.get(Scope.parse(op.scope), op.key))
        for op in ops
    ]


def find_overlap(ops: Iterable[Op], since: Iterable[Change]) -> Change | None:
    """
    Return the first change in ``since`` that overlaps with ``ops``, or ``None``.

    ``since`` holds the changes after the revision on which the operator based ``ops``.
    Two operations overlap if they set the same key and some request could resolve it
    at both scopes. Without an overlap, every value that the operator replaces, and
    every value that it would otherwise inherit, is still the one at that revision.
    Committing after the other changes then has the same result as committing first.
    """
    batch = list(ops)
    for change in since:
        if any(_overlap(a, b) for a in batch for b in change.ops):
            return change
    return None


def differences(ops: Iterable[Op], winner: Change) -> list[Difference]:
    """Return the differences between overlapping operations of two batches."""
    return [
        Difference(theirs.scope, theirs.key, theirs.before, theirs.value, op.value)
        for op in ops
        for theirs in winner.ops
        if _overlap(op, theirs)
    ]


def undo_ops(change: Change) -> list[Op]:
    """Return the operations that restore the values which a change replaced."""
    return [Op(op.scope, op.key, op.before) for op in change.ops]


def _overlap(first: Op, second: Op) -> bool:
    return first.key == second.key and Scope.parse(first.scope).overlaps(
        Scope.parse(second.scope)
    )
