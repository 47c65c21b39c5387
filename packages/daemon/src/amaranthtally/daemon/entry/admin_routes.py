"""The registry of administration routes, and their OpenAPI document."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from aiohttp import web

from amaranthtally.daemon.entry.problems import CONTENT_TYPE, problem_type
from amaranthtally.settings.documents import AdminProblem

__all__ = [
    "OPENAPI_PATH",
    "PREFIX",
    "AdminError",
    "Parameter",
    "Route",
    "registered_routes",
    "openapi_document",
    "route",
]

PREFIX = "/admin/v1"
OPENAPI_PATH = f"{PREFIX}/openapi.json"
REF_TEMPLATE = "#/components/schemas/{name}"
API_VERSION = "1"
JSON_TYPE = "application/json"

Handler = Callable[[Any, web.Request], Awaitable[Any]]


class AdminError(Exception):
    """An error that is returned to the client as a problem document."""

    def __init__(self, status: int, title: str, detail: str, **fields: Any) -> None:
        super().__init__(detail)
        self.problem = AdminProblem(
            problem_type(title), title, status, detail, **fields
        )

    def response(self) -> web.Response:
        """Return the HTTP response."""
        return web.Response(
            status=self.problem.status,
            body=msgspec.json.encode(self.problem),
            content_type=CONTENT_TYPE,
        )


@dataclass(frozen=True, slots=True)
class Parameter:
    """A query parameter."""

    name: str
    doc: str
    type: str = "string"
    required: bool = False


@dataclass(frozen=True, slots=True)
class Route:
    """A route: its path, parameters, request and response types, and its handler."""

    method: str
    path: str
    summary: str
    query: tuple[Parameter, ...]
    body: type | None
    response_type: type
    handler: Handler


_ROUTES: list[Route] = []


def route(
    method: str,
    path: str,
    response_type: type,
    *,
    query: tuple[Parameter, ...] = (),
    body: type | None = None,
) -> Callable[[Handler], Handler]:
    """Register a handler method; its docstring becomes the summary in OpenAPI."""

    def register(handler: Handler) -> Handler:
        summary = " ".join((handler.__doc__ or "").split())
        _ROUTES.append(
            Route(method, path, summary, query, body, response_type, handler)
        )
        return handler

    return register


def registered_routes() -> list[Route]:
    """Return every registered route."""
    return list(_ROUTES)


# OpenAPI


def openapi_document() -> dict[str, Any]:
    """Return the OpenAPI 3.1 document of the registered routes."""
    types = [r.response_type for r in _ROUTES] + [r.body for r in _ROUTES if r.body]
    unique = list(dict.fromkeys([*types, AdminProblem]))
    _, schemas = msgspec.json.schema_components(unique, ref_template=REF_TEMPLATE)
    paths: dict[str, dict[str, Any]] = {}
    for registered in _ROUTES:
        paths.setdefault(registered.path, {})[registered.method.lower()] = _operation(
            registered
        )
    return {
        "openapi": "3.1.0",
        "info": {"title": "amaranthtally administration", "version": API_VERSION},
        "paths": paths,
        "components": {
            "schemas": schemas,
            "securitySchemes": {"key": {"type": "http", "scheme": "bearer"}},
        },
        "security": [{"key": []}],
    }


def _operation(registered: Route) -> dict[str, Any]:
    operation: dict[str, Any] = {
        "summary": registered.summary,
        "operationId": getattr(registered.handler, "__name__", registered.path),
        "parameters": [_path_parameter(name) for name in _path_names(registered.path)],
        "responses": {
            "200": _content("The result.", JSON_TYPE, registered.response_type),
            "default": _content("What went wrong.", CONTENT_TYPE, AdminProblem),
        },
    }
    operation["parameters"] += [_query_parameter(p) for p in registered.query]
    if registered.body is not None:
        operation["requestBody"] = _content("The request.", JSON_TYPE, registered.body)
    return operation


def _content(description: str, media_type: str, body_type: type) -> dict[str, Any]:
    schema = {"$ref": REF_TEMPLATE.format(name=body_type.__name__)}
    return {"description": description, "content": {media_type: {"schema": schema}}}


def _path_names(path: str) -> list[str]:
    parts = path.split("/")
    return [part.strip("{}") for part in parts if part.startswith("{")]


def _path_parameter(name: str) -> dict[str, Any]:
    schema = {"type": "string"}
    return {"name": name, "in": "path", "required": True, "schema": schema}


def _query_parameter(parameter: Parameter) -> dict[str, Any]:
    return {
        "name": parameter.name,
        "in": "query",
        "description": parameter.doc,
        "required": parameter.required,
        "schema": {"type": parameter.type},
    }
