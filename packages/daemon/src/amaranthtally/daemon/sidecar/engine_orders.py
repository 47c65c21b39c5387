"""Orders to a model engine, sent only while a lease is known to hold."""

import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass

import aiohttp
import msgspec

from amaranthtally.policy import EngineModels
from amaranthtally.policy.model_orders import Load, Order, SetRole, Unload
from amaranthtally.settings import ModelReference

__all__ = ["EngineOrders", "LeaseGrant", "LeaseExpiredError", "OrderError", "boot_time"]

ORDER_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 2.0
CONFLICT = 409


def boot_time() -> float:
    """Return seconds of a clock that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class OrderError(Exception):
    """The engine did not take an order."""


class LeaseExpiredError(OrderError):
    """Too little of the lease is left; nothing was sent."""

    def __init__(self) -> None:
        super().__init__("lease lapsed before the order was sent; take a new one")


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """A fencing number, and until when its lease surely holds, in boot seconds."""

    fencing: int
    until: float


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
    """The order calls of one engine."""

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
        """Return what the engine holds by its own word; raises ``OrderError``."""
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
        try:
            async with self._session.get(
                f"{self._url}/v1/load", timeout=timeout
            ) as response:
                response.raise_for_status()
                state = msgspec.json.decode(await response.read(), type=_EngineState)
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
            raise OrderError(
                f"engine's state unread: {type(error).__name__}"
            ) from error
        return EngineModels(frozenset(state.models), state.role)

    async def give(self, order: Order, grant: LeaseGrant) -> None:
        """Give one order; raises ``OrderError``."""
        body = msgspec.json.encode(_written(order, grant.fencing))
        try:
            async with self._session.post(
                f"{self._url}/v1/orders",
                data=self._checked(body, grant),
                timeout=aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S),
            ) as response:
                if response.status == CONFLICT:
                    raise OrderError("engine knows a newer fencing number")
                response.raise_for_status()
        except (aiohttp.ClientError, TimeoutError) as error:
            if isinstance(error.__cause__, LeaseExpiredError):
                raise error.__cause__ from None
            raise OrderError(f"order unanswered: {type(error).__name__}") from error

    async def _checked(self, order: bytes, grant: LeaseGrant) -> AsyncIterator[bytes]:
        # A holder that was paused between taking the lease and sending would give
        # an old order after its successor's, and an engine that ignores numbers
        # would obey. The body is made in the loop step that writes it, so the clock
        # is read after any pause up to here; only a pause between this line and the
        # write itself is not seen (docs/DESIGN.md).
        if self._clock() + ORDER_TIMEOUT_S > grant.until:
            raise LeaseExpiredError
        yield order


def _written(order: Order, fencing: int) -> _Order:
    match order:
        case Load(model):
            return _of_model("load", model, fencing)
        case Unload(model):
            return _of_model("unload", model, fencing)
        case SetRole(role):
            return _Order(fencing, "role", role=role)


def _of_model(action: str, model: str, fencing: int) -> _Order:
    named = ModelReference.parse(model)
    return _Order(fencing, action, named.base, named.adapter, named.version)
