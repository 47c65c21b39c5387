"""Documents of the administration API, shared by the entry and the command line."""

from typing import Any

import msgspec

from amaranthtally.settings.proposal import Difference
from amaranthtally.settings.tree import Change

__all__ = [
    "AdminProblem",
    "Changes",
    "EndpointRow",
    "Endpoints",
    "Explanation",
    "KeyRow",
    "Keys",
    "MistakeRow",
    "Settings",
    "Status",
    "UndoRequest",
    "Value",
]


class Value(msgspec.Struct, frozen=True):
    """A value and the scope and key at which it is set."""

    scope: str
    key: str
    value: Any


class Settings(msgspec.Struct, frozen=True):
    """Every value that is set, at one revision."""

    revision: int
    values: list[Value]


class Explanation(msgspec.Struct, frozen=True):
    """
    The effective value of a key at a scope, and its source.

    ``source`` is the scope at which the value is set, ``default`` or ``unset``;
    ``values`` holds all values set for the scope, the effective one first.
    """

    revision: int
    scope: str
    key: str
    value: Any
    source: str
    values: list[Value]
    kind: str
    unit: str
    doc: str


class KeyRow(msgspec.Struct, frozen=True):
    """A key that may be set."""

    template: str
    kind: str
    unit: str
    default: Any
    levels: list[str]
    doc: str


class Keys(msgspec.Struct, frozen=True):
    """Every key that may be set."""

    keys: list[KeyRow]


class Changes(msgspec.Struct, frozen=True):
    """Changes, newest first."""

    revision: int
    changes: list[Change]


class UndoRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The operator who undoes a change, and the reason."""

    who: str
    why: str


class EndpointRow(msgspec.Struct, frozen=True):
    """
    State of an endpoint as this entry knows it.

    ``heard`` is false until the entry has received a load report from the endpoint.
    ``models`` and ``role`` are the desired state set by operators. Its sidecar reports
    ``served`` (``None`` if the endpoint serves any model), ``engine_role`` and
    ``last_order``.
    """

    id: str
    pool: str
    host: str
    region: str
    address: str
    draining: bool
    heard: bool = False
    leaving: bool = False
    running: int = 0
    queued: int = 0
    limit: int = 0
    revision: int = 0
    models: list[str] = []
    role: str = "both"
    served: list[str] | None = None
    engine_role: str = ""
    last_order: str = ""
    data_centre: str = ""
    evacuated: bool = False


class Endpoints(msgspec.Struct, frozen=True):
    """Every registered endpoint."""

    revision: int
    endpoints: list[EndpointRow]


class Status(msgspec.Struct, frozen=True):
    """The state of one entry."""

    entry: str
    host: str
    region: str
    revision: int
    ready: bool
    platform: str
    in_flight: int
    endpoints: int
    oldest_change: int
    evacuated: list[str] = []


class MistakeRow(msgspec.Struct, frozen=True):
    """A mistake in one key of a batch."""

    scope: str
    key: str
    detail: str


class AdminProblem(msgspec.Struct, frozen=True, omit_defaults=True):
    """An error (RFC 9457) with the mistakes or the conflict that caused it."""

    type: str
    title: str
    status: int
    detail: str
    mistakes: list[MistakeRow] = []
    winner: Change | None = None
    difference: list[Difference] = []
