"""Brings the engine's models to what the operators want, one holder at a time."""

import asyncio
import secrets
from contextlib import suppress
from random import uniform
from typing import TypeVar

import aiohttp
import msgspec
from result import Err, Result

from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.sidecar.engine_orders import (
    EngineOrders,
    Grant,
    OrderError,
    boot_time,
)
from amaranthtally.daemon.sidecar.weights import WeightsError, copy_weights
from amaranthtally.platform import LeaseClient, PlatformAnswerLost, PlatformError
from amaranthtally.settings import Scope, SidecarSettings, Tree
from amaranthtally.settings.catalogue import ENDPOINT_PREFIX

__all__ = ["ModelOrders"]

ValueT = TypeVar("ValueT")
KEY_PREFIX = "orders/"
HOLDER_BYTES = 8
# The platform counts the TTL from when it made the session, this process from
# before it asked: the margin is for clocks that run at different rates.
MARGIN_SHARE = 0.1
RETRY_S = 0.5
# An order of a paused former holder may have undone ours: look again now and then.
RECONCILE_S = 15.0

log = get_logger()


class _Fence(msgspec.Struct, frozen=True):
    """The value of an endpoint's key: its last fencing number, and who took it."""

    fencing: int = 0
    holder: str = ""


class _NotHeldError(Exception):
    """Another process holds the lease, or the platform cannot be reached."""


class ModelOrders:
    """
    Loads wanted models under a fencing number that only rises.

    The platform is written to for an order alone: a lease held for ever by each of
    11,000 sidecars would take more renewals than it can bear.
    """

    def __init__(
        self, settings: SidecarSettings, session: aiohttp.ClientSession
    ) -> None:
        self._settings = settings
        self._session = session
        self._leases = LeaseClient(session, settings.platform_url)
        self._engine = EngineOrders(session, settings.endpoint_url)
        self._key = KEY_PREFIX + settings.endpoint
        self._holder = secrets.token_hex(HOLDER_BYTES)
        self._wanted: frozenset[str] = frozenset()
        self._changed = asyncio.Event()

    def settings_changed(self, tree: Tree) -> None:
        """Take the models of this endpoint's registration."""
        table = tree.get(Scope(), ENDPOINT_PREFIX + self._settings.endpoint) or {}
        wanted = frozenset(table.get("models", ()))
        if wanted != self._wanted:
            self._wanted = wanted
            self._changed.set()

    async def run(self) -> None:
        """Bring the engine to what is wanted, again and again; never returns."""
        while True:
            wait_s = RECONCILE_S if await self._reconcile() else RETRY_S
            with suppress(TimeoutError):
                async with asyncio.timeout(wait_s * uniform(0.75, 1.25)):
                    await self._changed.wait()
            self._changed.clear()

    async def _reconcile(self) -> bool:
        try:
            if not self._wanted:
                return True
            for model in sorted(self._wanted - await self._engine.models()):
                await self._load(model)
        except (OrderError, WeightsError, _NotHeldError) as error:
            log.warning("model_order_failed", cause=str(error))
            return False
        return True

    async def _load(self, model: str) -> None:
        settings = self._settings
        await copy_weights(
            self._session, settings.platform_url, settings.endpoint_url, model
        )
        asked_at = boot_time()
        session = _value(await self._leases.open_session(settings.order_lease_ttl))
        try:
            fencing = await self._take_number(session)
            # Whoever held the lease before may have loaded the model meanwhile.
            if model in await self._engine.models():
                return
            ttl = settings.order_lease_ttl * (1 - MARGIN_SHARE)
            await self._engine.load_model(model, Grant(fencing, asked_at + ttl))
            log.info("model_ordered", model=model, fencing=fencing)
        finally:
            await self._leases.close_session(session)

    async def _take_number(self, session: str) -> int:
        held = _value(await self._leases.read(self._key))
        fencing = _fence(held.value).fencing + 1
        value = msgspec.json.encode(_Fence(fencing, self._holder))
        taken = await self._leases.acquire(self._key, value, held.index, session)
        if isinstance(taken, Err) and isinstance(taken.err_value, PlatformAnswerLost):
            # The write may have taken effect: the number is ours if our name is on
            # it. It can't be that of an earlier try, which had a lower number.
            found = _fence(_value(await self._leases.read(self._key)).value)
            if found != _Fence(fencing, self._holder):
                raise _NotHeldError("another process took the lease")
            return fencing
        if not _value(taken):
            raise _NotHeldError("another process holds the lease")
        return fencing


def _fence(value: bytes) -> _Fence:
    return msgspec.json.decode(value, type=_Fence) if value else _Fence()


def _value(answer: Result[ValueT, PlatformError]) -> ValueT:
    if isinstance(answer, Err):
        raise _NotHeldError(str(answer.err_value))
    return answer.ok_value
