"""Which orders bring an engine's models and role to what the operators want."""

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
    What an endpoint is to hold, the most wanted model first, and its role.

    ``slots`` bounds the models held at once; 0 sets no bound. Without ``models``
    the engine's own are left as they are.
    """

    models: tuple[str, ...] = ()
    role: str = "both"
    slots: int = 0


@dataclass(frozen=True, slots=True)
class EngineModels:
    """What an engine holds by its own word; an empty role is not known."""

    models: frozenset[str] = frozenset()
    role: str = ""


@dataclass(frozen=True, slots=True)
class ModelUsage:
    """
    What is known of the calls of an endpoint's models.

    ``running`` counts accepted calls that have not ended. ``idle_s`` says for how
    long a model has been neither wanted nor called, in seconds. ``required`` models
    are asked for by a pipeline that no other endpoint could answer. ``retired``
    models and, while ``paused``, all calls are refused already.
    """

    running: Mapping[str, int] = field(default_factory=dict)
    idle_s: Mapping[str, float] = field(default_factory=dict)
    required: frozenset[str] = frozenset()
    retired: frozenset[str] = frozenset()
    paused: bool = False


@dataclass(frozen=True, slots=True)
class Load:
    """Load a model whose weights the engine may not have."""

    model: str


@dataclass(frozen=True, slots=True)
class Unload:
    """Give up a model that no call uses and none may use from now on."""

    model: str


@dataclass(frozen=True, slots=True)
class SetRole:
    """Change an engine's role while nothing runs on it."""

    role: str


Order = Load | Unload | SetRole


@dataclass(frozen=True, slots=True)
class ModelPlan:
    """
    What to refuse from now on, and the orders to give now.

    Calls of ``retired`` models, or all calls while ``paused``, are to be refused
    before their ends are waited for. ``pending`` while calls, or the time without
    calls before an unload, are waited for; ``blocked_reason`` says what
    prevents a load.
    """

    retired: frozenset[str] = frozenset()
    paused: bool = False
    orders: tuple[Order, ...] = ()
    pending: bool = False
    blocked_reason: str = ""


def plan_model_orders(
    wanted: DesiredModels, held: EngineModels, use: ModelUsage, unload_after_s: float
) -> ModelPlan:
    """
    Return the next step from what an engine holds to what is wanted.

    Loads come first, then the role, then unloads: a model is given up only when
    all that are wanted are there, unless memory has no room for both. An unload
    and a change of role are ordered only one step after their calls are refused,
    and when no call is left: whoever asks has then been told, and nothing is cut.
    """
    plan = _next_step(wanted, held, use, unload_after_s)
    # An engine that cannot answer gets no calls, also while it loads.
    return replace(plan, paused=plan.paused or held.role == PREFILL)


def _next_step(
    wanted: DesiredModels, held: EngineModels, use: ModelUsage, unload_after_s: float
) -> ModelPlan:
    missing = [model for model in wanted.models if model not in held.models]
    unwanted = _unwanted(wanted, held, use)
    spare = [m for m in unwanted if use.idle_s.get(m, 0.0) >= unload_after_s]
    if missing:
        return _make_room(wanted, held, use, spare, missing)
    if held.role and wanted.role != held.role:
        return _change_role(wanted.role, use)
    plan = _give_up(spare, use, MAX_ORDERS)
    return replace(plan, pending=plan.pending or len(spare) < len(unwanted))


def _unwanted(wanted: DesiredModels, held: EngineModels, use: ModelUsage) -> list[str]:
    if not wanted.models:
        return []
    return sorted(held.models - frozenset(wanted.models) - use.required)


def _make_room(
    wanted: DesiredModels,
    held: EngineModels,
    use: ModelUsage,
    spare: list[str],
    missing: list[str],
) -> ModelPlan:
    room = wanted.slots - len(held.models) if wanted.slots else len(missing)
    if room > 0:
        loads = [Load(model) for model in missing[: min(room, MAX_ORDERS)]]
        return ModelPlan(orders=tuple(loads))
    if not spare:
        detail = f"no room for {missing[0]} beside {', '.join(sorted(held.models))}"
        return ModelPlan(pending=True, blocked_reason=detail)
    # No more than the missing ones need: what stays loaded serves on.
    return _give_up(spare[: len(missing) - room], use, MAX_ORDERS)


def _change_role(role: str, use: ModelUsage) -> ModelPlan:
    if use.paused and not any(use.running.values()):
        return ModelPlan(paused=True, orders=(SetRole(role),))
    return ModelPlan(paused=True, pending=True)


def _give_up(spare: list[str], use: ModelUsage, most: int) -> ModelPlan:
    ready = [m for m in spare if m in use.retired and not use.running.get(m, 0)]
    return ModelPlan(
        retired=frozenset(spare),
        orders=tuple(Unload(model) for model in ready[:most]),
        pending=len(ready) < len(spare),
    )
