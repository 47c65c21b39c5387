"""Sends changes and settles the ones whose answer was lost."""

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
    """Who changes something, and why; both are kept in the audit."""

    reason: str
    "Why; kept in the audit."
    who: Annotated[str, Parameter(env_var="AMARANTHTALLY_WHO")] = ""
    "Who; the login name by default."

    @property
    def name(self) -> str:
        """The name for the audit."""
        return self.who or getpass.getuser()


def commit(
    target: Target, author: Author, ops: list[Op], revision: int | None
) -> ExitCode:
    """Commit a batch made at ``revision`` and print the change."""
    change_id = secrets.token_hex(CHANGE_ID_BYTES)
    proposal = Proposal(author.name, author.reason, ops, revision, change_id)
    connection = Connection(target)
    sent = connection.send("changes", Change, proposal)
    if isinstance(sent, Err) and sent.err_value.sent:
        sent = _settle(connection, change_id, sent.err_value)
    if isinstance(sent, Err):
        return print_failure(sent.err_value, target.json)
    if target.json:
        print_document(sent.ok_value)
    else:
        print_change(sent.ok_value)
    return ExitCode.DONE


def _settle(
    connection: Connection, change_id: str, lost: Failure
) -> Result[Change, Failure]:
    """
    Look whether a change whose answer was lost is in the log.

    An entry that dies after the commit leaves the operator without an answer; sent
    again under a new id the change would be made twice. It is looked for by its id.
    """
    sys.stderr.write(f"amaranthtally: {lost}; looking for change {change_id}\n")
    found = connection.read("changes", Changes, id=change_id)
    if isinstance(found, Ok) and found.ok_value.changes:
        return Ok(found.ok_value.changes[0])
    detail = (
        f"whether change {change_id} was made is not known; "
        f"run 'amaranthtally audit --id {change_id}' before sending it again"
    )
    return Err(Failure(ExitCode.UNKNOWN, detail))
