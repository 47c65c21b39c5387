"""Renders the deploy file's template of settings, as DEPLOY.md describes it."""

import json
import re
from collections.abc import Mapping
from typing import Any

TOKEN = re.compile(r"\{\{([#^/]?)([^}|]*)(\|json)?\}\}")


def render(text: str, fields: Mapping[str, Any]) -> str:
    """Fill a template in from the fields of a machine's settings."""
    parts = TOKEN.split(text)
    rendered, _ = _render(parts, 0, [fields], "")
    return rendered


def _render(
    parts: list[str], start: int, scopes: list[Any], end: str
) -> tuple[str, int]:
    out = [parts[start]]
    index = start + 1
    while index < len(parts):
        mark, name, as_json = parts[index], parts[index + 1], parts[index + 2]
        if mark == "/":
            return "".join(out), index + 3
        if mark:
            body, index = _section(parts, index + 3, scopes, mark, name)
            out += [body, parts[index]]
            index += 1
            continue
        value = _find(scopes, name)
        out.append(json.dumps(value) if as_json else _text(value))
        out.append(parts[index + 3])
        index += 4
    return "".join(out), index


def _section(
    parts: list[str], start: int, scopes: list[Any], mark: str, name: str
) -> tuple[str, int]:
    value = _find(scopes, name)
    _, after = _render(parts, start, [*scopes, _Entry("", "", False)], name)
    if mark == "^":
        body = _render(parts, start, scopes, name)[0] if not value else ""
        return body, after
    entries = []
    if isinstance(value, Mapping):
        entries = list(value.items())
    elif isinstance(value, list):
        entries = list(enumerate(value))
    elif value:
        entries = [("", value)]
    body = ""
    for number, (key, entry) in enumerate(entries):
        scope = _Entry(key, entry, number + 1 < len(entries))
        body += _render(parts, start, [*scopes, scope], name)[0]
    return body, after


class _Entry:
    def __init__(self, key: Any, value: Any, has_next: bool) -> None:
        self.key, self.value, self.has_next = key, value, has_next


def _find(scopes: list[Any], name: str) -> Any:
    for scope in reversed(scopes):
        if isinstance(scope, _Entry):
            if name == ".":
                return scope.value
            if name == "@":
                return scope.key
            if name == ",":
                return "," if scope.has_next else ""
            scope = scope.value
        value: Any = scope
        for part in name.split("."):
            value = value.get(part) if isinstance(value, Mapping) else None
        if value is not None:
            return value
    return None


def _text(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(map(str, value))
    return json.dumps(value) if isinstance(value, Mapping) else str(value)
