"""The settings tree: the result of numbered changes, resolved by scope."""

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
SCOPE_CACHE_SIZE = 4096


class Level(Enum):
    """Levels of the tree, highest first; a value at a lower level overrides."""

    FIRM = "firm"
    REGION = "region"
    ACCOUNT = "account"
    PIPELINE = "pipeline"


@dataclass(frozen=True, slots=True)
class Scope:
    """
    A scope in the tree; an empty name means that the level is not restricted.

    Written as ``firm``, ``region:cluj`` or ``account:a/pipeline:p``.
    """

    region: str = ""
    account: str = ""
    pipeline: str = ""

    def __str__(self) -> str:
        parts = [f"{n}:{v}" for n, v in self._pairs() if v]
        return "/".join(parts) or Level.FIRM.value

    @property
    def level(self) -> Level:
        """The lowest level that has a name in the scope."""
        if self.pipeline:
            return Level.PIPELINE
        if self.account:
            return Level.ACCOUNT
        return Level.REGION if self.region else Level.FIRM

    @property
    def lookup_order(self) -> "tuple[Scope, ...]":
        """The scopes from which values are inherited, highest precedence first."""
        scopes = [
            Scope(region, account, pipeline)
            for pipeline in dict.fromkeys((self.pipeline, ""))
            for account in dict.fromkeys((self.account, ""))
            for region in dict.fromkeys((self.region, ""))
        ]
        return tuple(scopes)

    def overlaps(self, other: "Scope") -> bool:
        """Whether some region, account and pipeline belongs to both scopes."""
        return (
            _is_compatible(self.region, other.region)
            and _is_compatible(self.account, other.account)
            and _is_compatible(self.pipeline, other.pipeline)
        )

    @classmethod
    def parse(cls, text: str) -> "Scope":
        """Parse the text form of a scope; raises ``ValueError``."""
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
    """Sets a key at a scope, or unsets it if ``value`` is ``None``."""

    scope: str
    key: str
    value: Any = None
    before: Any = None


class Change(msgspec.Struct, frozen=True):
    """A numbered batch of operations with its author, time (RFC 3339) and reason."""

    number: int
    id: str
    who: str
    when: str
    why: str
    ops: list[Op]


class Tree:
    """The settings at one revision; immutable."""

    def __init__(
        self, revision: int = 0, values: dict[tuple[Scope, str], Any] | None = None
    ) -> None:
        self._revision = revision
        self._values = values or {}

    @property
    def revision(self) -> int:
        """Number of the last change applied."""
        return self._revision

    def fold(self, change: Change) -> "Tree":
        """Return the tree after the next change; any other raises ``ValueError``."""
        if change.number != self._revision + 1:
            raise ValueError(f"change {change.number} does not follow {self._revision}")
        return self.apply(change.ops)

    def apply(self, ops: Iterable[Op]) -> "Tree":
        """Return the tree of the next revision, with a batch of operations applied."""
        values = dict(self._values)
        for op in ops:
            scoped_key = (_interned_scope(op.scope), op.key)
            if op.value is None:
                values.pop(scoped_key, None)
            else:
                values[scoped_key] = _interned(op.value)
        return Tree(self._revision + 1, values)

    def get(self, scope: Scope, key: str) -> Any:
        """Return the value set at exactly this scope, or ``None``."""
        return self._values.get((scope, key))

    def resolve(self, scope: Scope, key: str) -> Any:
        """Return the value set at ``scope`` or inherited by it, or ``None``."""
        for source in scope.lookup_order:
            value = self._values.get((source, key))
            if value is not None:
                return value
        return None

    def explain(self, scope: Scope, key: str) -> list[tuple[Scope, Any]]:
        """Return all values set for ``scope``, the effective one first."""
        values = [
            (source, self._values.get((source, key))) for source in scope.lookup_order
        ]
        return [(source, value) for source, value in values if value is not None]

    def items(self) -> list[tuple[Scope, str, Any]]:
        """Return every value set, with its scope and key."""
        return [(scope, key, value) for (scope, key), value in self._values.items()]


# Every decoded change has its own copies of names. Without sharing, 11,000 endpoint
# registrations, which refer to a few pools, regions and data centres, would take
# megabytes for equal strings.

_interned_scope = lru_cache(SCOPE_CACHE_SIZE)(Scope.parse)


def _interned(value: Any) -> Any:
    """
    Return ``value`` with its strings interned.

    Strings in tables are replaced in place. Copying the tables would fragment the heap
    by as much memory as interning saves.
    """
    if isinstance(value, str):
        return sys.intern(value)
    if isinstance(value, dict):
        for key, item in value.items():
            value[key] = _interned(item)
    return value


def _is_compatible(first: str, second: str) -> bool:
    return not first or not second or first == second
