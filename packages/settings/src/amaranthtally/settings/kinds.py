"""Kinds of values that a settings key may have."""

from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

__all__ = [
    "MODEL_PATTERN",
    "EndpointRegistration",
    "Kind",
    "Role",
    "boolean",
    "choice",
    "integer",
    "model",
    "name",
    "names",
    "number",
    "table",
    "text",
]

MAX_VERSION_LENGTH = 63
NAME_PATTERN = r"^[a-z0-9][a-zA-Z0-9_.-]{0,62}$"
MODEL_NAME_PART = r"[a-z0-9][a-zA-Z0-9_.-]{0,62}"
MODEL_VERSION = r"[a-zA-Z0-9][a-zA-Z0-9_.-]{0,62}"
MODEL_PATTERN = rf"^{MODEL_NAME_PART}(\+{MODEL_NAME_PART})?(@{MODEL_VERSION})?$"
ADDRESS_PATTERN = r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$"
NO_UPPER_BOUND = float("inf")


@dataclass(frozen=True, slots=True)
class Kind:
    """A type for msgspec to validate, and its description in error messages."""

    type: Any
    text: str


class Role(Enum):
    """
    The phases of a call that a model engine runs: prefill, decoding, or both.

    An engine with the role ``prefill`` cannot generate answers and accepts no calls.
    One with the role ``decode`` accepts calls, but is slow with prompts that are not in
    its cache.
    """

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"


class EndpointRegistration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    Location and models of an endpoint; ``address`` is its sidecar's ``ip:port``.

    An empty list of ``models`` means any model; a call that names no model gets the
    first in the list. ``model_slots`` is the number of models that fit into memory of
    the engine at the same time; 0 means no limit. ``version`` is that of the endpoint's
    software: a stream that has begun goes on only at endpoints of the same version.
    """

    pool: Annotated[str, Meta(pattern=NAME_PATTERN)]
    host: Annotated[str, Meta(pattern=NAME_PATTERN)]
    region: Annotated[str, Meta(pattern=NAME_PATTERN)]
    data_centre: Annotated[str, Meta(pattern=NAME_PATTERN)]
    address: Annotated[str, Meta(pattern=ADDRESS_PATTERN)]
    models: list[Annotated[str, Meta(pattern=MODEL_PATTERN)]] = []
    role: Role = Role.BOTH
    model_slots: Annotated[int, Meta(ge=0)] = 0
    version: Annotated[str, Meta(max_length=MAX_VERSION_LENGTH)] = ""


def integer(low: int, high: int) -> Kind:
    """Return the kind of integers from ``low`` to ``high``, both included."""
    return Kind(
        Annotated[int, Meta(ge=low, le=high)], f"a whole number from {low} to {high}"
    )


def number(low: float, high: float = NO_UPPER_BOUND) -> Kind:
    """Return the kind of numbers from ``low`` to ``high``, both included."""
    if high == NO_UPPER_BOUND:
        return Kind(Annotated[float, Meta(ge=low)], f"a number of at least {low:g}")
    limits = Meta(ge=low, le=high)
    return Kind(Annotated[float, limits], f"a number from {low:g} to {high:g}")


def boolean() -> Kind:
    """Return the kind of booleans."""
    return Kind(bool, "true or false")


def text(pattern: str, description: str) -> Kind:
    """Return the kind of strings that match ``pattern``."""
    return Kind(Annotated[str, Meta(pattern=pattern)], description)


def name() -> Kind:
    """Return the kind of names."""
    return text(NAME_PATTERN, "a name of letters, digits, '.', '_' and '-'")


def names(at_least: int = 0) -> Kind:
    """Return the kind of lists of names with ``at_least`` items or more."""
    item = Annotated[str, Meta(pattern=NAME_PATTERN)]
    return Kind(Annotated[list[item], Meta(min_length=at_least)], "a list of names")


def model() -> Kind:
    """Return the kind of model references."""
    return text(MODEL_PATTERN, "a model as BASE, BASE+ADAPTER or either @VERSION")


def choice(*options: str) -> Kind:
    """Return the kind of strings that are one of ``options``."""
    return Kind(Literal[options], "one of " + ", ".join(options))


def table(struct: type[msgspec.Struct]) -> Kind:
    """Return the kind of tables with the fields of ``struct``."""
    fields = ", ".join(field.name for field in msgspec.structs.fields(struct))
    return Kind(struct, f"a table with the keys {fields}")
