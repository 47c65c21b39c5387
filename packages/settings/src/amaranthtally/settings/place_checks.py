"""Checks home regions and evacuations in a batch of operations before commit."""

import difflib
from collections.abc import Iterable, Iterator

from amaranthtally.settings.catalogue import (
    ENDPOINT_PREFIX,
    EVACUATION_PREFIX,
    HOME_REGIONS_KEY,
)
from amaranthtally.settings.mistakes import Mistake
from amaranthtally.settings.tree import Op, Scope, Tree

__all__ = ["place_mistakes"]


def place_mistakes(after: Tree, batch: Iterable[Op]) -> Iterator[Mistake]:
    """Yield the mistakes of a batch in places; ``after`` is the tree with it."""
    for op in batch:
        if not op.value:
            continue
        if op.key == HOME_REGIONS_KEY:
            yield from _unknown_places(op, "region", op.value, _places(after, "region"))
            yield from _exclusive_homes(after, op)
        elif op.key.startswith(EVACUATION_PREFIX):
            name = op.key.removeprefix(EVACUATION_PREFIX)
            known = _places(after, "data_centre")
            yield from _unknown_places(op, "data centre", [name], known)


def _places(tree: Tree, field: str) -> set[str]:
    """Return the regions or data centres in which endpoints are registered."""
    return {
        value[field]
        for _, key, value in tree.items()
        if key.startswith(ENDPOINT_PREFIX)
    }


def _unknown_places(
    op: Op, kind: str, names: Iterable[str], known: set[str]
) -> Iterator[Mistake]:
    for name in names:
        if name not in known:
            nearest = difflib.get_close_matches(name, known, 1)
            remedy = (
                f"did you mean {nearest[0]!r}?" if nearest else "register endpoints"
            )
            detail = f"no endpoint is registered in {kind} {name!r}; {remedy}"
            yield Mistake(op.scope, op.key, detail)


def _exclusive_homes(after: Tree, op: Op) -> Iterator[Mistake]:
    scope, homes = Scope.parse(op.scope), set(op.value)
    for other, key, value in after.items():
        if key != HOME_REGIONS_KEY or bool(other.account) == bool(scope.account):
            continue
        if homes.isdisjoint(value):
            account = scope.account or other.account
            pipeline = scope.pipeline or other.pipeline
            detail = (
                f"client account {account!r} and pipeline {pipeline!r} would have no "
                "home region in common; name one that both allow"
            )
            yield Mistake(op.scope, op.key, detail)
