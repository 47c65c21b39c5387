"""The lease and the fencing number under which one order is given."""

import secrets
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import TypeVar

import msgspec
from result import Err, Result

from amaranthtally.daemon.sidecar.engine_orders import LeaseGrant, boot_time
from amaranthtally.platform import LeaseClient, PlatformError, PlatformOutcomeUnknown

__all__ = ["LeaseNotHeldError", "OrderLease"]

ValueT = TypeVar("ValueT")
KEY_PREFIX = "orders/"
HOLDER_BYTES = 8
# The platform counts the TTL from when it made the session, this process from
# before it asked: the margin is for clocks that run at different rates.
MARGIN_SHARE = 0.1


class _Fence(msgspec.Struct, frozen=True):
    """
    The value of an endpoint's key: its last fencing number, and who took it.

    ``revision`` is that of the settings that the order was to bring about.
    """

    fencing: int = 0
    holder: str = ""
    revision: int = 0


class LeaseNotHeldError(Exception):
    """Another process holds the lease, or the platform cannot be reached."""


class OrderLease:
    """
    Takes a lease for one order, with a fencing number that only rises.

    The platform is written to for an order alone: a lease held for ever by each of
    11,000 sidecars would take more renewals than it can bear.
    """

    def __init__(self, leases: LeaseClient, endpoint: str, ttl: float) -> None:
        self._leases = leases
        self._key = KEY_PREFIX + endpoint
        self._ttl = ttl
        self._holder = secrets.token_hex(HOLDER_BYTES)

    @asynccontextmanager
    async def hold(self, revision: int) -> AsyncIterator[LeaseGrant]:
        """Hold the lease for an order under settings; raises ``LeaseNotHeldError``."""
        asked_at = boot_time()
        session = _value(await self._leases.open_session(self._ttl))
        try:
            fencing = await self._take_number(session, revision)
            yield LeaseGrant(fencing, asked_at + self._ttl * (1 - MARGIN_SHARE))
        finally:
            await self._leases.close_session(session)

    async def _take_number(self, session: str, revision: int) -> int:
        held = _value(await self._leases.read(self._key))
        last = _fence(held.value)
        # A holder that was paused and replaced wakes with old settings: it would
        # take the lease anew and unload what its successor has just loaded. What is
        # done under newer settings is not undone under older ones.
        if last.revision > revision:
            raise LeaseNotHeldError(
                f"orders were given under settings revision {last.revision}, "
                f"{revision} is known here; waiting for the newer"
            )
        mine = _Fence(last.fencing + 1, self._holder, revision)
        value = msgspec.json.encode(mine)
        taken = await self._leases.acquire(self._key, value, held.index, session)
        if isinstance(taken, Err) and isinstance(
            taken.err_value, PlatformOutcomeUnknown
        ):
            # The write may have taken effect: the number is ours if our name is on
            # it. It can't be that of an earlier try, which had a lower number.
            found = _fence(_value(await self._leases.read(self._key)).value)
            if found != mine:
                raise LeaseNotHeldError("another process took the lease")
            return mine.fencing
        if not _value(taken):
            raise LeaseNotHeldError("another process holds the lease")
        return mine.fencing


def _fence(value: bytes) -> _Fence:
    return msgspec.json.decode(value, type=_Fence) if value else _Fence()


def _value(answer: Result[ValueT, PlatformError]) -> ValueT:
    if isinstance(answer, Err):
        raise LeaseNotHeldError(str(answer.err_value))
    return answer.ok_value
