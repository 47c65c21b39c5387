"""``status``, ``endpoints``, ``drain``, ``evacuate``, their reverses, and ``audit``."""

import difflib
import sys
from typing import Annotated

from cyclopts import App, Parameter
from result import Err

from amaranthtally.operator.changes import Author, commit
from amaranthtally.operator.connection import Connection, Failure, Target
from amaranthtally.operator.exit_codes import ExitCode
from amaranthtally.operator.options import (
    FIRM,
    DataCentre,
    Host,
    KeyName,
    Limit,
)
from amaranthtally.operator.output import (
    print_document,
    print_failure,
    print_table,
)
from amaranthtally.settings import Op
from amaranthtally.settings.catalogue import DRAIN_PREFIX, EVACUATION_PREFIX
from amaranthtally.settings.documents import Changes, EndpointRow, Endpoints, Status

__all__ = ["add_fleet_commands"]


def add_fleet_commands(app: App) -> None:
    """Add the commands to the application."""
    for command in (
        status,
        endpoints,
        drain,
        undrain,
        evacuate,
        reinstate,
        audit,
    ):
        app.command(command)


def status(*, target: Target) -> ExitCode:
    """Print the state of the entry."""
    read = Connection(target).read("status", Status)
    if isinstance(read, Err):
        return print_failure(read.err_value, target.json)
    entry_status = read.ok_value
    if target.json:
        print_document(entry_status)
        return ExitCode.DONE
    rows = [
        ("entry", entry_status.entry),
        ("host", entry_status.host),
        ("region", entry_status.region),
        ("ready", "yes" if entry_status.ready else "no"),
        ("platform", entry_status.platform),
        ("revision", entry_status.revision),
        ("requests in flight", entry_status.in_flight),
        ("endpoints", entry_status.endpoints),
        ("evacuated", " ".join(entry_status.evacuated) or "none"),
    ]
    print_table(("FIELD", "VALUE"), rows)
    return ExitCode.DONE


def endpoints(
    *,
    pool: Annotated[str, Parameter(help="Print only the endpoints of this pool.")] = "",
    data_centre: Annotated[
        str, Parameter(help="Print only the endpoints in this data centre.")
    ] = "",
    models: Annotated[
        bool, Parameter(help="Print models, roles and last orders.", negative="")
    ] = False,
    target: Target,
) -> ExitCode:
    """Print the registered endpoints and the load they last reported to this entry."""
    read = Connection(target).read("endpoints", Endpoints)
    if isinstance(read, Err):
        return print_failure(read.err_value, target.json)
    document = read.ok_value
    rows = [
        row
        for row in document.endpoints
        if pool in ("", row.pool) and data_centre in ("", row.data_centre)
    ]
    if target.json:
        print_document(Endpoints(document.revision, rows))
        return ExitCode.DONE
    if models:
        _print_endpoint_models(rows)
    else:
        _print_endpoint_loads(rows)
    return ExitCode.DONE


def _print_endpoint_models(rows: list[EndpointRow]) -> None:
    headings = ("ENDPOINT", "POOL", "WANTED", "SERVED", "ROLE", "LAST ORDER")
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
    print_table(headings, cells)


def _served(row: EndpointRow) -> str:
    if not row.heard:
        return "no report"
    if row.served is None:
        return "any"
    return " ".join(row.served) or "none"


def _role(row: EndpointRow) -> str:
    if row.engine_role in ("", row.role):
        return row.role
    return f"{row.engine_role}, to be {row.role}"


def _print_endpoint_loads(rows: list[EndpointRow]) -> None:
    headings = ("ENDPOINT", "POOL", "HOST", "REGION", "STATE", "RUNNING", "QUEUED")
    cells = [
        (row.id, row.pool, row.host, row.region, _state(row), row.running, row.queued)
        for row in rows
    ]
    print_table(headings, cells)


def _state(row: EndpointRow) -> str:
    if row.evacuated:
        return "evacuated"
    if row.draining:
        return "draining"
    if row.leaving:
        return "leaving"
    return "live" if row.heard else "no report"


def drain(host: Host, /, *, author: Author, target: Target) -> ExitCode:
    """Send no new work to the endpoints of a host; running work is finished."""
    return _set_drain(host, True, author, target)


def undrain(host: Host, /, *, author: Author, target: Target) -> ExitCode:
    """Send work to the endpoints of a host again."""
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


def evacuate(data_centre: DataCentre, /, *, author: Author, target: Target) -> ExitCode:
    """Send nothing more to a data centre; 'endpoints' shows what still runs there."""
    return _set_evacuation(data_centre, True, author, target)


def reinstate(
    data_centre: DataCentre, /, *, author: Author, target: Target
) -> ExitCode:
    """Use an evacuated data centre again."""
    return _set_evacuation(data_centre, None, author, target)


def _set_evacuation(
    data_centre: str, value: bool | None, author: Author, target: Target
) -> ExitCode:
    read = Connection(target).read("status", Status)
    if isinstance(read, Err):
        return print_failure(read.err_value, target.json)
    if value is None and data_centre not in read.ok_value.evacuated:
        detail = f"data centre {data_centre!r} is not evacuated; see 'status'"
        return print_failure(Failure(ExitCode.REFUSED, detail), target.json)
    op = Op(FIRM, EVACUATION_PREFIX + data_centre, value)
    return commit(target, author, [op], read.ok_value.revision)


def audit(
    *,
    limit: Limit = 20,
    who: Annotated[str, Parameter(help="Print only changes by this operator.")] = "",
    key: KeyName = "",
    change_id: Annotated[
        str, Parameter(name="--id", help="Print only the change with this id.")
    ] = "",
    before: Annotated[
        int, Parameter(help="Print only changes with a lower number.")
    ] = 0,
    target: Target,
) -> ExitCode:
    """Print the audit trail of settings changes, newest first."""
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
        sys.stdout.write("no matching changes\n")
        return ExitCode.DONE
    print_table(("CHANGE", "WHEN", "WHO", "VALUES", "WHY", "ID"), rows)
    return ExitCode.DONE
