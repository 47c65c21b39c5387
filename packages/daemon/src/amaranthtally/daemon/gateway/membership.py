"""The gateways that live: each keeps a record in the store under a lease."""

import asyncio
from collections.abc import Callable
from random import Random

import msgspec
from result import Err

from amaranthtally.adapter.store import StoreCondition, StoreItem, StoreWrite
from amaranthtally.daemon.logs import get_logger
from amaranthtally.platform import PlatformOutcomeUnknown, StoreClient
from amaranthtally.policy import PeerDirectory, PeerRecord

__all__ = ["ENTRIES_PREFIX", "EntryReader", "Registration"]

ENTRIES_PREFIX = "entries/"
# A gateway that was killed is taken for alive this long, in seconds; whoever asks it
# learns better at once.
LEASE_S = 6.0
# A renewal costs a tenth of a read; three may fail before the lease ends.
RENEW_S = 1.5
RETRY_S = 0.3
RETRY_SPREAD = 0.5

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
            if isinstance(written.err_value, PlatformOutcomeUnknown):
                self._lease = lease
            return False
        if written.ok_value is None:
            return False
        self._lease = lease
        log.info("registered", key=self._key, revision=written.ok_value)
        return True


class EntryReader:
    """Keeps the directory of gateways in step with their records."""

    def __init__(
        self, own_name: str, directory: PeerDirectory, on_change: Callable[[], None]
    ) -> None:
        self._own_name = own_name
        self._directory = directory
        self._on_change = on_change
        self._time = asyncio.get_running_loop().time

    def replace(self, items: tuple[StoreItem, ...]) -> None:
        """Take every record."""
        read = [(_name_of(item), _read(item)) for item in items]
        found = {name: record for name, record in read if record is not None}
        found.pop(self._own_name, None)
        before = set(self._directory.unconfirmed)
        self._directory.replace(self._time(), found)
        for name in self._directory.unconfirmed:
            if name not in before:
                log.info("peer_doubted", peer=name, cause="no record among all")
        self._on_change()

    def change(self, item: StoreItem) -> None:
        """Take a changed or removed record."""
        name = _name_of(item)
        if name == self._own_name:
            return
        record = None if item.value is None else _read(item)
        if record is None:
            self._directory.records_removed(self._time(), [name])
            log.info("peer_doubted", peer=name, revision=item.revision)
        else:
            self._directory.put(name, record)
        self._on_change()

    def reached(self, at: int) -> None:
        """Nothing to do: records of gateways are read from the store alone."""

    def lost(self) -> None:
        """Keep what is known."""

    def regained(self) -> None:
        """Nothing to do: gateways whose records ran out are asked themselves."""

    def expire(self) -> None:
        """Drop gateways that were not heard of for long."""
        silent = self._directory.expire(self._time())
        for name in silent:
            log.info("peer_expired", peer=name)
        if silent:
            self._on_change()


def _name_of(item: StoreItem) -> str:
    return item.key.removeprefix(ENTRIES_PREFIX)


def _read(item: StoreItem) -> PeerRecord | None:
    try:
        return msgspec.json.decode(item.value or b"", type=PeerRecord)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        log.warning("record_malformed", key=item.key, cause=str(error))
        return None
