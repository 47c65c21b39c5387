"""Registry of settings keys with their levels and ranges of values."""

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
LAST_PLACEHOLDER_VALUE = r"[a-z0-9][a-zA-Z0-9_.-]*"
ANY_LEVEL = frozenset(Level)

# Returns a mistake in a value that its kind does not detect, or an empty string.
Check = Callable[[Any], str]


@dataclass(frozen=True, slots=True)
class Placement:
    """Levels at which a key may be set; ``single_level`` forbids combined scopes."""

    levels: frozenset[Level] = ANY_LEVEL
    single_level: bool = False

    def mistake(self, scope: Scope) -> str:
        """Return why the key may not be set at ``scope``, or ''."""
        if scope.level not in self.levels or (self.single_level and "/" in str(scope)):
            names = " or ".join(v.value for v in Level if v in self.levels)
            return f"may not be set at {scope}; set it at {names}"
        return ""


@dataclass(frozen=True, slots=True)
class Key:
    """
    A registered key or family of keys.

    Parts of ``template`` in capitals are placeholders, as in ``stage.NAME.model``.
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
        """Regular expression that matches the names of the key."""
        return _compile_template(self.template)

    def mistake(self, scope: Scope, value: Any) -> str:
        """Return why ``value`` may not be set at ``scope``, or ''."""
        placement_mistake = self.placement.mistake(scope)
        if placement_mistake:
            return placement_mistake
        try:
            msgspec.convert(value, self.kind.type)
        except msgspec.ValidationError as error:
            return f"{error}; give {self._expected()}"
        return self.check(value)

    def _expected(self) -> str:
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
    """Register a key; the docstring of the decorated check is its documentation."""

    def register(check: Check) -> Check:
        doc = " ".join((check.__doc__ or "").split())
        _KEYS[template] = Key(
            template, kind, doc, unit, default, placement or Placement(), check
        )
        return check

    return register


def known_keys() -> list[Key]:
    """Return every registered key, sorted by template."""
    return [_KEYS[template] for template in sorted(_KEYS)]


def find_key(name: str) -> Key | None:
    """Return the registered key whose template matches ``name``, or ``None``."""
    exact = _KEYS.get(name)
    if exact is not None:
        return exact
    return next((k for k in _KEYS.values() if k.pattern.fullmatch(name)), None)


def nearest_key(name: str) -> str:
    """Return the valid key name most similar to an unknown one, or ''."""
    candidates = [_fill_template(template, name) for template in _KEYS]
    matches = difflib.get_close_matches(name, candidates, 1)
    return matches[0] if matches else ""


@cache
def _compile_template(template: str) -> re.Pattern[str]:
    parts = template.split(".")
    last = len(parts) - 1
    return re.compile(
        r"\.".join(_part_pattern(p, n == last) for n, p in enumerate(parts))
    )


def _part_pattern(part: str, is_last: bool) -> str:
    if not PLACEHOLDER.fullmatch(part):
        return re.escape(part)
    return LAST_PLACEHOLDER_VALUE if is_last else PLACEHOLDER_VALUE


def _fill_template(template: str, name: str) -> str:
    """Replace a template's placeholders by the parts of ``name`` at their positions."""
    name_parts = name.split(".")
    parts = [
        name_parts[n] if n < len(name_parts) and PLACEHOLDER.fullmatch(part) else part
        for n, part in enumerate(template.split("."))
    ]
    return ".".join(parts)
