"""The lease and the fencing number that protect an order to an engine."""

import secrets
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import TypeVar

import msgspec
from result import Err, Result

from amaranthtally.daemon.sidecar.engine_orders import LeaseGrant, boot_time
from amaranthtally.decoding import decode_json
from amaranthtally.platform import LeaseClient, PlatformError, PlatformOutcomeUnknown

__all__ = ["LeaseNotHeldError", "OrderLease"]

ValueT = TypeVar("ValueT")
KEY_PREFIX = "orders/"
HOLDER_BYTES = 8
# The platform counts the TTL from the creation of the session, this process from before
# its request. The margin covers clocks that run at different rates.
MARGIN_SHARE = 0.1


class _Fence(msgspec.Struct, frozen=True):
    """
    The value of an endpoint's key: the last fencing number and its holder.

    ``revision`` is the revision of the settings that the holder's order implements.
    """

    fencing: int = 0
    holder: str = ""
    revision: int = 0


class LeaseNotHeldError(Exception):
    """Another process holds the lease, or the platform cannot be reached."""


class OrderLease:
    """
    Acquires a lease for each order, with a monotonically increasing fencing number.

    The platform is written to only when there is an order: leases held permanently by
    11,000 sidecars would need more renewals than it can handle.
    """

    def __init__(self, leases: LeaseClient, endpoint: str, ttl: float) -> None:
        self._leases = leases
        self._key = KEY_PREFIX + endpoint
        self._ttl = ttl
        self._holder = secrets.token_hex(HOLDER_BYTES)

    @asynccontextmanager
    async def hold(self, revision: int) -> AsyncIterator[LeaseGrant]:
        """
        Hold the lease for an order that implements a settings revision.

        Raises ``LeaseNotHeldError``.
        """
        requested_at = boot_time()
        session = _unwrap(await self._leases.open_session(self._ttl))
        try:
            fencing = await self._acquire_number(session, revision)
            yield LeaseGrant(fencing, requested_at + self._ttl * (1 - MARGIN_SHARE))
        finally:
            await self._leases.close_session(session)

    async def _acquire_number(self, session: str, revision: int) -> int:
        stored = _unwrap(await self._leases.read(self._key))
        last = _decode_fence(stored.value)
        # A holder that was paused and replaced resumes with old settings. It would
        # acquire the lease again and unload what its successor has just loaded. Orders
        # of newer settings must not be undone by orders of older ones.
        if last.revision > revision:
            raise LeaseNotHeldError(
                f"orders were given under settings revision {last.revision}, "
                f"{revision} is known here; waiting for the newer"
            )
        own_fence = _Fence(last.fencing + 1, self._holder, revision)
        value = msgspec.json.encode(own_fence)
        acquired = await self._leases.acquire(self._key, value, stored.index, session)
        if isinstance(acquired, Err) and isinstance(
            acquired.err_value, PlatformOutcomeUnknown
        ):
            # The write may have taken effect. This holder has the number if the stored
            # value is its own; a value of an earlier attempt has a lower number.
            current = _decode_fence(_unwrap(await self._leases.read(self._key)).value)
            if current != own_fence:
                raise LeaseNotHeldError("another process took the lease")
            return own_fence.fencing
        if not _unwrap(acquired):
            raise LeaseNotHeldError("another process holds the lease")
        return own_fence.fencing


def _decode_fence(value: bytes) -> _Fence:
    if not value:
        return _Fence()
    decoded = decode_json(value, _Fence)
    if isinstance(decoded, Err):
        raise LeaseNotHeldError(
            f"the fencing number is unreadable: {decoded.err_value}"
        )
    return decoded.ok_value


def _unwrap(result: Result[ValueT, PlatformError]) -> ValueT:
    if isinstance(result, Err):
        raise LeaseNotHeldError(str(result.err_value))
    return result.ok_value
