"""Membership of the gateways: each keeps a record in the store under a lease."""

import asyncio
from collections.abc import Callable
from random import Random

import msgspec
from result import Err, Result

from amaranthtally.adapter.addresses import read_host
from amaranthtally.adapter.store import StoreCondition, StoreItem, StoreWrite
from amaranthtally.daemon.gateway.record_faults import RecordFaults
from amaranthtally.daemon.logs import get_logger
from amaranthtally.decoding import decode_json
from amaranthtally.platform import PlatformOutcomeUnknown, StoreClient
from amaranthtally.policy import PeerDirectory, PeerRecord

__all__ = ["ENTRIES_PREFIX", "PeerRecordTracker", "Registration"]

ENTRIES_PREFIX = "entries/"
# Duration of the lease, in seconds: a killed gateway stays registered for this long.
# Peers that call it notice the failure at once.
LEASE_TTL_S = 6.0
# Interval between renewals, in seconds. A renewal costs a tenth of a read. Three may
# fail in sequence before the lease expires.
RENEW_INTERVAL_S = 1.5
RETRY_DELAY_S = 0.3
RETRY_JITTER = 0.5

log = get_logger()


class Registration:
    """Keeps this gateway's record in the store while it runs."""

    def __init__(
        self, client: StoreClient, name: str, record: PeerRecord, random: Random
    ) -> None:
        self._client = client
        self._key = f"{ENTRIES_PREFIX}{name}"
        self._value = msgspec.json.encode(record)
        self._random = random
        self._lease = 0
        self._is_deregistered = False

    async def run(self) -> None:
        """Register and renew the lease until cancelled or deregistered."""
        while not self._is_deregistered:
            renewed = await self._renew() if self._lease else await self._register()
            pause_s = RENEW_INTERVAL_S if renewed else RETRY_DELAY_S
            await asyncio.sleep(pause_s * (1.0 + RETRY_JITTER * self._random.random()))

    def forget_lease(self) -> None:
        """Register again under a new lease; the old one ends by itself."""
        self._lease = 0

    async def deregister(self) -> None:
        """Remove the record, so that peers submit no more jobs to this gateway."""
        self._is_deregistered = True
        if self._lease:
            await self._client.end_lease(self._lease)

    async def _renew(self) -> bool:
        renewed = await self._client.renew_lease(self._lease)
        if isinstance(renewed, Err):
            return False
        if not renewed.ok_value:
            # The lease expired while the store was unreachable, and the store removed
            # the record with it.
            self._lease = 0
        return renewed.ok_value

    async def _register(self) -> bool:
        granted = await self._client.grant_lease(LEASE_TTL_S)
        if isinstance(granted, Err):
            return False
        lease = granted.ok_value
        existing = await self._client.get(self._key)
        if isinstance(existing, Err):
            return False
        revision = existing.ok_value.revision if existing.ok_value else 0
        written = await self._client.transact(
            [StoreCondition(self._key, revision)],
            [StoreWrite(self._key, self._value, lease)],
        )
        if isinstance(written, Err):
            # The write may have taken effect, or may do so later, under this lease.
            # Keeping the lease bounds how long such a record stays in the store.
            if isinstance(written.err_value, PlatformOutcomeUnknown):
                self._lease = lease
            return False
        if written.ok_value is None:
            return False
        self._lease = lease
        log.info("registered", key=self._key, revision=written.ok_value)
        return True


class PeerRecordTracker:
    """Updates the directory of peer gateways from their records in the store."""

    def __init__(
        self,
        own_name: str,
        directory: PeerDirectory,
        on_change: Callable[[], None],
        faults: RecordFaults,
    ) -> None:
        self._own_name = own_name
        self._faults = faults
        self._directory = directory
        self._on_change = on_change
        self._time = asyncio.get_running_loop().time

    def replace(self, items: tuple[StoreItem, ...]) -> None:
        """Apply a complete listing; peers without a record become unconfirmed."""
        decoded = [(_name_of(item), self._decode(item)) for item in items]
        peers = {name: record for name, record in decoded if record is not None}
        peers.pop(self._own_name, None)
        unconfirmed_before = set(self._directory.unconfirmed)
        self._directory.replace(self._time(), peers)
        for name in self._directory.unconfirmed:
            if name not in unconfirmed_before:
                log.info("peer_doubted", peer=name, cause="no record in the listing")
        self._on_change()

    def apply_change(self, item: StoreItem) -> None:
        """Apply a changed or removed record."""
        name = _name_of(item)
        if name == self._own_name:
            return
        record = None if item.value is None else self._decode(item)
        if record is None:
            self._directory.records_removed(self._time(), [name])
            log.info("peer_doubted", peer=name, revision=item.revision)
        else:
            self._directory.put(name, record)
        self._on_change()

    def expire(self) -> None:
        """Remove gateways that have shown no sign of life for too long."""
        expired = self._directory.expire(self._time())
        for name in expired:
            log.info("peer_expired", peer=name)
        if expired:
            self._on_change()

    def _decode(self, item: StoreItem) -> PeerRecord | None:
        return self._faults.read(ENTRIES_PREFIX, item, _read_peer)


def _name_of(item: StoreItem) -> str:
    return item.key.removeprefix(ENTRIES_PREFIX)


def _read_peer(value: bytes) -> Result[PeerRecord, str]:
    decoded = decode_json(value, PeerRecord).map_err(str)
    return decoded.and_then(
        lambda record: read_host(record.address).map(lambda _: record)
    )
