"""Reconciles an engine's models with the settings, guarded by a lease per order."""

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
# Interval of the periodic check, in seconds: a late order of a previous lease holder
# may have undone an order of this process.
RECONCILE_INTERVAL_S = 15.0

log = get_logger()


class ModelReconciler:
    """Plans the orders to one engine and sends them; plans again after each step."""

    def __init__(
        self,
        settings: SidecarSettings,
        session: aiohttp.ClientSession,
        models: ServedModels,
        announce: Callable[[], Awaitable[None]],
    ) -> None:
        self._settings = settings
        self._session = session
        self._models = models
        self._announce = announce
        self._engine = EngineOrders(session, settings.endpoint_url)
        self._lease = OrderLease(
            LeaseClient(session, settings.platform_url),
            settings.endpoint,
            settings.order_lease_ttl,
        )
        self._tree = Tree()
        self._desired = DesiredModels()
        self._retry_s = RETRY_S

    def settings_changed(self, tree: Tree) -> None:
        """Read the desired models and role from this endpoint's registration."""
        self._tree = tree
        table = tree.get(Scope(), ENDPOINT_PREFIX + self._settings.endpoint) or {}
        desired = DesiredModels(
            tuple(table.get("models", ())),
            table.get("role", Role.BOTH.value),
            table.get("model_slots", 0),
        )
        if desired != self._desired:
            self._desired = desired
            self._models.set_desired(desired)

    async def run(self) -> None:
        """Reconcile the engine's models repeatedly; never returns."""
        while True:
            wait_s = await self._reconcile()
            with suppress(TimeoutError):
                async with asyncio.timeout(wait_s * uniform(0.75, 1.25)):
                    await self._models.changed.wait()
            self._models.changed.clear()

    async def _reconcile(self) -> float:
        """Execute the next step; return the seconds until the next check."""
        try:
            plan = await self._plan()
        except OrderError as error:
            return self._record_failure(str(error))
        succeeded = [await self._try_order(order) for order in plan.orders]
        if succeeded:
            await self._refresh_served()
        if not all(succeeded):
            return self._retry_s
        self._retry_s = RETRY_S
        # The state that an engine reports may lag behind an order.
        return RETRY_S if succeeded or plan.pending else RECONCILE_INTERVAL_S

    async def _refresh_served(self) -> None:
        """Serve a model that was just loaded without waiting for the next step."""
        before = self._models.served
        with suppress(OrderError):
            self._models.set_loaded(await self._engine.state())
        if self._models.served != before:
            await self._announce()

    async def _plan(self) -> ModelPlan:
        loaded = await self._engine.state()
        before = self._models.served
        self._models.set_loaded(loaded)
        plan = plan_model_orders(
            self._desired,
            loaded,
            self._models.usage(self._required(loaded)),
            self._settings.unload_wait + longest_deadline_s(self._tree),
        )
        self._models.apply(plan)
        if plan.blocked_reason:
            self._set_last_order(
                f"{plan.blocked_reason}; raise model_slots or take a model off"
            )
        if self._models.served != before:
            await self._announce()
        return plan

    def _required(self, loaded: EngineModels) -> frozenset[str]:
        # This walks the whole settings tree, so it is done only if a model may have to
        # be unloaded.
        if loaded.models <= frozenset(self._desired.models):
            return frozenset()
        return required_models(self._tree, self._settings.endpoint)

    # One order

    async def _try_order(self, order: Order) -> bool:
        try:
            await self._execute(order)
        except (OrderError, WeightsError, LeaseNotHeldError) as error:
            self._record_failure(f"{_text(order)} failed: {error}")
            return False
        return True

    async def _execute(self, order: Order) -> None:
        desired, revision = self._desired, self._tree.revision
        if isinstance(order, Load):
            await copy_weights(
                self._session,
                self._settings.platform_url,
                self._settings.endpoint_url,
                order.model,
            )
        async with self._lease.hold(revision) as grant:
            # The previous lease holder may have executed the order in the meantime, and
            # the settings may have changed.
            is_done = _is_done(order, await self._engine.state())
            if is_done or self._desired != desired:
                return
            await self._engine.send(order, grant)
        log.info("model_ordered", **_log_fields(order), fencing=grant.fencing)
        self._set_last_order(f"{_text(order)}: done")

    # Outcomes

    def _record_failure(self, cause: str) -> float:
        self._retry_s = min(RECONCILE_INTERVAL_S, 2 * self._retry_s)
        log.warning("model_order_failed", cause=cause)
        self._set_last_order(cause)
        return self._retry_s

    def _set_last_order(self, outcome: str) -> None:
        self._models.last_order = outcome


def _is_done(order: Order, loaded: EngineModels) -> bool:
    match order:
        case Load(model):
            return model in loaded.models
        case Unload(model):
            return model not in loaded.models
        case SetRole(role):
            return role == loaded.role


def _text(order: Order) -> str:
    return " ".join(_log_fields(order).values())


def _log_fields(order: Order) -> dict[str, str]:
    match order:
        case Load(model):
            return {"order": "load", "model": model}
        case Unload(model):
            return {"order": "unload", "model": model}
        case SetRole(role):
            return {"order": "role", "role": role}
