"""Checks of a batch before it is committed: keys, values, usable pipelines."""

import difflib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from amaranthtally.settings.catalogue import (
    ACCOUNT_KEY,
    DRAIN_PREFIX,
    ENDPOINT_PREFIX,
)
from amaranthtally.settings.keys import find_key, nearest_key
from amaranthtally.settings.kinds import Role
from amaranthtally.settings.models import (
    ANY_MODEL,
    STAGE_PREFIX,
    STAGES_KEY,
    Served,
    offers,
)
from amaranthtally.settings.tree import Op, Scope, Tree

__all__ = ["Mistake", "check_ops"]

NOTHING_SERVED: Served = {}


@dataclass(frozen=True, slots=True)
class Mistake:
    """What is wrong with one key of a batch, and the remedy."""

    scope: str
    key: str
    detail: str

    def __str__(self) -> str:
        return f"{self.key} at {self.scope}: {self.detail}"


def check_ops(
    tree: Tree, ops: Iterable[Op], served: Served = NOTHING_SERVED
) -> list[Mistake]:
    """
    Return what forbids committing ``ops`` on ``tree``; empty when nothing.

    ``served`` holds the models that engines are known to answer now, by endpoint:
    a pipeline is not switched to a model that none of its pool has loaded yet.
    """
    batch = list(ops)
    mistakes = [found for op in batch if (found := _check_op(op)) is not None]
    if mistakes:
        return mistakes
    after = tree.apply(batch)
    return [*_unknown_names(after, batch), *_unusable(tree, after, batch, served)]


# Keys and values


def _check_op(op: Op) -> Mistake | None:
    try:
        scope = Scope.parse(op.scope)
    except ValueError as error:
        return Mistake(op.scope, op.key, str(error))
    known = find_key(op.key)
    if known is None:
        return Mistake(op.scope, op.key, f"unknown key; {_remedy(nearest_key(op.key))}")
    if op.value is None:
        return None
    detail = known.mistake(scope, op.value)
    return Mistake(op.scope, op.key, detail) if detail else None


def _remedy(nearest: str) -> str:
    if nearest:
        return f"did you mean {nearest!r}?"
    return "see 'amaranthtally settings keys'"


def _unknown_names(after: Tree, batch: list[Op]) -> Iterator[Mistake]:
    pipelines = _named(after, STAGES_KEY, "pipeline")
    accounts = _named(after, ACCOUNT_KEY, "account")
    for op in batch:
        scope = Scope.parse(op.scope)
        if op.value is None:
            continue
        if scope.account and scope.account not in accounts:
            remedy = _nearest_name(scope.account, accounts, f"set {ACCOUNT_KEY} first")
            detail = f"no client account {scope.account!r}; {remedy}"
            yield Mistake(op.scope, op.key, detail)
        if scope.pipeline and scope.pipeline not in pipelines:
            remedy = _nearest_name(scope.pipeline, pipelines, "set its stages first")
            detail = f"no pipeline {scope.pipeline!r}; {remedy}"
            yield Mistake(op.scope, op.key, detail)


def _named(tree: Tree, key: str, level: str) -> set[str]:
    return {getattr(scope, level) for scope, k, _ in tree.items() if k == key}


def _nearest_name(name: str, known: set[str], otherwise: str) -> str:
    found = difflib.get_close_matches(name, known, 1)
    return f"did you mean {found[0]!r}?" if found else otherwise


# Usable pipelines


@dataclass(frozen=True, slots=True)
class _Fault:
    """A pipeline that cannot run, as a client account in a region meets it."""

    scope: Scope
    key: str
    detail: str


def _unusable(
    before: Tree, after: Tree, batch: list[Op], served: Served
) -> list[Mistake]:
    """Return the pipelines that the batch breaks; older faults don't block it."""
    prefixes = (STAGES_KEY, STAGE_PREFIX, ENDPOINT_PREFIX, DRAIN_PREFIX)
    if not any(op.key.startswith(prefixes) for op in batch):
        return []
    offered_before = _offered_models(before, served)
    offered = _offered_models(after, served, _role_changes(before, after, batch))
    scopes = _affected(after, batch, _has_less(offered_before, offered))
    faults = _faults(after, scopes, offered)
    if not faults:
        return []
    known = set(_faults(before, scopes, offered_before))
    new = [fault for fault in faults if fault not in known]
    return [Mistake(str(fault.scope), fault.key, fault.detail) for fault in new]


def _has_less(before: dict[str, set[str]], after: dict[str, set[str]]) -> bool:
    return any(not models <= after.get(pool, set()) for pool, models in before.items())


def _affected(tree: Tree, batch: list[Op], less_offered: bool) -> list[Scope]:
    """Return the scopes whose pipelines the batch may have broken."""
    if less_offered:
        return _pipeline_scopes(tree)
    places = [Scope.parse(op.scope) for op in batch if _is_stage_key(op.key)]
    if not places:
        return []
    scopes = _pipeline_scopes(tree)
    return [scope for scope in scopes if any(scope.overlaps(p) for p in places)]


def _is_stage_key(key: str) -> bool:
    return key == STAGES_KEY or key.startswith(STAGE_PREFIX)


def _faults(
    tree: Tree, scopes: list[Scope], offered: dict[str, set[str]]
) -> list[_Fault]:
    return [
        fault
        for scope in scopes
        for stage in tree.resolve(scope, STAGES_KEY) or ()
        for fault in _stage_faults(tree, scope, stage, offered)
    ]


def _stage_faults(
    tree: Tree, scope: Scope, stage: str, offered: dict[str, set[str]]
) -> Iterator[_Fault]:
    pool_key = f"{STAGE_PREFIX}{stage}.pool"
    pool = tree.resolve(scope, pool_key) or stage
    models = offered.get(pool)
    if models is None:
        detail = (
            f"pipeline {scope.pipeline!r} would have no endpoint for stage {stage!r}: "
            f"pool {pool!r} has none that takes work; "
            + _nearest_name(pool, set(offered), "register or undrain one first")
        )
        yield _Fault(scope, pool_key, detail)
        return
    model_key = f"{STAGE_PREFIX}{stage}.model"
    model = tree.resolve(scope, model_key) or ANY_MODEL
    if model != ANY_MODEL and not models & {model, ANY_MODEL}:
        remedy = _nearest_name(
            model,
            models,
            "load it on an endpoint first, or keep it on one that is not changing "
            "its role ('amaranthtally endpoints' shows what is loaded)",
        )
        detail = f"no endpoint of pool {pool!r} offers model {model!r}; {remedy}"
        yield _Fault(scope, model_key, detail)


def _offered_models(
    tree: Tree, served: Served, busy: frozenset[str] = frozenset()
) -> dict[str, set[str]]:
    """Return the models by pool, over the endpoints that take work."""
    offered: dict[str, set[str]] = {}
    for offer in offers(tree, served):
        if offer.endpoint not in busy:
            offered.setdefault(offer.pool, set()).update(offer.models)
    return offered


def _role_changes(before: Tree, after: Tree, batch: list[Op]) -> frozenset[str]:
    """
    Return the endpoints that take no calls for a while: their role changes.

    A pool whose engines all changed their role at once would refuse every call
    until the last running one had ended.
    """
    firm = Scope()
    changed = set()
    for op in batch:
        old, new = before.get(firm, op.key), after.get(firm, op.key)
        if not op.key.startswith(ENDPOINT_PREFIX) or old is None or new is None:
            continue
        if old.get("role", Role.BOTH.value) != new.get("role", Role.BOTH.value):
            changed.add(op.key.removeprefix(ENDPOINT_PREFIX))
    return frozenset(changed)


def _pipeline_scopes(tree: Tree) -> list[Scope]:
    """
    Return one scope for each way in which a pipeline may resolve.

    Only a region or client account that overrides a stage's key resolves
    otherwise than the pipeline itself, so the others need no look.
    """
    pipelines, accounts, regions = set(), {""}, {""}
    for scope, key, _ in tree.items():
        if not _is_stage_key(key):
            continue
        accounts.add(scope.account)
        regions.add(scope.region)
        if key == STAGES_KEY:
            pipelines.add(scope.pipeline)
    return [
        Scope(region, account, pipeline)
        for pipeline in sorted(pipelines)
        for account in sorted(accounts)
        for region in sorted(regions)
    ]
