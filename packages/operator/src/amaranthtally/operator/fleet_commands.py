"""``status``, ``endpoints``, ``drain``, ``undrain`` and ``audit``."""

import difflib
import sys
from typing import Annotated

from cyclopts import App, Parameter
from result import Err

from amaranthtally.operator.changes import Author, commit
from amaranthtally.operator.connection import Connection, Failure, Target
from amaranthtally.operator.exit_codes import ExitCode
from amaranthtally.operator.options import FIRM, Host, KeyName, Limit
from amaranthtally.operator.output import (
    print_document,
    print_failure,
    print_table,
)
from amaranthtally.settings import Op
from amaranthtally.settings.catalogue import DRAIN_PREFIX
from amaranthtally.settings.documents import Changes, EndpointRow, Endpoints, Status

__all__ = ["add_fleet_commands"]


def add_fleet_commands(app: App) -> None:
    """Add the commands to the application."""
    for command in (status, endpoints, drain, undrain, audit):
        app.command(command)


def status(*, target: Target) -> ExitCode:
    """Print the state of the entry that is asked."""
    read = Connection(target).read("status", Status)
    if isinstance(read, Err):
        return print_failure(read.err_value, target.json)
    found = read.ok_value
    if target.json:
        print_document(found)
        return ExitCode.DONE
    rows = [
        ("entry", found.entry),
        ("host", found.host),
        ("region", found.region),
        ("ready", "yes" if found.ready else "no"),
        ("platform", found.platform),
        ("revision", found.revision),
        ("requests in flight", found.in_flight),
        ("endpoints", found.endpoints),
    ]
    print_table(("FIELD", "VALUE"), rows)
    return ExitCode.DONE


def endpoints(
    *,
    pool: Annotated[str, Parameter(help="Only those of this pool.")] = "",
    models: Annotated[
        bool, Parameter(help="Show models, roles and orders.", negative="")
    ] = False,
    target: Target,
) -> ExitCode:
    """Print the registered endpoints and what this entry last heard of them."""
    read = Connection(target).read("endpoints", Endpoints)
    if isinstance(read, Err):
        return print_failure(read.err_value, target.json)
    found = read.ok_value
    rows = [row for row in found.endpoints if pool in ("", row.pool)]
    if target.json:
        print_document(Endpoints(found.revision, rows))
        return ExitCode.DONE
    if models:
        _print_models(rows)
    else:
        _print_loads(rows)
    return ExitCode.DONE


def _print_models(rows: list[EndpointRow]) -> None:
    heads = ("ENDPOINT", "POOL", "WANTED", "SERVED", "ROLE", "LAST ORDER")
    cells = [
        (
            row.id,
            row.pool,
            " ".join(row.models) or "any",
            _served(row),
            _role(row),
            row.last_order or "-",
        )
        for row in rows
    ]
    print_table(heads, cells)


def _served(row: EndpointRow) -> str:
    if not row.heard:
        return "not heard of"
    if row.served is None:
        return "any"
    return " ".join(row.served) or "none"


def _role(row: EndpointRow) -> str:
    if row.engine_role in ("", row.role):
        return row.role
    return f"{row.engine_role}, to be {row.role}"


def _print_loads(rows: list[EndpointRow]) -> None:
    heads = ("ENDPOINT", "POOL", "HOST", "REGION", "STATE", "RUNNING", "QUEUED")
    cells = [
        (row.id, row.pool, row.host, row.region, _state(row), row.running, row.queued)
        for row in rows
    ]
    print_table(heads, cells)


def _state(row: EndpointRow) -> str:
    if row.draining:
        return "draining"
    if row.leaving:
        return "leaving"
    return "live" if row.heard else "not heard of"


def drain(host: Host, /, *, author: Author, target: Target) -> ExitCode:
    """Give the endpoints of a host no new work; what runs there is finished."""
    return _set_drain(host, True, author, target)


def undrain(host: Host, /, *, author: Author, target: Target) -> ExitCode:
    """Give the endpoints of a host work again."""
    return _set_drain(host, None, author, target)


def _set_drain(
    host: str, value: bool | None, author: Author, target: Target
) -> ExitCode:
    read = Connection(target).read("endpoints", Endpoints)
    if isinstance(read, Err):
        return print_failure(read.err_value, target.json)
    hosts = {row.host for row in read.ok_value.endpoints}
    if host not in hosts:
        nearest = difflib.get_close_matches(host, hosts, 1)
        remedy = f"did you mean {nearest[0]!r}?" if nearest else "see 'endpoints'"
        detail = f"no endpoint on host {host!r}; {remedy}"
        return print_failure(Failure(ExitCode.REFUSED, detail), target.json)
    op = Op(FIRM, DRAIN_PREFIX + host, value)
    return commit(target, author, [op], read.ok_value.revision)


def audit(
    *,
    limit: Limit = 20,
    who: Annotated[str, Parameter(help="Only changes by this operator.")] = "",
    key: KeyName = "",
    change_id: Annotated[
        str, Parameter(name="--id", help="Only the change with this id.")
    ] = "",
    before: Annotated[int, Parameter(help="Only changes with a lower number.")] = 0,
    target: Target,
) -> ExitCode:
    """Print the trail of changes, newest first."""
    query = {"who": who, "key": key, "id": change_id, "limit": str(limit)}
    if before:
        query["before"] = str(before)
    read = Connection(target).read("changes", Changes, **query)
    if isinstance(read, Err):
        return print_failure(read.err_value, target.json)
    if target.json:
        print_document(read.ok_value)
        return ExitCode.DONE
    rows = [
        (change.number, change.when, change.who, len(change.ops), change.why, change.id)
        for change in read.ok_value.changes
    ]
    if not rows:
        sys.stdout.write("no such change\n")
        return ExitCode.DONE
    print_table(("CHANGE", "WHEN", "WHO", "VALUES", "WHY", "ID"), rows)
    return ExitCode.DONE
