"""What the commands print: tables for people, JSON for scripts."""

import sys
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec

from amaranthtally.operator.connection import Failure
from amaranthtally.operator.exit_codes import ExitCode
from amaranthtally.settings.proposal import Difference
from amaranthtally.settings.tree import Change, Op

__all__ = ["print_change", "print_document", "print_failure", "print_table", "shown"]

GAP = "  "
UNSET = "-"


def shown(value: Any) -> str:
    """Return a value as an operator would write it."""
    if value is None:
        return UNSET
    if isinstance(value, str):
        return value
    return msgspec.json.encode(value).decode()


def print_table(heads: Sequence[str], rows: Iterable[Sequence[Any]]) -> None:
    """Print rows under heads, in columns."""
    lines = [list(heads), *([shown(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        sys.stdout.write(GAP.join(cells).rstrip() + "\n")


def print_document(document: Any) -> None:
    """Print a document as JSON."""
    text = msgspec.json.format(msgspec.json.encode(document), indent=2)
    sys.stdout.buffer.write(text + b"\n")
    sys.stdout.flush()


def print_change(change: Change) -> None:
    """Print a change: who, when, why, and what it did."""
    sys.stdout.write(
        f"change {change.number} ({change.id}) by {change.who} at {change.when}: "
        f"{change.why}\n"
    )
    print_table(("SCOPE", "KEY", "BEFORE", "AFTER"), map(_op_row, change.ops))


def print_failure(failure: Failure, as_json: bool) -> ExitCode:
    """Print why a command gave no result; return its exit code."""
    if as_json and failure.problem is not None:
        print_document(failure.problem)
    sys.stderr.write(f"amaranthtally: {failure}\n")
    problem = failure.problem
    if problem is not None and problem.difference and not as_json:
        heads = ("SCOPE", "KEY", "BEFORE", "THEIRS", "YOURS")
        print_table(heads, map(_difference_row, problem.difference))
    return failure.code


def _op_row(op: Op) -> Sequence[Any]:
    return (op.scope, op.key, op.before, op.value)


def _difference_row(row: Difference) -> Sequence[Any]:
    return (row.scope, row.key, row.before, row.theirs, row.yours)
