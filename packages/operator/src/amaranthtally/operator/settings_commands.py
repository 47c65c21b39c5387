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
        help='As in TOML: 4000, true, ["encode", "rerank"]; a bare word is a text.'
    ),
]
ChangeNumber = Annotated[int, Parameter(help="Number of a change; see 'audit'.")]

# Reading


@app.command
def get(key: KeyName = "", /, *, scope: Scope = "", target: Target) -> ExitCode:
    """Print the value that holds at a scope, or every value that is set."""
    if key:
        return _get_one(key, scope or FIRM, target)
    read = Connection(target).read("settings", Settings)
    if isinstance(read, Err):
        return print_failure(read.err_value, target.json)
    found = read.ok_value
    values = [value for value in found.values if scope in ("", value.scope)]
    if target.json:
        print_document(Settings(found.revision, values))
        return ExitCode.DONE
    rows = [(value.scope, value.key, value.value) for value in values]
    print_table(("SCOPE", "KEY", "VALUE"), rows)
    sys.stdout.write(f"revision {found.revision}\n")
    return ExitCode.DONE


def _get_one(key: str, scope: str, target: Target) -> ExitCode:
    read = _explained(key, scope, target)
    if isinstance(read, Err):
        return print_failure(read.err_value, target.json)
    if target.json:
        print_document(read.ok_value.value)
    else:
        print_table((key,), [(read.ok_value.value,)])
    return ExitCode.DONE


def _explained(key: str, scope: str, target: Target) -> Result[Explanation, Failure]:
    return Connection(target).read(
        "settings/explain", Explanation, key=key, scope=scope
    )


@app.command
def explain(key: KeyName, /, *, scope: Scope = FIRM, target: Target) -> ExitCode:
    """Print which level gives the value that holds at a scope."""
    read = _explained(key, scope, target)
    if isinstance(read, Err):
        return print_failure(read.err_value, target.json)
    found = read.ok_value
    if target.json:
        print_document(found)
        return ExitCode.DONE
    unit = f" in {found.unit}" if found.unit else ""
    sys.stdout.write(f"{found.key}: {found.doc}\n  takes {found.kind}{unit}\n")
    rows = [
        (v.scope, v.value, "holds" if n == 0 else "overridden")
        for n, v in enumerate(found.values)
    ]
    if not rows:
        rows = [(found.source, found.value, "holds")]
    print_table(("SET AT", "VALUE", ""), rows)
    return ExitCode.DONE


@app.command
def keys(*, target: Target) -> ExitCode:
    """Print every key that may be set."""
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
    return _change_one(Op(scope, key, parse_value(value)), author, target)


@app.command
def unset(
    key: KeyName, /, *, scope: Scope = FIRM, author: Author, target: Target
) -> ExitCode:
    """Take one value away, so that the level above holds again."""
    return _change_one(Op(scope, key), author, target)


def _change_one(op: Op, author: Author, target: Target) -> ExitCode:
    read = Connection(target).read("settings", Settings)
    if isinstance(read, Err):
        return print_failure(read.err_value, target.json)
    return commit(target, author, [op], read.ok_value.revision)


@app.command
def apply(file: SettingsFile, /, *, author: Author, target: Target) -> ExitCode:
    """Set every value of a TOML file that differs, all at once or none."""
    compared = _compare(file, target)
    if isinstance(compared, Err):
        return print_failure(compared.err_value, target.json)
    ops, revision = compared.ok_value
    if not ops:
        sys.stdout.write("nothing differs\n")
        return ExitCode.DONE
    return commit(target, author, ops, revision)


@app.command
def diff(file: SettingsFile, /, *, target: Target) -> ExitCode:
    """Print what 'apply' would change; the exit code is 6 where something differs."""
    compared = _compare(file, target)
    if isinstance(compared, Err):
        return print_failure(compared.err_value, target.json)
    ops, _ = compared.ok_value
    if target.json:
        print_document(ops)
    elif ops:
        rows = [(op.scope, op.key, op.before, op.value) for op in ops]
        print_table(("SCOPE", "KEY", "IN FORCE", "FILE"), rows)
    else:
        sys.stdout.write("nothing differs\n")
    return ExitCode.DIFFERS if ops else ExitCode.DONE


def _compare(file: Path, target: Target) -> Result[tuple[list[Op], int], Failure]:
    ops = read_ops(file)
    if isinstance(ops, Err):
        return ops
    read = Connection(target).read("settings", Settings)
    return read.map(lambda found: (changed_ops(ops.ok_value, found), found.revision))


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
    heads = ("CHANGE", "WHEN", "WHO", "SCOPE", "BEFORE", "AFTER", "WHY")
    print_table(heads, rows)
    return ExitCode.DONE


@app.command
def undo(number: ChangeNumber, /, *, author: Author, target: Target) -> ExitCode:
    """Put back what a change replaced, as a new change."""
    body = UndoRequest(author.name, author.reason)
    done = Connection(target).send(f"changes/{number}/undo", Change, body)
    if isinstance(done, Err):
        return print_failure(done.err_value, target.json)
    if target.json:
        print_document(done.ok_value)
    else:
        print_change(done.ok_value)
    return ExitCode.DONE
