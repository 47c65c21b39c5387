"""Plans the orders that bring an engine's models and role to the desired state."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

__all__ = [
    "DesiredModels",
    "EngineModels",
    "Load",
    "ModelPlan",
    "ModelUsage",
    "Order",
    "SetRole",
    "Unload",
    "plan_model_orders",
]

MAX_ORDERS = 4
PREFILL = "prefill"


@dataclass(frozen=True, slots=True)
class DesiredModels:
    """
    The models that an endpoint is to have, in order of preference, and its role.

    ``slots`` limits the number of models loaded at once; 0 means no limit. With no
    ``models``, the engine's models are left unchanged.
    """

    models: tuple[str, ...] = ()
    role: str = "both"
    slots: int = 0


@dataclass(frozen=True, slots=True)
class EngineModels:
    """The models and role that an engine reports; an empty role is unknown."""

    models: frozenset[str] = frozenset()
    role: str = ""


@dataclass(frozen=True, slots=True)
class ModelUsage:
    """
    The use of an endpoint's models by calls.

    ``running`` counts the accepted calls of each model that have not ended.
    ``idle_s`` is the time in seconds since a model was last desired or called.
    ``required`` models are used by a pipeline and available at no other endpoint.
    Calls of ``retired`` models are refused already, and all calls while ``paused``.
    """

    running: Mapping[str, int] = field(default_factory=dict)
    idle_s: Mapping[str, float] = field(default_factory=dict)
    required: frozenset[str] = frozenset()
    retired: frozenset[str] = frozenset()
    paused: bool = False


@dataclass(frozen=True, slots=True)
class Load:
    """Load a model, whose weights the engine may not have yet."""

    model: str


@dataclass(frozen=True, slots=True)
class Unload:
    """Unload a model that no call uses and for which new calls are refused."""

    model: str


@dataclass(frozen=True, slots=True)
class SetRole:
    """Change the role of an engine that is running no calls."""

    role: str


Order = Load | Unload | SetRole


@dataclass(frozen=True, slots=True)
class ModelPlan:
    """
    The calls to refuse from now on, and the orders to give now.

    Calls of ``retired`` models, or all calls while ``paused``, must be refused before
    the running ones are waited for. ``pending`` is set while the plan waits for calls
    to end, or for a model to be idle long enough to be unloaded. ``blocked_reason``
    says why a model cannot be loaded.
    """

    retired: frozenset[str] = frozenset()
    paused: bool = False
    orders: tuple[Order, ...] = ()
    pending: bool = False
    blocked_reason: str = ""


def plan_model_orders(
    desired: DesiredModels,
    current: EngineModels,
    usage: ModelUsage,
    unload_after_s: float,
) -> ModelPlan:
    """
    Return the next step from the current to the desired models and role.

    Models are loaded first, then the role is changed, then models are unloaded: a
    model is unloaded only when all desired ones are loaded, unless there is no memory
    for both. An unload or a change of role is ordered at the earliest one step after
    its calls are refused, and only when none is running, so that callers know of the
    refusal and no call is interrupted.
    """
    plan = _next_step(desired, current, usage, unload_after_s)
    # An engine in the prefill role cannot answer calls, and gets none while it loads.
    return replace(plan, paused=plan.paused or current.role == PREFILL)


def _next_step(
    desired: DesiredModels,
    current: EngineModels,
    usage: ModelUsage,
    unload_after_s: float,
) -> ModelPlan:
    missing = [model for model in desired.models if model not in current.models]
    undesired = _undesired(desired, current, usage)
    unloadable = [m for m in undesired if usage.idle_s.get(m, 0.0) >= unload_after_s]
    if missing:
        return _load_missing(desired, current, usage, unloadable, missing)
    if current.role and desired.role != current.role:
        return _change_role(desired.role, usage)
    plan = _unload(unloadable, usage, MAX_ORDERS)
    return replace(plan, pending=plan.pending or len(unloadable) < len(undesired))


def _undesired(
    desired: DesiredModels, current: EngineModels, usage: ModelUsage
) -> list[str]:
    if not desired.models:
        return []
    return sorted(current.models - frozenset(desired.models) - usage.required)


def _load_missing(
    desired: DesiredModels,
    current: EngineModels,
    usage: ModelUsage,
    unloadable: list[str],
    missing: list[str],
) -> ModelPlan:
    free_slots = desired.slots - len(current.models) if desired.slots else len(missing)
    if free_slots > 0:
        loads = [Load(model) for model in missing[: min(free_slots, MAX_ORDERS)]]
        return ModelPlan(orders=tuple(loads))
    if not unloadable:
        reason = f"no room for {missing[0]} beside {', '.join(sorted(current.models))}"
        return ModelPlan(pending=True, blocked_reason=reason)
    # Only as many as the missing models need: the others continue to serve calls.
    return _unload(unloadable[: len(missing) - free_slots], usage, MAX_ORDERS)


def _change_role(role: str, usage: ModelUsage) -> ModelPlan:
    if usage.paused and not any(usage.running.values()):
        return ModelPlan(paused=True, orders=(SetRole(role),))
    return ModelPlan(paused=True, pending=True)


def _unload(models: list[str], usage: ModelUsage, max_orders: int) -> ModelPlan:
    ready = [m for m in models if m in usage.retired and not usage.running.get(m, 0)]
    return ModelPlan(
        retired=frozenset(models),
        orders=tuple(Unload(model) for model in ready[:max_orders]),
        pending=len(ready) < len(models),
    )
