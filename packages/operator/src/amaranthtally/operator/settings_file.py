"""Reads settings from a TOML file that has a table for each scope."""

import tomllib
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from amaranthtally.operator.connection import Failure
from amaranthtally.operator.exit_codes import ExitCode
from amaranthtally.settings import Op, find_key
from amaranthtally.settings.documents import Settings

__all__ = ["changed_ops", "parse_value", "read_ops"]


def parse_value(text: str) -> Any:
    """Parse a TOML value; text that is not valid TOML is returned as a string."""
    try:
        return tomllib.loads(f"value = {text}")["value"]
    except tomllib.TOMLDecodeError:
        return text


def read_ops(path: Path) -> Result[list[Op], Failure]:
    """Read the values of a file; its tables are ``["pipeline:NAME"] KEY = VALUE``."""
    try:
        tables = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        detail = f"{path}: cannot be read ({error.strerror}); check the path"
        return Err(Failure(ExitCode.USAGE, detail))
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        detail = f"{path}: is not valid TOML: {error}; correct that line"
        return Err(Failure(ExitCode.USAGE, detail))
    ops: list[Op] = []
    for scope, table in tables.items():
        if not isinstance(table, dict):
            detail = f"{path}: {scope!r} is outside a table; put it under [firm]"
            return Err(Failure(ExitCode.USAGE, detail))
        ops += [Op(scope, key, value) for key, value in _flatten(table, "")]
    return Ok(ops)


def changed_ops(ops: list[Op], settings: Settings) -> list[Op]:
    """Return the operations that change a value, with its present value as before."""
    current = {(value.scope, value.key): value.value for value in settings.values}
    with_previous = [
        Op(op.scope, op.key, op.value, current.get((op.scope, op.key))) for op in ops
    ]
    return [op for op in with_previous if op.value != op.before]


def _flatten(table: dict[str, Any], prefix: str) -> list[tuple[str, Any]]:
    """Flatten nested tables to dotted keys; the table of a table-valued key is kept."""
    flat: list[tuple[str, Any]] = []
    for name, value in table.items():
        key = prefix + name
        if isinstance(value, dict) and find_key(key) is None:
            flat += _flatten(value, key + ".")
        else:
            flat.append((key, value))
    return flat
