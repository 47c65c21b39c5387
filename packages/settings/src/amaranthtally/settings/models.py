"""Model references, and the models that endpoints offer according to a tree."""

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
    "offers",
    "required_models",
]

ANY_MODEL = ""
DEADLINE_KEY = "deadline_ms"
STAGES_KEY = "stages"
STAGE_PREFIX = "stage."
_MODEL = re.compile(MODEL_PATTERN)
# The models that endpoints serve, as last reported to the entry, by endpoint.
Served = Mapping[str, frozenset[str]]


@dataclass(frozen=True, slots=True)
class ModelReference:
    """
    A base model, an optional adapter for it, and an optional version of both together.

    Written as ``base``, ``base@version``, ``base+adapter`` or ``base+adapter@version``.
    An empty adapter or version means that none is given.
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
        """Parse the text form of a reference; raises ``ValueError``."""
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
    """An endpoint that accepts calls, its pool, and the models that it offers."""

    endpoint: str
    pool: str
    models: frozenset[str]


def offers(tree: Tree, served: Served | None = None) -> Iterator[Offer]:
    """
    Yield an offer for every endpoint that accepts calls.

    A registered model is left out if ``served`` shows that the endpoint has not loaded
    it; without an item in ``served``, all registered models are offered.
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


def _offered(name: str, registration: dict[str, Any], served: Served) -> frozenset[str]:
    models = frozenset(registration.get("models") or (ANY_MODEL,))
    if ANY_MODEL in models or name not in served:
        return models
    return models & served[name]


def required_models(tree: Tree, endpoint: str) -> frozenset[str]:
    """
    Return the models that pipelines request and no other endpoint of the pool offers.

    They may be missing from the endpoint's own registration: a change that would leave
    a pipeline without its model is refused, but a drain of all other hosts is not
    reverted.
    """
    registration = tree.get(Scope(), ENDPOINT_PREFIX + endpoint)
    if registration is None:
        return frozenset()
    elsewhere: set[str] = set()
    for offer in offers(tree):
        if offer.pool == registration["pool"] and offer.endpoint != endpoint:
            elsewhere |= offer.models
    if ANY_MODEL in elsewhere:
        return frozenset()
    return frozenset(_requested_models(tree, registration["pool"]) - elsewhere)


def _requested_models(tree: Tree, pool: str) -> set[str]:
    """Return the models that any stage of any pipeline may request from a pool."""
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
    # A stage's pool and model may be set at different levels, so any pool of a stage
    # may be combined with any of its models.
    return {
        model
        for stage, stage_models in models.items()
        if pool == stage or pool in pools.get(stage, ())
        for model in stage_models
    }


def longest_deadline_s(tree: Tree) -> float:
    """Return the longest deadline in the tree, default included, in seconds."""
    known = find_key(DEADLINE_KEY)
    default = known.default if known is not None else MAX_DEADLINE_MS
    deadlines_ms = [value for _, key, value in tree.items() if key == DEADLINE_KEY]
    return max([default, *deadlines_ms]) / 1000
