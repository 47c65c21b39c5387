"""The registry of keys: what may be set, where, and within which range."""

import difflib
import re
from collections.abc import Callable
from dataclasses import dataclass
from functools import cache
from typing import Any

import msgspec

from amaranthtally.settings.kinds import Kind
from amaranthtally.settings.tree import Level, Scope

__all__ = ["Key", "Placement", "find_key", "key", "known_keys", "nearest_key"]

PLACEHOLDER = re.compile(r"[A-Z]+")
PLACEHOLDER_VALUE = r"[a-z0-9][a-zA-Z0-9_-]*"
TAIL_PLACEHOLDER_VALUE = r"[a-z0-9][a-zA-Z0-9_.-]*"
ANY_LEVEL = frozenset(Level)

# Says what is wrong with a value beyond its kind; an empty string when nothing is.
Check = Callable[[Any], str]


@dataclass(frozen=True, slots=True)
class Placement:
    """The levels at which a key may be set; ``alone`` forbids a combined scope."""

    levels: frozenset[Level] = ANY_LEVEL
    alone: bool = False

    def mistake(self, scope: Scope) -> str:
        """Return what is wrong with setting the key at ``scope``, or ''."""
        if scope.level not in self.levels or (self.alone and "/" in str(scope)):
            names = " or ".join(v.value for v in Level if v in self.levels)
            return f"may not be set at {scope}; set it at {names}"
        return ""


@dataclass(frozen=True, slots=True)
class Key:
    """
    One kind of key.

    A ``template`` holds placeholders in capitals: ``stage.NAME.model``.
    """

    template: str
    kind: Kind
    doc: str
    unit: str
    default: Any
    placement: Placement
    check: Check

    @property
    def pattern(self) -> re.Pattern[str]:
        """The expression that the key's names match."""
        return _compile(self.template)

    def mistake(self, scope: Scope, value: Any) -> str:
        """Return what is wrong with ``value`` at ``scope``, or ''."""
        misplaced = self.placement.mistake(scope)
        if misplaced:
            return misplaced
        try:
            msgspec.convert(value, self.kind.type)
        except msgspec.ValidationError as error:
            return f"{error}; give {self._wanted()}"
        return self.check(value)

    def _wanted(self) -> str:
        return f"{self.kind.text} in {self.unit}" if self.unit else self.kind.text


_KEYS: dict[str, Key] = {}


def key(
    template: str,
    kind: Kind,
    *,
    unit: str = "",
    default: Any = None,
    placement: Placement | None = None,
) -> Callable[[Check], Check]:
    """Register a key; the decorated check's docstring documents it."""

    def register(check: Check) -> Check:
        doc = " ".join((check.__doc__ or "").split())
        _KEYS[template] = Key(
            template, kind, doc, unit, default, placement or Placement(), check
        )
        return check

    return register


def known_keys() -> list[Key]:
    """Return every registered key, by template."""
    return [_KEYS[template] for template in sorted(_KEYS)]


def find_key(name: str) -> Key | None:
    """Return the registered key that ``name`` is an instance of."""
    exact = _KEYS.get(name)
    if exact is not None:
        return exact
    return next((k for k in _KEYS.values() if k.pattern.fullmatch(name)), None)


def nearest_key(name: str) -> str:
    """Return the right name nearest to a wrong one, or ''."""
    candidates = [_instance(template, name) for template in _KEYS]
    found = difflib.get_close_matches(name, candidates, 1)
    return found[0] if found else ""


@cache
def _compile(template: str) -> re.Pattern[str]:
    parts = template.split(".")
    last = len(parts) - 1
    return re.compile(r"\.".join(_part(p, n == last) for n, p in enumerate(parts)))


def _part(part: str, last: bool) -> str:
    if not PLACEHOLDER.fullmatch(part):
        return re.escape(part)
    return TAIL_PLACEHOLDER_VALUE if last else PLACEHOLDER_VALUE


def _instance(template: str, name: str) -> str:
    """Fill a template's placeholders with the parts that ``name`` has there."""
    given = name.split(".")
    parts = [
        given[n] if n < len(given) and PLACEHOLDER.fullmatch(part) else part
        for n, part in enumerate(template.split("."))
    ]
    return ".".join(parts)
