"""The administration API, on its own address with its own keys."""

import hmac
import secrets
from datetime import UTC, datetime
from typing import Any

import msgspec
from aiohttp import hdrs, web
from result import Err

from amaranthtally.daemon.entry.executor import Executor
from amaranthtally.daemon.entry.problems import Problem, problem_response
from amaranthtally.daemon.entry.settings_store import ChangeConflict, SettingsStore
from amaranthtally.settings import Change, Op, Scope

__all__ = ["AdminApi", "add_admin_routes"]

CHANGE_ID_BYTES = 8


class _Proposal(msgspec.Struct, forbid_unknown_fields=True):
    who: str
    why: str
    ops: list[Op]
    revision: int | None = None


class AdminApi:
    """Reads and changes the tree of settings; tells the state of this entry."""

    def __init__(
        self, store: SettingsStore, executor: Executor, keys: list[str]
    ) -> None:
        self._store = store
        self._executor = executor
        self._keys = [key.encode() for key in keys]

    @web.middleware
    async def check_key(self, request: web.Request, handler: Any) -> web.StreamResponse:
        """Refuse a request without an administration key."""
        _, _, key = request.headers.get(hdrs.AUTHORIZATION, "").partition(" ")
        given = key.strip().encode()
        if not any(hmac.compare_digest(given, known) for known in self._keys):
            return problem_response(
                Problem(401, "Unknown key", "Send an administration key as Bearer.")
            )
        response: web.StreamResponse = await handler(request)
        return response

    async def read_settings(self, _: web.Request) -> web.Response:
        """Answer ``GET /admin/v1/settings``."""
        view = self._store.view
        values = [
            {"scope": str(scope), "key": key, "value": value}
            for scope, key, value in view.tree.items()
        ]
        return _json({"revision": view.revision, "values": values})

    async def read_status(self, _: web.Request) -> web.Response:
        """Answer ``GET /admin/v1/status``."""
        return _json(
            {
                "revision": self._store.view.revision,
                "in_flight": self._executor.in_flight,
                "endpoints": len(self._store.view.endpoints),
            }
        )

    async def create_change(self, request: web.Request) -> web.Response:
        """Answer ``POST /admin/v1/changes``."""
        try:
            proposal = msgspec.json.decode(await request.read(), type=_Proposal)
            change = self._change(proposal)
        except (msgspec.DecodeError, ValueError) as error:
            return problem_response(Problem(400, "Bad change", str(error)))
        committed = await self._store.commit(change)
        if isinstance(committed, Err):
            cause = committed.err_value
            status = 409 if isinstance(cause, ChangeConflict) else 503
            return problem_response(Problem(status, "Not committed", str(cause)))
        return _json(committed.ok_value)

    def _change(self, proposal: _Proposal) -> Change:
        tree = self._store.view.tree
        ops = [
            Op(o.scope, o.key, o.value, tree.get(Scope.parse(o.scope), o.key))
            for o in proposal.ops
        ]
        revision = tree.revision if proposal.revision is None else proposal.revision
        return Change(
            number=revision + 1,
            id=secrets.token_hex(CHANGE_ID_BYTES),
            who=proposal.who,
            when=datetime.now(UTC).isoformat(timespec="milliseconds"),
            why=proposal.why,
            ops=ops,
        )


def add_admin_routes(app: web.Application, api: AdminApi) -> None:
    """Add the administration routes to an application."""
    app.router.add_get("/admin/v1/settings", api.read_settings)
    app.router.add_get("/admin/v1/status", api.read_status)
    app.router.add_post("/admin/v1/changes", api.create_change)


def _json(document: Any) -> web.Response:
    return web.Response(
        body=msgspec.json.encode(document), content_type="application/json"
    )
