"""Commits settings changes and recovers the result when the response is lost."""

import getpass
import secrets
import sys
from dataclasses import dataclass
from typing import Annotated

from cyclopts import Parameter
from result import Err, Ok, Result

from amaranthtally.operator.connection import Connection, Failure, Target
from amaranthtally.operator.exit_codes import ExitCode
from amaranthtally.operator.output import print_change, print_document, print_failure
from amaranthtally.settings import Change, Op, Proposal
from amaranthtally.settings.documents import Changes

__all__ = ["Author", "commit"]

CHANGE_ID_BYTES = 8


@Parameter(name="*")
@dataclass(frozen=True)
class Author:
    """Who makes a change, and why; both are stored in the audit trail."""

    reason: str
    "Why the change is made; stored in the audit trail."
    who: Annotated[str, Parameter(env_var="AMARANTHTALLY_WHO")] = ""
    "Who makes the change; the login name by default."

    @property
    def name(self) -> str:
        """The name that the audit trail stores."""
        return self.who or getpass.getuser()


def commit(
    target: Target, author: Author, ops: list[Op], revision: int | None
) -> ExitCode:
    """Commit ``ops``, prepared at settings revision ``revision``; print the change."""
    change_id = secrets.token_hex(CHANGE_ID_BYTES)
    proposal = Proposal(author.name, author.reason, ops, revision, change_id)
    connection = Connection(target)
    committed = connection.send("changes", Change, proposal)
    if isinstance(committed, Err) and committed.err_value.may_have_applied:
        committed = _recover_change(connection, change_id, committed.err_value)
    if isinstance(committed, Err):
        return print_failure(committed.err_value, target.json)
    if target.json:
        print_document(committed.ok_value)
    else:
        print_change(committed.ok_value)
    return ExitCode.DONE


def _recover_change(
    connection: Connection, change_id: str, failure: Failure
) -> Result[Change, Failure]:
    """
    Look up a change by its id in the change log after its response was lost.

    An entry that dies after the commit sends no response. Sending the change again
    under a new id would then apply it twice.
    """
    sys.stderr.write(f"amaranthtally: {failure}; looking up change {change_id}\n")
    logged = connection.read("changes", Changes, id=change_id)
    if isinstance(logged, Ok) and logged.ok_value.changes:
        return Ok(logged.ok_value.changes[0])
    detail = (
        f"it is unknown whether change {change_id} was committed; "
        f"run 'amaranthtally audit --id {change_id}' before sending it again"
    )
    return Err(Failure(ExitCode.UNKNOWN, detail))
