"""Prints results: tables for people, JSON for scripts."""

import sys
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec

from amaranthtally.operator.connection import Failure
from amaranthtally.operator.exit_codes import ExitCode
from amaranthtally.settings.proposal import Difference
from amaranthtally.settings.tree import Change, Op

__all__ = [
    "format_value",
    "print_change",
    "print_document",
    "print_failure",
    "print_table",
]

COLUMN_GAP = "  "
UNSET = "-"


def format_value(value: Any) -> str:
    """Return a value as text: a string as it is, ``-`` when unset, else JSON."""
    if value is None:
        return UNSET
    if isinstance(value, str):
        return value
    return msgspec.json.encode(value).decode()


def print_table(headings: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print rows in aligned columns under their headings."""
    lines = [list(headings), *([format_value(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        sys.stdout.write(COLUMN_GAP.join(cells).rstrip() + "\n")


def print_document(document: Any) -> None:
    """Print a document as JSON."""
    text = msgspec.json.format(msgspec.json.encode(document), indent=2)
    sys.stdout.buffer.write(text + b"\n")
    sys.stdout.flush()


def print_change(change: Change) -> None:
    """Print a change: its author, time, reason and the values that it changed."""
    sys.stdout.write(
        f"change {change.number} ({change.id}) by {change.who} at {change.when}: "
        f"{change.why}\n"
    )
    print_table(("SCOPE", "KEY", "BEFORE", "AFTER"), map(_op_row, change.ops))


def print_failure(failure: Failure, as_json: bool) -> ExitCode:
    """Print why a command failed; return its exit code."""
    if as_json and failure.problem is not None:
        print_document(failure.problem)
    sys.stderr.write(f"amaranthtally: {failure}\n")
    problem = failure.problem
    if problem is not None and problem.difference and not as_json:
        headings = ("SCOPE", "KEY", "BEFORE", "THEIRS", "YOURS")
        print_table(headings, map(_difference_row, problem.difference))
    return failure.code


def _op_row(op: Op) -> Sequence[Any]:
    return (op.scope, op.key, op.before, op.value)


def _difference_row(row: Difference) -> Sequence[Any]:
    return (row.scope, row.key, row.before, row.theirs, row.yours)
