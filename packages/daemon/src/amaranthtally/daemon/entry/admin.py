"""The administration API, which has its own address and keys."""

import hmac
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from aiohttp import hdrs, web

from amaranthtally.daemon.entry.admin_requests import (
    parse_integer,
    parse_scope,
    read_body,
    unwrap_commit,
    unwrap_read,
)
from amaranthtally.daemon.entry.admin_routes import (
    OPENAPI_PATH,
    PREFIX,
    AdminError,
    Parameter,
    Route,
    openapi_document,
    registered_routes,
    route,
)
from amaranthtally.daemon.entry.audit import AuditReader, ChangeFilter
from amaranthtally.daemon.entry.committer import Committer
from amaranthtally.daemon.settings_state import SettingsState
from amaranthtally.settings import (
    Change,
    Proposal,
    Scope,
    SettingsView,
    find_key,
    known_keys,
    nearest_key,
)
from amaranthtally.settings.catalogue import DRAIN_PREFIX
from amaranthtally.settings.documents import (
    Changes,
    EndpointRow,
    Endpoints,
    Explanation,
    KeyRow,
    Keys,
    Settings,
    Status,
    UndoRequest,
    Value,
)
from amaranthtally.settings.kinds import Role
from amaranthtally.wire import Load

__all__ = ["AdminApi", "AdminServices", "add_admin_routes"]

DEFAULT_LIMIT = 20
MAX_LIMIT = 1000


@dataclass(frozen=True, slots=True)
class AdminServices:
    """The services that the API uses."""

    state: SettingsState
    committer: Committer
    audit: AuditReader
    status: Callable[[], Status]
    loads: dict[str, Load]


class AdminApi:
    """Reads and changes the settings tree, and returns the state of this entry."""

    def __init__(self, services: AdminServices, keys: list[str]) -> None:
        self._services = services
        self._state = services.state
        self._keys = [key.encode() for key in keys]

    @web.middleware
    async def check_key(self, request: web.Request, handler: Any) -> web.StreamResponse:
        """Refuse requests without a valid key; convert ``AdminError`` to a response."""
        try:
            if request.path != OPENAPI_PATH:
                self._require_key(request)
            response: web.StreamResponse = await handler(request)
        except AdminError as error:
            return error.response()
        return response

    def _require_key(self, request: web.Request) -> None:
        _, _, key = request.headers.get(hdrs.AUTHORIZATION, "").partition(" ")
        sent_key = key.strip().encode()
        if not any(
            hmac.compare_digest(sent_key, valid_key) for valid_key in self._keys
        ):
            raise AdminError(
                401, "Unknown key", "Send an administration key as Bearer."
            )

    # Settings

    @route("GET", f"{PREFIX}/settings", Settings)
    async def read_settings(self, _: web.Request) -> Settings:
        """Every value that is set."""
        tree = self._state.tree
        values = [Value(str(scope), key, value) for scope, key, value in tree.items()]
        values.sort(key=lambda value: (value.scope, value.key))
        return Settings(tree.revision, values)

    @route("GET", f"{PREFIX}/settings/keys", Keys)
    async def read_keys(self, _: web.Request) -> Keys:
        """Every key that may be set, with kind, unit, range and default."""
        rows = [
            KeyRow(
                definition.template,
                definition.kind.text,
                definition.unit,
                definition.default,
                sorted(level.value for level in definition.placement.levels),
                definition.doc,
            )
            for definition in known_keys()
        ]
        return Keys(rows)

    @route(
        "GET",
        f"{PREFIX}/settings/explain",
        Explanation,
        query=(
            Parameter("key", "Name of the key.", required=True),
            Parameter("scope", "Scope to look from; firm when left out."),
        ),
    )
    async def explain(self, request: web.Request) -> Explanation:
        """The effective value at a scope, and the level that sets it."""
        name = request.query.get("key", "")
        scope = parse_scope(request.query.get("scope", "firm"))
        definition = find_key(name)
        if definition is None:
            nearest = nearest_key(name)
            remedy = f"did you mean {nearest!r}?" if nearest else "see settings/keys"
            raise AdminError(404, "Unknown key name", f"no key {name!r}; {remedy}")
        tree = self._state.tree
        holders = tree.explain(scope, name)
        source, value = "unset", definition.default
        if holders:
            source, value = str(holders[0][0]), holders[0][1]
        elif definition.default is not None:
            source = "default"
        return Explanation(
            tree.revision,
            str(scope),
            name,
            value,
            source,
            [
                Value(str(holder_scope), name, held_value)
                for holder_scope, held_value in holders
            ],
            definition.kind.text,
            definition.unit,
            definition.doc,
        )

    # Changes

    @route("POST", f"{PREFIX}/changes", Change, body=Proposal)
    async def create_change(self, request: web.Request) -> Change:
        """Commit a batch of values: all of them, or none."""
        proposal = await read_body(request, Proposal)
        return unwrap_commit(await self._services.committer.commit(proposal))

    @route("POST", f"{PREFIX}/changes/{{number}}/undo", Change, body=UndoRequest)
    async def undo_change(self, request: web.Request) -> Change:
        """Restore the values that a change replaced, as a new change."""
        undo_request = await read_body(request, UndoRequest)
        number = parse_integer(request.match_info["number"], "number")
        return unwrap_commit(
            await self._services.committer.undo(
                number, undo_request.who, undo_request.why
            )
        )

    @route(
        "GET",
        f"{PREFIX}/changes",
        Changes,
        query=(
            Parameter("limit", f"At most so many, {MAX_LIMIT} at most.", "integer"),
            Parameter("before", "Only changes with a lower number.", "integer"),
            Parameter("id", "Only the change with this id."),
            Parameter("key", "Only changes of this key."),
            Parameter("scope", "Only changes at this scope."),
            Parameter("who", "Only changes by this operator."),
        ),
    )
    async def read_changes(self, request: web.Request) -> Changes:
        """The audit trail, newest change first."""
        query = request.query
        criteria = ChangeFilter(
            limit=min(
                MAX_LIMIT, parse_integer(query.get("limit", DEFAULT_LIMIT), "limit")
            ),
            before=parse_integer(query.get("before", 0), "before"),
            id=query.get("id", ""),
            key=query.get("key", ""),
            scope=query.get("scope", ""),
            who=query.get("who", ""),
        )
        changes = unwrap_read(await self._services.audit.read(criteria))
        return Changes(self._state.revision, changes)

    @route("GET", f"{PREFIX}/changes/{{number}}", Change)
    async def read_change(self, request: web.Request) -> Change:
        """The change with the given number."""
        number = parse_integer(request.match_info["number"], "number")
        change = unwrap_read(await self._services.committer.find(number))
        if change is None:
            raise AdminError(
                404,
                "No such change",
                f"no change {number} is kept; see the audit",
            )
        return change

    # Endpoints and status

    @route("GET", f"{PREFIX}/endpoints", Endpoints)
    async def read_endpoints(self, _: web.Request) -> Endpoints:
        """Every registered endpoint and its last load report to this entry."""
        view = SettingsView(self._state.tree)
        rows = [
            self._endpoint(view, name, table)
            for name, table in sorted(view.endpoints.items())
        ]
        return Endpoints(view.revision, rows)

    def _endpoint(
        self, view: SettingsView, name: str, table: dict[str, Any]
    ) -> EndpointRow:
        draining = view.value(Scope(), DRAIN_PREFIX + table["host"])
        data_centre = table["data_centre"]
        load = self._services.loads.get(name)
        row = EndpointRow(
            name,
            table["pool"],
            table["host"],
            table["region"],
            table["address"],
            draining,
            models=table.get("models", []),
            role=table.get("role", Role.BOTH.value),
            data_centre=data_centre,
            evacuated=data_centre in view.evacuated_data_centres,
        )
        return row if load is None else _with_load(row, load)

    @route("GET", f"{PREFIX}/status", Status)
    async def read_status(self, _: web.Request) -> Status:
        """The state of this entry."""
        return self._services.status()


def _with_load(row: EndpointRow, load: Load) -> EndpointRow:
    models = load.models
    return msgspec.structs.replace(
        row,
        heard=True,
        leaving=load.leaving,
        running=load.running,
        queued=load.queued,
        limit=load.limit,
        revision=load.revision,
        served=None if models is None else sorted(models.served),
        engine_role="" if models is None else models.role,
        last_order="" if models is None else models.last_order,
    )


def add_admin_routes(app: web.Application, api: AdminApi) -> None:
    """Add the administration routes to an application."""
    for registered in registered_routes():
        app.router.add_route(
            registered.method, registered.path, _serve(api, registered)
        )
    document = msgspec.json.encode(openapi_document())

    async def openapi(_: web.Request) -> web.Response:
        return web.Response(body=document, content_type="application/json")

    app.router.add_get(OPENAPI_PATH, openapi)


def _serve(api: AdminApi, registered: Route) -> Any:
    async def serve(request: web.Request) -> web.Response:
        answer = msgspec.json.encode(await registered.handler(api, request))
        return web.Response(body=answer, content_type="application/json")

    return serve
