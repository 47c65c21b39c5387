"""``amaranthtally settings``: read and change the tree of settings."""

import sys
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter
from result import Err, Result

from amaranthtally.operator.changes import Author, commit
from amaranthtally.operator.connection import Connection, Failure, Target
from amaranthtally.operator.exit_codes import ExitCode
from amaranthtally.operator.options import (
    FIRM,
    KeyName,
    Limit,
    Scope,
    SettingsFile,
)
from amaranthtally.operator.output import (
    print_change,
    print_document,
    print_failure,
    print_table,
)
from amaranthtally.operator.settings_file import changed_ops, parse_value, read_ops
from amaranthtally.settings import Change, Op
from amaranthtally.settings.documents import (
    Changes,
    Explanation,
    Keys,
    Settings,
    UndoRequest,
)

__all__ = ["app"]

app = App(name="settings", help="Read and change the tree of settings.")

NewValue = Annotated[
    str,
    Parameter(
        help='As in TOML: 4000, true, ["encode", "rerank"]; other text is a string.'
    ),
]
ChangeNumber = Annotated[int, Parameter(help="Number of a change; see 'audit'.")]

# Reading


@app.command
def get(key: KeyName = "", /, *, scope: Scope = "", target: Target) -> ExitCode:
    """Print a key's effective value at a scope, or every value that is set."""
    if key:
        return _print_effective_value(key, scope or FIRM, target)
    read = Connection(target).read("settings", Settings)
    if isinstance(read, Err):
        return print_failure(read.err_value, target.json)
    settings = read.ok_value
    values = [value for value in settings.values if scope in ("", value.scope)]
    if target.json:
        print_document(Settings(settings.revision, values))
        return ExitCode.DONE
    rows = [(value.scope, value.key, value.value) for value in values]
    print_table(("SCOPE", "KEY", "VALUE"), rows)
    sys.stdout.write(f"revision {settings.revision}\n")
    return ExitCode.DONE


def _print_effective_value(key: str, scope: str, target: Target) -> ExitCode:
    read = _read_explanation(key, scope, target)
    if isinstance(read, Err):
        return print_failure(read.err_value, target.json)
    if target.json:
        print_document(read.ok_value.value)
    else:
        print_table((key,), [(read.ok_value.value,)])
    return ExitCode.DONE


def _read_explanation(
    key: str, scope: str, target: Target
) -> Result[Explanation, Failure]:
    return Connection(target).read(
        "settings/explain", Explanation, key=key, scope=scope
    )


@app.command
def explain(key: KeyName, /, *, scope: Scope = FIRM, target: Target) -> ExitCode:
    """Print a key's values at a scope and the levels above, and which is in force."""
    read = _read_explanation(key, scope, target)
    if isinstance(read, Err):
        return print_failure(read.err_value, target.json)
    explanation = read.ok_value
    if target.json:
        print_document(explanation)
        return ExitCode.DONE
    unit = f" in {explanation.unit}" if explanation.unit else ""
    sys.stdout.write(
        f"{explanation.key}: {explanation.doc}\n  takes {explanation.kind}{unit}\n"
    )
    rows = [
        (v.scope, v.value, "holds" if n == 0 else "overridden")
        for n, v in enumerate(explanation.values)
    ]
    if not rows:
        rows = [(explanation.source, explanation.value, "holds")]
    print_table(("SET AT", "VALUE", ""), rows)
    return ExitCode.DONE


@app.command
def keys(*, target: Target) -> ExitCode:
    """Print every key that can be set."""
    read = Connection(target).read("settings/keys", Keys)
    if isinstance(read, Err):
        return print_failure(read.err_value, target.json)
    if target.json:
        print_document(read.ok_value)
        return ExitCode.DONE
    rows = [
        (row.template, row.kind, row.unit, row.default, " ".join(row.levels), row.doc)
        for row in read.ok_value.keys
    ]
    print_table(("KEY", "TAKES", "UNIT", "DEFAULT", "LEVELS", "MEANING"), rows)
    return ExitCode.DONE


# Changing


@app.command(name="set")
def set_value(
    key: KeyName,
    value: NewValue,
    /,
    *,
    scope: Scope = FIRM,
    author: Author,
    target: Target,
) -> ExitCode:
    """Set one value."""
    return _commit_op(Op(scope, key, parse_value(value)), author, target)


@app.command
def unset(
    key: KeyName, /, *, scope: Scope = FIRM, author: Author, target: Target
) -> ExitCode:
    """Remove one value; the value of the level above then applies."""
    return _commit_op(Op(scope, key), author, target)


def _commit_op(op: Op, author: Author, target: Target) -> ExitCode:
    read = Connection(target).read("settings", Settings)
    if isinstance(read, Err):
        return print_failure(read.err_value, target.json)
    return commit(target, author, [op], read.ok_value.revision)


@app.command
def apply(file: SettingsFile, /, *, author: Author, target: Target) -> ExitCode:
    """Commit all values of a TOML file that differ, in one atomic change."""
    differences = _read_differences(file, target)
    if isinstance(differences, Err):
        return print_failure(differences.err_value, target.json)
    ops, revision = differences.ok_value
    if not ops:
        sys.stdout.write("no differences\n")
        return ExitCode.DONE
    return commit(target, author, ops, revision)


@app.command
def diff(file: SettingsFile, /, *, target: Target) -> ExitCode:
    """Print what 'apply' would change; the exit code is 6 if anything differs."""
    differences = _read_differences(file, target)
    if isinstance(differences, Err):
        return print_failure(differences.err_value, target.json)
    ops, _ = differences.ok_value
    if target.json:
        print_document(ops)
    elif ops:
        rows = [(op.scope, op.key, op.before, op.value) for op in ops]
        print_table(("SCOPE", "KEY", "IN FORCE", "FILE"), rows)
    else:
        sys.stdout.write("no differences\n")
    return ExitCode.DIFFERS if ops else ExitCode.DONE


def _read_differences(
    file: Path, target: Target
) -> Result[tuple[list[Op], int], Failure]:
    ops = read_ops(file)
    if isinstance(ops, Err):
        return ops
    read = Connection(target).read("settings", Settings)
    return read.map(
        lambda settings: (changed_ops(ops.ok_value, settings), settings.revision)
    )


@app.command
def history(
    key: KeyName, /, *, scope: Scope = "", limit: Limit = 20, target: Target
) -> ExitCode:
    """Print the changes of a key, newest first."""
    read = Connection(target).read(
        "changes", Changes, key=key, scope=scope, limit=str(limit)
    )
    if isinstance(read, Err):
        return print_failure(read.err_value, target.json)
    if target.json:
        print_document(read.ok_value)
        return ExitCode.DONE
    rows = [
        (
            change.number,
            change.when,
            change.who,
            op.scope,
            op.before,
            op.value,
            change.why,
        )
        for change in read.ok_value.changes
        for op in change.ops
        if op.key == key
    ]
    headings = ("CHANGE", "WHEN", "WHO", "SCOPE", "BEFORE", "AFTER", "WHY")
    print_table(headings, rows)
    return ExitCode.DONE


@app.command
def undo(number: ChangeNumber, /, *, author: Author, target: Target) -> ExitCode:
    """Restore the values that a change replaced, in a new change."""
    body = UndoRequest(author.name, author.reason)
    undone = Connection(target).send(f"changes/{number}/undo", Change, body)
    if isinstance(undone, Err):
        return print_failure(undone.err_value, target.json)
    if target.json:
        print_document(undone.ok_value)
    else:
        print_change(undone.ok_value)
    return ExitCode.DONE
