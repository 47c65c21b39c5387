"""Reads requests of the administration API and turns errors into answers."""

from typing import Any

import msgspec
from aiohttp import web
from result import Err, Ok, Result

from amaranthtally.daemon.entry.admin_routes import OPENAPI_PATH, AdminError
from amaranthtally.daemon.entry.committer import (
    ChangeConflict,
    ChangeRejected,
    CommitError,
)
from amaranthtally.platform import PlatformError, PlatformOutcomeUnknown
from amaranthtally.settings import Change, Scope
from amaranthtally.settings.documents import MistakeRow

__all__ = ["answer_commit", "answer_read", "body_of", "scope_of", "whole_number"]


async def body_of(request: web.Request, kind: type) -> Any:
    """Return the body; raises ``AdminError``."""
    try:
        return msgspec.json.decode(await request.read(), type=kind)
    except web.HTTPRequestEntityTooLarge as error:
        raise AdminError(413, "Body too large", "Split the batch.") from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        detail = f"{error}; see {OPENAPI_PATH}"
        raise AdminError(400, "Bad body", detail) from error


def whole_number(text: str | int, name: str) -> int:
    """Return a whole number, never below zero; raises ``AdminError``."""
    try:
        return max(0, int(text))
    except ValueError as error:
        detail = f"{name} {text!r}: give a whole number"
        raise AdminError(400, "Bad number", detail) from error


def scope_of(text: str) -> Scope:
    """Return the scope written as ``text``; raises ``AdminError``."""
    try:
        return Scope.parse(text)
    except ValueError as error:
        raise AdminError(400, "Bad scope", str(error)) from error


def answer_read(found: Result[Any, PlatformError]) -> Any:
    """Return what the platform gave; raises ``AdminError``."""
    if isinstance(found, Err):
        raise AdminError(503, "Platform unreachable", str(found.err_value))
    return found.ok_value


def answer_commit(done: Result[Change, CommitError]) -> Change:
    """Return the change that was committed; raises ``AdminError``."""
    if isinstance(done, Ok):
        return done.ok_value
    cause = done.err_value
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
