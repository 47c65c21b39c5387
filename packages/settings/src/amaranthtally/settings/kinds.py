"""Kinds of values that a key may take."""

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
    "choice",
    "flag",
    "model",
    "name",
    "names",
    "number",
    "table",
    "text",
    "whole",
]

NAME_PATTERN = r"^[a-z0-9][a-zA-Z0-9_.-]{0,62}$"
PART = r"[a-z0-9][a-zA-Z0-9_.-]{0,62}"
VERSION = r"[a-zA-Z0-9][a-zA-Z0-9_.-]{0,62}"
MODEL_PATTERN = rf"^{PART}(\+{PART})?(@{VERSION})?$"
ADDRESS_PATTERN = r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$"
UNBOUNDED = float("inf")


@dataclass(frozen=True, slots=True)
class Kind:
    """A type that msgspec checks, and the words for it."""

    type: Any
    text: str


class Role(Enum):
    """
    What a model engine does of a call: the prompt, the answer, or both.

    An engine with the role ``prefill`` cannot answer and takes no calls; one with
    ``decode`` takes them, but is slow at prompts that it has not cached.
    """

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"


class EndpointRegistration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    Where an endpoint stands; ``address`` is its sidecar's ``ip:port``.

    An empty list of ``models`` stands for any model; a call that names none gets
    the first. ``model_slots`` is how many models fit into the engine's memory at
    once; 0 sets no bound.
    """

    pool: Annotated[str, Meta(pattern=NAME_PATTERN)]
    host: Annotated[str, Meta(pattern=NAME_PATTERN)]
    region: Annotated[str, Meta(pattern=NAME_PATTERN)]
    data_centre: Annotated[str, Meta(pattern=NAME_PATTERN)]
    address: Annotated[str, Meta(pattern=ADDRESS_PATTERN)]
    models: list[Annotated[str, Meta(pattern=MODEL_PATTERN)]] = []
    role: Role = Role.BOTH
    model_slots: Annotated[int, Meta(ge=0)] = 0


def whole(low: int, high: int) -> Kind:
    """Return the kind of whole numbers from ``low`` to ``high``."""
    return Kind(
        Annotated[int, Meta(ge=low, le=high)], f"a whole number from {low} to {high}"
    )


def number(low: float, high: float = UNBOUNDED) -> Kind:
    """Return the kind of numbers from ``low`` to ``high``."""
    if high == UNBOUNDED:
        return Kind(Annotated[float, Meta(ge=low)], f"a number of at least {low:g}")
    limits = Meta(ge=low, le=high)
    return Kind(Annotated[float, limits], f"a number from {low:g} to {high:g}")


def flag() -> Kind:
    """Return the kind of true and false."""
    return Kind(bool, "true or false")


def text(pattern: str, words: str) -> Kind:
    """Return the kind of texts that match ``pattern``."""
    return Kind(Annotated[str, Meta(pattern=pattern)], words)


def name() -> Kind:
    """Return the kind of names."""
    return text(NAME_PATTERN, "a name of letters, digits, '.', '_' and '-'")


def names(at_least: int = 0) -> Kind:
    """Return the kind of lists of names."""
    item = Annotated[str, Meta(pattern=NAME_PATTERN)]
    return Kind(Annotated[list[item], Meta(min_length=at_least)], "a list of names")


def model() -> Kind:
    """Return the kind of references to models."""
    return text(MODEL_PATTERN, "a model as BASE, BASE+ADAPTER or either @VERSION")


def choice(*options: str) -> Kind:
    """Return the kind of texts that are one of ``options``."""
    return Kind(Literal[options], "one of " + ", ".join(options))


def table(struct: type[msgspec.Struct]) -> Kind:
    """Return the kind of tables with the fields of ``struct``."""
    fields = ", ".join(field.name for field in msgspec.structs.fields(struct))
    return Kind(struct, f"a table with the keys {fields}")
