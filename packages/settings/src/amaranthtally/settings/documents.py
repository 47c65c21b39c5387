"""Documents of the administration API, the same for the entry and the command line."""

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
    """One value, where it is set."""

    scope: str
    key: str
    value: Any


class Settings(msgspec.Struct, frozen=True):
    """Every value that is set, at one revision."""

    revision: int
    values: list[Value]


class Explanation(msgspec.Struct, frozen=True):
    """
    The value that holds at a scope, and where it comes from.

    ``source`` is the scope that gave it, ``default``, or ``unset``; ``values`` are
    all that are set on the way, the one that holds first.
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
    """Who undoes a change, and why."""

    who: str
    why: str


class EndpointRow(msgspec.Struct, frozen=True):
    """
    An endpoint as this entry sees it; ``heard`` is false before any load came.

    ``models`` and ``role`` are what the operators want; ``served`` (``None`` where
    it answers any model), ``engine_role`` and ``last_order`` are its sidecar's word.
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


class MistakeRow(msgspec.Struct, frozen=True):
    """What is wrong with one key of a batch."""

    scope: str
    key: str
    detail: str


class AdminProblem(msgspec.Struct, frozen=True, omit_defaults=True):
    """An error (RFC 9457), with the mistakes or the conflict behind it."""

    type: str
    title: str
    status: int
    detail: str
    mistakes: list[MistakeRow] = []
    winner: Change | None = None
    difference: list[Difference] = []
