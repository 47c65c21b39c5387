"""Sends orders to a model engine, but only while the order lease is valid."""

import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import aiohttp
import msgspec

from amaranthtally.decoding import DecodeError, decode_json, unwrap_decoded
from amaranthtally.platform import read_body
from amaranthtally.policy import EngineModels
from amaranthtally.policy.model_orders import Load, Order, SetRole, Unload
from amaranthtally.settings import ModelReference

__all__ = ["EngineOrders", "LeaseExpiredError", "LeaseGrant", "OrderError", "boot_time"]

ORDER_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 2.0
CONFLICT = 409


def boot_time() -> float:
    """Return the boot-time clock in seconds; it also counts while suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class OrderError(Exception):
    """An order failed, or the engine's state could not be read."""


class LeaseExpiredError(OrderError):
    """Too little of the lease is left; the order was not sent."""

    def __init__(self) -> None:
        super().__init__("lease lapsed before the order was sent; take a new one")


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """A fencing number, and the boot time until which its lease is certainly valid."""

    fencing: int
    valid_until: float


class _Order(msgspec.Struct):
    fencing: int
    action: str
    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""


class _EngineState(msgspec.Struct):
    models: list[str] = []
    role: str = ""


class EngineOrders:
    """A client of one engine's order interface."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        url: str,
        clock: Callable[[], float] = boot_time,
    ) -> None:
        self._session = session
        self._url = url
        self._clock = clock

    async def state(self) -> EngineModels:
        """Return the models and role that the engine reports; raise ``OrderError``."""
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
        try:
            async with self._session.get(
                f"{self._url}/v1/load", timeout=timeout
            ) as response:
                response.raise_for_status()
                body = await read_body(response)
                state = unwrap_decoded(decode_json(body, _EngineState))
        except (aiohttp.ClientError, TimeoutError, DecodeError) as error:
            raise OrderError(
                f"engine's state unread: {type(error).__name__}"
            ) from error
        return EngineModels(frozenset(state.models), state.role)

    async def send(self, order: Order, grant: LeaseGrant) -> None:
        """Send one order; raise ``OrderError`` if it fails."""
        body = msgspec.json.encode(_to_message(order, grant.fencing))
        try:
            async with self._session.post(
                f"{self._url}/v1/orders",
                data=self._checked_body(body, grant),
                timeout=aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S),
            ) as response:
                if response.status == CONFLICT:
                    raise OrderError("engine knows a newer fencing number")
                response.raise_for_status()
        except (aiohttp.ClientError, TimeoutError) as error:
            if isinstance(error.__cause__, LeaseExpiredError):
                raise error.__cause__ from None
            raise OrderError(f"order unanswered: {type(error).__name__}") from error

    async def _checked_body(
        self, order: bytes, grant: LeaseGrant
    ) -> AsyncIterator[bytes]:
        # A lease holder that was paused between acquiring the lease and sending would
        # send an outdated order after its successor's, and an engine that ignores
        # fencing numbers would execute it. The body is generated in the event loop
        # step that writes it, so that the clock is read after any such pause. Only a
        # pause between this check and the write itself goes undetected
        # (docs/DESIGN.md).
        if self._clock() + ORDER_TIMEOUT_S > grant.valid_until:
            raise LeaseExpiredError
        yield order


def _to_message(order: Order, fencing: int) -> _Order:
    match order:
        case Load(model):
            return _model_message("load", model, fencing)
        case Unload(model):
            return _model_message("unload", model, fencing)
        case SetRole(role):
            return _Order(fencing, "role", role=role)


def _model_message(action: str, model: str, fencing: int) -> _Order:
    reference = ModelReference.parse(model)
    return _Order(fencing, action, reference.base, reference.adapter, reference.version)
