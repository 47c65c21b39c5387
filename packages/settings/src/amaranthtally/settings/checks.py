"""Validates a batch of operations before commit: keys, values and pipelines."""

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
from amaranthtally.settings.mistakes import Mistake
from amaranthtally.settings.models import (
    ANY_MODEL,
    STAGE_PREFIX,
    STAGES_KEY,
    Served,
    offers,
)
from amaranthtally.settings.place_checks import place_mistakes
from amaranthtally.settings.tree import Op, Scope, Tree

__all__ = ["Mistake", "check_ops"]

NO_SERVED_MODELS: Served = {}


def check_ops(
    tree: Tree, ops: Iterable[Op], served: Served = NO_SERVED_MODELS
) -> list[Mistake]:
    """
    Return the mistakes that prevent committing ``ops`` to ``tree``; empty if none.

    ``served`` holds the models that engines currently serve, by endpoint. It prevents
    switching a pipeline to a model that no engine of its pool has loaded yet.
    """
    batch = list(ops)
    mistakes = [mistake for op in batch if (mistake := _check_op(op)) is not None]
    if mistakes:
        return mistakes
    after = tree.apply(batch)
    return [
        *_unknown_names(after, batch),
        *place_mistakes(after, batch),
        *_introduced_faults(tree, after, batch, served),
    ]


# Keys and values


def _check_op(op: Op) -> Mistake | None:
    try:
        scope = Scope.parse(op.scope)
    except ValueError as error:
        return Mistake(op.scope, op.key, str(error))
    known = find_key(op.key)
    if known is None:
        return Mistake(
            op.scope, op.key, f"unknown key; {_key_remedy(nearest_key(op.key))}"
        )
    if op.value is None:
        return None
    detail = known.mistake(scope, op.value)
    return Mistake(op.scope, op.key, detail) if detail else None


def _key_remedy(nearest: str) -> str:
    if nearest:
        return f"did you mean {nearest!r}?"
    return "see 'amaranthtally settings keys'"


def _unknown_names(after: Tree, batch: list[Op]) -> Iterator[Mistake]:
    pipelines = _names_at_level(after, STAGES_KEY, "pipeline")
    accounts = _names_at_level(after, ACCOUNT_KEY, "account")
    for op in batch:
        scope = Scope.parse(op.scope)
        if op.value is None:
            continue
        if scope.account and scope.account not in accounts:
            remedy = _name_remedy(scope.account, accounts, f"set {ACCOUNT_KEY} first")
            detail = f"no client account {scope.account!r}; {remedy}"
            yield Mistake(op.scope, op.key, detail)
        if scope.pipeline and scope.pipeline not in pipelines:
            remedy = _name_remedy(scope.pipeline, pipelines, "set its stages first")
            detail = f"no pipeline {scope.pipeline!r}; {remedy}"
            yield Mistake(op.scope, op.key, detail)


def _names_at_level(tree: Tree, key: str, level: str) -> set[str]:
    return {getattr(scope, level) for scope, k, _ in tree.items() if k == key}


def _name_remedy(name: str, known: set[str], default_remedy: str) -> str:
    matches = difflib.get_close_matches(name, known, 1)
    return f"did you mean {matches[0]!r}?" if matches else default_remedy


# Usable pipelines


@dataclass(frozen=True, slots=True)
class _Fault:
    """A stage that cannot run in a pipeline, as resolved at one scope."""

    scope: Scope
    key: str
    detail: str


def _introduced_faults(
    before: Tree, after: Tree, batch: list[Op], served: Served
) -> list[Mistake]:
    """Return the faults that the batch introduces; existing ones don't block it."""
    prefixes = (STAGES_KEY, STAGE_PREFIX, ENDPOINT_PREFIX, DRAIN_PREFIX)
    if not any(op.key.startswith(prefixes) for op in batch):
        return []
    offered_before = _offered_models(before, served)
    offered = _offered_models(
        after, served, _endpoints_changing_role(before, after, batch)
    )
    scopes = _affected_scopes(
        after, batch, _offers_fewer_models(offered_before, offered)
    )
    faults = _faults(after, scopes, offered)
    if not faults:
        return []
    known = set(_faults(before, scopes, offered_before))
    new = [fault for fault in faults if fault not in known]
    return [Mistake(str(fault.scope), fault.key, fault.detail) for fault in new]


def _offers_fewer_models(
    before: dict[str, set[str]], after: dict[str, set[str]]
) -> bool:
    return any(not models <= after.get(pool, set()) for pool, models in before.items())


def _affected_scopes(tree: Tree, batch: list[Op], offers_fewer: bool) -> list[Scope]:
    """Return the scopes whose pipelines may be unusable after the batch."""
    if offers_fewer:
        return _pipeline_scopes(tree)
    changed_scopes = [Scope.parse(op.scope) for op in batch if _is_stage_key(op.key)]
    if not changed_scopes:
        return []
    scopes = _pipeline_scopes(tree)
    return [
        scope
        for scope in scopes
        if any(scope.overlaps(changed) for changed in changed_scopes)
    ]


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
            + _name_remedy(pool, set(offered), "register or undrain one first")
        )
        yield _Fault(scope, pool_key, detail)
        return
    model_key = f"{STAGE_PREFIX}{stage}.model"
    model = tree.resolve(scope, model_key) or ANY_MODEL
    if model != ANY_MODEL and not models & {model, ANY_MODEL}:
        remedy = _name_remedy(
            model,
            models,
            "load it on an endpoint first, or keep it on one that is not changing "
            "its role ('amaranthtally endpoints' shows what is loaded)",
        )
        detail = f"no endpoint of pool {pool!r} offers model {model!r}; {remedy}"
        yield _Fault(scope, model_key, detail)


def _offered_models(
    tree: Tree, served: Served, changing_role: frozenset[str] = frozenset()
) -> dict[str, set[str]]:
    """Return the models that endpoints accepting work offer, by pool."""
    offered: dict[str, set[str]] = {}
    for offer in offers(tree, served):
        if offer.endpoint not in changing_role:
            offered.setdefault(offer.pool, set()).update(offer.models)
    return offered


def _endpoints_changing_role(
    before: Tree, after: Tree, batch: list[Op]
) -> frozenset[str]:
    """
    Return the endpoints whose role changes; they accept no calls meanwhile.

    If all engines of a pool changed their role at the same time, the pool would refuse
    every new call until all running calls had ended.
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
    Return the scopes at which a pipeline's stages may resolve differently.

    Only regions and client accounts that override a key of a stage resolve differently
    from the pipeline itself, so the others are not checked.
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
