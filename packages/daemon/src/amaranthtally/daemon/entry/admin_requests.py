"""Parses requests of the administration API and converts errors to responses."""

from typing import Any

from aiohttp import web
from result import Err, Ok, Result

from amaranthtally.daemon.entry.admin_routes import OPENAPI_PATH, AdminError
from amaranthtally.daemon.entry.committer import (
    ChangeConflict,
    ChangeRejected,
    CommitError,
)
from amaranthtally.decoding import decode_json
from amaranthtally.platform import PlatformError, PlatformOutcomeUnknown
from amaranthtally.settings import Change, Scope
from amaranthtally.settings.documents import MistakeRow

__all__ = ["parse_integer", "parse_scope", "read_body", "unwrap_commit", "unwrap_read"]


async def read_body(request: web.Request, kind: type[Any]) -> Any:
    """Return the decoded body; raises ``AdminError``."""
    try:
        decoded = decode_json(await request.read(), kind)
    except web.HTTPRequestEntityTooLarge as error:
        raise AdminError(413, "Body too large", "Split the batch.") from error
    if isinstance(decoded, Err):
        detail = f"{decoded.err_value}; see {OPENAPI_PATH}"
        raise AdminError(400, "Bad body", detail) from decoded.err_value
    return decoded.ok_value


def parse_integer(text: str | int, name: str) -> int:
    """Return an integer, negative ones as 0; raises ``AdminError``."""
    try:
        return max(0, int(text))
    except ValueError as error:
        detail = f"{name} {text!r}: give a whole number"
        raise AdminError(400, "Bad number", detail) from error


def parse_scope(text: str) -> Scope:
    """Return the scope that ``text`` names; raises ``AdminError``."""
    try:
        return Scope.parse(text)
    except ValueError as error:
        raise AdminError(400, "Bad scope", str(error)) from error


def unwrap_read(result: Result[Any, PlatformError]) -> Any:
    """Return the value read from the platform; raises ``AdminError``."""
    if isinstance(result, Err):
        raise AdminError(503, "Platform unreachable", str(result.err_value))
    return result.ok_value


def unwrap_commit(result: Result[Change, CommitError]) -> Change:
    """Return the committed change; raises ``AdminError``."""
    if isinstance(result, Ok):
        return result.ok_value
    cause = result.err_value
    detail = str(cause)
    if isinstance(cause, ChangeConflict):
        raise AdminError(
            409,
            "Conflict",
            detail,
            winner=cause.winner,
            difference=list(cause.difference),
        )
    if isinstance(cause, ChangeRejected):
        rows = [MistakeRow(m.scope, m.key, m.detail) for m in cause.mistakes]
        raise AdminError(422, "Change refused", detail, mistakes=rows)
    if isinstance(cause, PlatformOutcomeUnknown):
        raise AdminError(504, "Outcome unknown", detail)
    raise AdminError(503, "Platform unreachable", detail)
