"""The registry of administration routes and the document that describes them."""

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
    "known_routes",
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
    """An error to answer a request with."""

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
    """A parameter of the query."""

    name: str
    doc: str
    type: str = "string"
    required: bool = False


@dataclass(frozen=True, slots=True)
class Route:
    """One call: its path, what it takes and gives, and the method that serves it."""

    method: str
    path: str
    summary: str
    query: tuple[Parameter, ...]
    body: type | None
    answer: type
    handler: Handler


_ROUTES: list[Route] = []


def route(
    method: str,
    path: str,
    answer: type,
    *,
    query: tuple[Parameter, ...] = (),
    body: type | None = None,
) -> Callable[[Handler], Handler]:
    """Register a method of the API; its docstring becomes the summary."""

    def register(handler: Handler) -> Handler:
        summary = " ".join((handler.__doc__ or "").split())
        _ROUTES.append(Route(method, path, summary, query, body, answer, handler))
        return handler

    return register


def known_routes() -> list[Route]:
    """Return every registered route."""
    return list(_ROUTES)


# OpenAPI


def openapi_document() -> dict[str, Any]:
    """Return the OpenAPI 3.1 document of the registered routes."""
    types = [r.answer for r in _ROUTES] + [r.body for r in _ROUTES if r.body]
    unique = list(dict.fromkeys([*types, AdminProblem]))
    _, schemas = msgspec.json.schema_components(unique, ref_template=REF_TEMPLATE)
    paths: dict[str, dict[str, Any]] = {}
    for found in _ROUTES:
        paths.setdefault(found.path, {})[found.method.lower()] = _operation(found)
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


def _operation(found: Route) -> dict[str, Any]:
    operation: dict[str, Any] = {
        "summary": found.summary,
        "operationId": getattr(found.handler, "__name__", found.path),
        "parameters": [_path_parameter(name) for name in _path_names(found.path)],
        "responses": {
            "200": _content("The result.", JSON_TYPE, found.answer),
            "default": _content("What went wrong.", CONTENT_TYPE, AdminProblem),
        },
    }
    operation["parameters"] += [_query_parameter(p) for p in found.query]
    if found.body is not None:
        operation["requestBody"] = _content("The request.", JSON_TYPE, found.body)
    return operation


def _content(description: str, media: str, kind: type) -> dict[str, Any]:
    schema = {"$ref": REF_TEMPLATE.format(name=kind.__name__)}
    return {"description": description, "content": {media: {"schema": schema}}}


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
