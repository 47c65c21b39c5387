"""References to models, and what the tree says of models at an endpoint."""

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from amaranthtally.settings.catalogue import (
    DRAIN_PREFIX,
    ENDPOINT_PREFIX,
    MAX_DEADLINE_MS,
)
from amaranthtally.settings.keys import find_key
from amaranthtally.settings.kinds import MODEL_PATTERN, Role
from amaranthtally.settings.tree import Scope, Tree

__all__ = [
    "ANY_MODEL",
    "STAGES_KEY",
    "STAGE_PREFIX",
    "ModelReference",
    "Offer",
    "Served",
    "longest_deadline_s",
    "required_models",
    "offers",
]

ANY_MODEL = ""
DEADLINE_KEY = "deadline_ms"
STAGES_KEY = "stages"
STAGE_PREFIX = "stage."
_MODEL = re.compile(MODEL_PATTERN)
# What an entry has heard of the models at endpoints, by endpoint.
Served = Mapping[str, frozenset[str]]


@dataclass(frozen=True, slots=True)
class ModelReference:
    """
    A base model, an adapter on it, and the version of the two together.

    Written ``base``, ``base@version``, ``base+adapter`` or ``base+adapter@version``;
    an empty adapter or version leaves it open.
    """

    base: str
    adapter: str = ""
    version: str = ""

    def __str__(self) -> str:
        adapter = f"+{self.adapter}" if self.adapter else ""
        version = f"@{self.version}" if self.version else ""
        return self.base + adapter + version

    @classmethod
    def parse(cls, text: str) -> "ModelReference":
        """Return the reference written as ``text``; raises ``ValueError``."""
        if not _MODEL.fullmatch(text):
            raise ValueError(
                f"model {text!r}: write BASE, BASE@VERSION, BASE+ADAPTER or "
                "BASE+ADAPTER@VERSION"
            )
        name, _, version = text.partition("@")
        base, _, adapter = name.partition("+")
        return cls(base, adapter, version)


@dataclass(frozen=True, slots=True)
class Offer:
    """An endpoint that takes calls of a pool, and the models it is to answer."""

    endpoint: str
    pool: str
    models: frozenset[str]


def offers(tree: Tree, served: Served | None = None) -> Iterator[Offer]:
    """
    Yield what the endpoints that take work offer.

    What an endpoint is to hold counts only where it is not known to lack it.
    """
    firm = Scope()
    for _, key, value in tree.items():
        if not key.startswith(ENDPOINT_PREFIX):
            continue
        if value.get("role") == Role.PREFILL.value:
            continue
        if tree.get(firm, DRAIN_PREFIX + value["host"]):
            continue
        name = key.removeprefix(ENDPOINT_PREFIX)
        yield Offer(name, value["pool"], _offered(name, value, served or {}))


def _offered(name: str, table: dict[str, Any], served: Served) -> frozenset[str]:
    models = frozenset(table.get("models") or (ANY_MODEL,))
    if ANY_MODEL in models or name not in served:
        return models
    return models & served[name]


def required_models(tree: Tree, endpoint: str) -> frozenset[str]:
    """
    Return the models that pipelines ask for and only this endpoint could answer.

    Its own registration may name them no more: a change that leaves a pipeline
    without its model is refused, but a drain of all other hosts is not undone.
    """
    table = tree.get(Scope(), ENDPOINT_PREFIX + endpoint)
    if table is None:
        return frozenset()
    elsewhere: set[str] = set()
    for offer in offers(tree):
        if offer.pool == table["pool"] and offer.endpoint != endpoint:
            elsewhere |= offer.models
    if ANY_MODEL in elsewhere:
        return frozenset()
    return frozenset(_asked(tree, table["pool"]) - elsewhere)


def _asked(tree: Tree, pool: str) -> set[str]:
    """Return the models that a stage of any pipeline may ask of a pool."""
    pools: dict[str, set[str]] = {}
    models: dict[str, set[str]] = {}
    for _, key, value in tree.items():
        if not key.startswith(STAGE_PREFIX):
            continue
        stage, _, name = key.removeprefix(STAGE_PREFIX).partition(".")
        if name == "pool":
            pools.setdefault(stage, set()).add(value)
        elif name == "model":
            models.setdefault(stage, set()).add(value)
    # A pool and a model may be set at different levels: any two may come together.
    return {
        model
        for stage, asked in models.items()
        if pool == stage or pool in pools.get(stage, ())
        for model in asked
    }


def longest_deadline_s(tree: Tree) -> float:
    """Return the longest deadline that a request may have by the tree, in seconds."""
    known = find_key(DEADLINE_KEY)
    default = known.default if known is not None else MAX_DEADLINE_MS
    found = [value for _, key, value in tree.items() if key == DEADLINE_KEY]
    return max([default, *found]) / 1000
