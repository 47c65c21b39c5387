"""What an operator wants changed, and whether it may still follow others' changes."""

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
    A batch to commit whole or not at all.

    ``revision`` is the one that the operator looked at; the newest when left out.
    ``id`` names the change, so that a repeat of the same proposal finds it.
    """

    who: str
    why: str
    ops: list[Op]
    revision: int | None = None
    id: str = ""


class Difference(msgspec.Struct, frozen=True):
    """One place that two operators changed: what it was and what each wants."""

    scope: str
    key: str
    before: Any
    theirs: Any
    yours: Any


def with_previous_values(tree: Tree, ops: Iterable[Op]) -> list[Op]:
    """Return the operations with the value that each one replaces."""
    return [
        Op(op.scope, op.key, op.value, tree.get(Scope.parse(op.scope), op.key))
        for op in ops
    ]


def find_overlap(ops: Iterable[Op], since: Iterable[Change]) -> Change | None:
    """
    Return the first change since the operator looked that touches the same thing.

    Two operations overlap when they set the same key and some request could see
    both scopes. Where none overlaps, every value that the operator replaces and
    every value that it would have been inherited from is still the one looked at,
    so committing on top of the others gives what committing first would have given.
    """
    batch = list(ops)
    for change in since:
        if any(_touches(a, b) for a in batch for b in change.ops):
            return change
    return None


def differences(ops: Iterable[Op], winner: Change) -> list[Difference]:
    """Return the operations of two batches that touch the same thing."""
    return [
        Difference(theirs.scope, theirs.key, theirs.before, theirs.value, op.value)
        for op in ops
        for theirs in winner.ops
        if _touches(op, theirs)
    ]


def undo_ops(change: Change) -> list[Op]:
    """Return the operations that put back what a change replaced."""
    return [Op(op.scope, op.key, op.before) for op in change.ops]


def _touches(one: Op, other: Op) -> bool:
    return one.key == other.key and Scope.parse(one.scope).overlaps(
        Scope.parse(other.scope)
    )
