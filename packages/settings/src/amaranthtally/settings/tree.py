"""The tree of settings: a fold of numbered changes, resolved by scope."""

import re
import sys
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache
from typing import Any

import msgspec

__all__ = ["Change", "Level", "Op", "Scope", "Tree"]


NAME = re.compile(r"[a-zA-Z0-9][a-zA-Z0-9_.-]{0,62}")
SHARED_SCOPES = 4096


class Level(Enum):
    """Levels of the tree, highest first; a lower one overrides a higher one."""

    FIRM = "firm"
    REGION = "region"
    ACCOUNT = "account"
    PIPELINE = "pipeline"


@dataclass(frozen=True, slots=True)
class Scope:
    """
    A place in the tree; an empty name leaves that level open.

    Written ``firm``, ``region:cluj``, ``account:a/pipeline:p``.
    """

    region: str = ""
    account: str = ""
    pipeline: str = ""

    def __str__(self) -> str:
        parts = [f"{n}:{v}" for n, v in self._pairs() if v]
        return "/".join(parts) or Level.FIRM.value

    @property
    def level(self) -> Level:
        """The lowest level that the scope names."""
        if self.pipeline:
            return Level.PIPELINE
        if self.account:
            return Level.ACCOUNT
        return Level.REGION if self.region else Level.FIRM

    @property
    def chain(self) -> "tuple[Scope, ...]":
        """The scopes whose values hold here, the overriding one first."""
        found = [
            Scope(region, account, pipeline)
            for pipeline in dict.fromkeys((self.pipeline, ""))
            for account in dict.fromkeys((self.account, ""))
            for region in dict.fromkeys((self.region, ""))
        ]
        return tuple(found)

    def overlaps(self, other: "Scope") -> bool:
        """Whether some region, account and pipeline lies below both scopes."""
        return (
            _agree(self.region, other.region)
            and _agree(self.account, other.account)
            and _agree(self.pipeline, other.pipeline)
        )

    @classmethod
    def parse(cls, text: str) -> "Scope":
        """Return the scope written as ``text``; raises ``ValueError``."""
        if text == Level.FIRM.value:
            return cls()
        names: dict[str, str] = {}
        for part in text.split("/"):
            level, _, name = part.partition(":")
            known = level in ("region", "account", "pipeline") and level not in names
            if not known or not NAME.fullmatch(name):
                raise ValueError(
                    f"scope {text!r}: write firm, region:NAME, account:NAME, "
                    "pipeline:NAME, or several joined by /"
                )
            names[level] = name
        return cls(**names)

    def _pairs(self) -> tuple[tuple[str, str], ...]:
        return (
            ("region", self.region),
            ("account", self.account),
            ("pipeline", self.pipeline),
        )


class Op(msgspec.Struct, frozen=True):
    """One value set, or unset when ``value`` is ``None``."""

    scope: str
    key: str
    value: Any = None
    before: Any = None


class Change(msgspec.Struct, frozen=True):
    """A numbered batch of operations: who, when (RFC 3339), why, what."""

    number: int
    id: str
    who: str
    when: str
    why: str
    ops: list[Op]


class Tree:
    """The settings at one revision; never changed in place."""

    def __init__(
        self, revision: int = 0, values: dict[tuple[Scope, str], Any] | None = None
    ) -> None:
        self._revision = revision
        self._values = values or {}

    @property
    def revision(self) -> int:
        """Number of the last change folded in."""
        return self._revision

    def fold(self, change: Change) -> "Tree":
        """Return the tree with the next change; raises ``ValueError`` on a gap."""
        if change.number != self._revision + 1:
            raise ValueError(f"change {change.number} after {self._revision}")
        return self.apply(change.ops)

    def apply(self, ops: Iterable[Op]) -> "Tree":
        """Return the tree one revision on, with a batch of operations."""
        values = dict(self._values)
        for op in ops:
            place = (_shared_scope(op.scope), op.key)
            if op.value is None:
                values.pop(place, None)
            else:
                values[place] = _shared(op.value)
        return Tree(self._revision + 1, values)

    def get(self, scope: Scope, key: str) -> Any:
        """Return the value set at exactly this scope, or ``None``."""
        return self._values.get((scope, key))

    def resolve(self, scope: Scope, key: str) -> Any:
        """Return the value that holds at ``scope``, or ``None``."""
        for place in scope.chain:
            value = self._values.get((place, key))
            if value is not None:
                return value
        return None

    def explain(self, scope: Scope, key: str) -> list[tuple[Scope, Any]]:
        """Return the values set for ``scope``, the one that holds first."""
        found = [(place, self._values.get((place, key))) for place in scope.chain]
        return [(place, value) for place, value in found if value is not None]

    def items(self) -> list[tuple[Scope, str, Any]]:
        """Return every value that is set."""
        return [(scope, key, value) for (scope, key), value in self._values.items()]


# A decoded change holds its own copy of each name. Kept so, 11,000 registrations
# that name a few pools, regions and data centres take megabytes of equal strings.

_shared_scope = lru_cache(SHARED_SCOPES)(Scope.parse)


def _shared(value: Any) -> Any:
    """
    Return ``value`` with strings that are one object wherever they are equal.

    Tables are changed in place, by equal strings: a copy of each would leave holes
    in the heap as large as what sharing saves.
    """
    if isinstance(value, str):
        return sys.intern(value)
    if isinstance(value, dict):
        for key, item in value.items():
            value[key] = _shared(item)
    return value


def _agree(one: str, other: str) -> bool:
    return not one or not other or one == other
