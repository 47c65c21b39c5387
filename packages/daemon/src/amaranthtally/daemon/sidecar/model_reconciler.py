"""Brings the engine's models to what the operators want, one holder at a time."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from random import uniform

import aiohttp

from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.sidecar.engine_orders import EngineOrders, OrderError
from amaranthtally.daemon.sidecar.order_lease import LeaseNotHeldError, OrderLease
from amaranthtally.daemon.sidecar.served_models import ServedModels
from amaranthtally.daemon.sidecar.weights import WeightsError, copy_weights
from amaranthtally.platform import LeaseClient
from amaranthtally.policy import (
    DesiredModels,
    EngineModels,
    ModelPlan,
    plan_model_orders,
)
from amaranthtally.policy.model_orders import Load, Order, SetRole, Unload
from amaranthtally.settings import (
    Scope,
    SidecarSettings,
    Tree,
    longest_deadline_s,
    required_models,
)
from amaranthtally.settings.catalogue import ENDPOINT_PREFIX
from amaranthtally.settings.kinds import Role

__all__ = ["ModelReconciler"]

RETRY_S = 0.5
# An order of a paused former holder may have undone ours: look again now and then.
RECONCILE_S = 15.0

log = get_logger()


class ModelReconciler:
    """Plans the orders of one engine anew after each of them, and gives them."""

    def __init__(
        self,
        settings: SidecarSettings,
        session: aiohttp.ClientSession,
        served: ServedModels,
        announce: Callable[[], Awaitable[None]],
    ) -> None:
        self._settings = settings
        self._session = session
        self._served = served
        self._announce = announce
        self._engine = EngineOrders(session, settings.endpoint_url)
        self._lease = OrderLease(
            LeaseClient(session, settings.platform_url),
            settings.endpoint,
            settings.order_lease_ttl,
        )
        self._tree = Tree()
        self._wanted = DesiredModels()
        self._retry_s = RETRY_S

    def settings_changed(self, tree: Tree) -> None:
        """Take the models and the role of this endpoint's registration."""
        self._tree = tree
        table = tree.get(Scope(), ENDPOINT_PREFIX + self._settings.endpoint) or {}
        wanted = DesiredModels(
            tuple(table.get("models", ())),
            table.get("role", Role.BOTH.value),
            table.get("model_slots", 0),
        )
        if wanted != self._wanted:
            self._wanted = wanted
            self._served.want(wanted)

    async def run(self) -> None:
        """Bring the engine to what is wanted, again and again; never returns."""
        while True:
            wait_s = await self._reconcile()
            with suppress(TimeoutError):
                async with asyncio.timeout(wait_s * uniform(0.75, 1.25)):
                    await self._served.news.wait()
            self._served.news.clear()

    async def _reconcile(self) -> float:
        """Take the next step; return after how many seconds to look again."""
        try:
            plan = await self._plan()
        except OrderError as error:
            return self._failed(str(error))
        done = [await self._try(order) for order in plan.orders]
        if done:
            await self._look_again()
        if not all(done):
            return self._retry_s
        self._retry_s = RETRY_S
        # An engine's word of what it holds may lag behind an order.
        return RETRY_S if done or plan.pending else RECONCILE_S

    async def _look_again(self) -> None:
        """Answer what an order has loaded without waiting for the next step."""
        before = self._served.answered
        with suppress(OrderError):
            self._served.heard(await self._engine.state())
        if self._served.answered != before:
            await self._announce()

    async def _plan(self) -> ModelPlan:
        held = await self._engine.state()
        before = self._served.answered
        self._served.heard(held)
        plan = plan_model_orders(
            self._wanted,
            held,
            self._served.use_of_models(self._needed(held)),
            self._settings.unload_wait + longest_deadline_s(self._tree),
        )
        self._served.follow(plan)
        if plan.blocked_reason:
            self._note(f"{plan.blocked_reason}; raise model_slots or take a model off")
        if self._served.answered != before:
            await self._announce()
        return plan

    def _needed(self, held: EngineModels) -> frozenset[str]:
        # Costs a walk of the whole tree: only where a model might be unloaded.
        if held.models <= frozenset(self._wanted.models):
            return frozenset()
        return required_models(self._tree, self._settings.endpoint)

    # One order

    async def _try(self, order: Order) -> bool:
        try:
            await self._give(order)
        except (OrderError, WeightsError, LeaseNotHeldError) as error:
            self._failed(f"{_words(order)} failed: {error}")
            return False
        return True

    async def _give(self, order: Order) -> None:
        wanted, revision = self._wanted, self._tree.revision
        if isinstance(order, Load):
            await copy_weights(
                self._session,
                self._settings.platform_url,
                self._settings.endpoint_url,
                order.model,
            )
        async with self._lease.hold(revision) as grant:
            # Whoever held the lease before may have given the order meanwhile, and
            # the operators may want something else by now.
            done = _is_done(order, await self._engine.state())
            if done or self._wanted != wanted:
                return
            await self._engine.give(order, grant)
        log.info("model_ordered", **_fields(order), fencing=grant.fencing)
        self._note(f"{_words(order)}: done")

    # Outcomes

    def _failed(self, cause: str) -> float:
        self._retry_s = min(RECONCILE_S, 2 * self._retry_s)
        log.warning("model_order_failed", cause=cause)
        self._note(cause)
        return self._retry_s

    def _note(self, outcome: str) -> None:
        self._served.last_order = outcome


def _is_done(order: Order, held: EngineModels) -> bool:
    match order:
        case Load(model):
            return model in held.models
        case Unload(model):
            return model not in held.models
        case SetRole(role):
            return role == held.role


def _words(order: Order) -> str:
    return " ".join(_fields(order).values())


def _fields(order: Order) -> dict[str, str]:
    match order:
        case Load(model):
            return {"order": "load", "model": model}
        case Unload(model):
            return {"order": "unload", "model": model}
        case SetRole(role):
            return {"order": "role", "role": role}
