"""The gateways that live: each keeps a record in the store under a lease."""

import asyncio
from collections.abc import Callable
from random import Random

import msgspec
from result import Err

from amaranthtally.adapter.store import StoreCondition, StoreItem, StoreWrite
from amaranthtally.daemon.logs import get_logger
from amaranthtally.platform import PlatformAnswerLost, StoreClient
from amaranthtally.policy import Peer

__all__ = [
    "ENTRIES_PREFIX",
    "EntryReader",
    "EntryRecord",
    "Registration",
    "peers_of",
]

ENTRIES_PREFIX = "entries/"
# A gateway that was killed is taken for alive this long, in seconds; whoever asks it
# learns better at once.
LEASE_S = 6.0
# A renewal costs a tenth of a read; three may fail before the lease ends.
RENEW_S = 1.5
RETRY_S = 0.3
# In which gateways that live have registered again after the store's return, in
# seconds: a renewal that fails, and a few tries.
RETURN_S = 4.0
RETRY_SPREAD = 0.5

log = get_logger()


class EntryRecord(msgspec.Struct, frozen=True):
    """Where a gateway stands and where its peers reach it, as ``ip:port``."""

    address: str
    data_centre: str


class Registration:
    """Keeps this gateway's record in the store while it runs."""

    def __init__(
        self, client: StoreClient, name: str, record: EntryRecord, random: Random
    ) -> None:
        self._client = client
        self._key = f"{ENTRIES_PREFIX}{name}"
        self._value = msgspec.json.encode(record)
        self._random = random
        self._lease = 0
        self._ended = False

    async def keep(self) -> None:
        """Register and renew until cancelled or ended."""
        while not self._ended:
            renewed = await self._renew() if self._lease else await self._register()
            pause_s = RENEW_S if renewed else RETRY_S
            await asyncio.sleep(pause_s * (1.0 + RETRY_SPREAD * self._random.random()))

    async def end(self) -> None:
        """Remove the record, so that peers ask for nothing more."""
        self._ended = True
        if self._lease:
            await self._client.end_lease(self._lease)

    async def _renew(self) -> bool:
        renewed = await self._client.renew_lease(self._lease)
        if isinstance(renewed, Err):
            return False
        if not renewed.ok_value:
            # It ran out while the store was away, and the record went with it.
            self._lease = 0
        return renewed.ok_value

    async def _register(self) -> bool:
        granted = await self._client.grant_lease(LEASE_S)
        if isinstance(granted, Err):
            return False
        lease = granted.ok_value
        old = await self._client.get(self._key)
        if isinstance(old, Err):
            return False
        revision = old.ok_value.revision if old.ok_value else 0
        written = await self._client.transact(
            [StoreCondition(self._key, revision)],
            [StoreWrite(self._key, self._value, lease)],
        )
        if isinstance(written, Err):
            # The write may have been done, or be done later under this lease: kept,
            # the lease bounds what that record can mislead.
            if isinstance(written.err_value, PlatformAnswerLost):
                self._lease = lease
            return False
        if written.ok_value is None:
            return False
        self._lease = lease
        log.info("registered", key=self._key, revision=written.ok_value)
        return True


class EntryReader:
    """Keeps the list of live gateways in step with their records."""

    def __init__(self, on_change: Callable[[dict[str, EntryRecord]], None]) -> None:
        self._on_change = on_change
        self._records: dict[str, EntryRecord] = {}
        self._found: frozenset[str] = frozenset()
        self._kept_until = 0.0
        self._lost = False
        self._time = asyncio.get_running_loop().time

    def replace(self, items: tuple[StoreItem, ...]) -> None:
        """Take every record."""
        found = dict(filter(None, (self._read(item) for item in items)))
        # Leases may have run out while the store was away: gateways that were known
        # are kept for a while beside those found, in which they register again.
        if self._lost:
            self._kept_until = self._time() + RETURN_S
            self._found = frozenset(found)
            found = {**self._records, **found}
        self._lost = False
        self._records = found
        self._on_change(self._records)

    def change(self, item: StoreItem) -> None:
        """Take a changed or removed record."""
        name = item.key.removeprefix(ENTRIES_PREFIX)
        read = None if item.value is None else self._read(item)
        if read is None:
            self._records = {k: v for k, v in self._records.items() if k != name}
            log.info("peer_gone", peer=name)
        else:
            self._records = {**self._records, name: read[1]}
            self._found |= {name}
        self._on_change(self._records)

    def reached(self, at: int) -> None:
        """Nothing to do: records of gateways are read from the store alone."""

    def expire(self) -> None:
        """Drop gateways that have not registered again."""
        if not self._kept_until or self._time() < self._kept_until:
            return
        self._kept_until = 0.0
        self._records = {k: v for k, v in self._records.items() if k in self._found}
        self._on_change(self._records)

    def lost(self) -> None:
        """Keep what is known."""
        self._lost = True

    def regained(self) -> None:
        """Nothing to do: records that ran out come back by themselves."""

    def _read(self, item: StoreItem) -> tuple[str, EntryRecord] | None:
        try:
            record = msgspec.json.decode(item.value or b"", type=EntryRecord)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            log.warning("record_malformed", key=item.key, cause=str(error))
            return None
        return item.key.removeprefix(ENTRIES_PREFIX), record


def peers_of(records: dict[str, EntryRecord]) -> list[Peer]:
    """Return the gateways as the policy knows them."""
    return [Peer(name, record.data_centre) for name, record in records.items()]
