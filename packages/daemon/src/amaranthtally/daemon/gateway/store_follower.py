"""Follows the operators' configuration and the endpoints' records in the store."""

import asyncio
from collections.abc import Callable, Mapping
from random import Random
from typing import Protocol

from result import Err, Result

from amaranthtally.adapter.configuration import CONFIGURATION_KEY, read_configuration
from amaranthtally.adapter.servers import endpoint_id, read_endpoint
from amaranthtally.adapter.store import StoreEvents, StoreItem
from amaranthtally.daemon.logs import get_logger
from amaranthtally.platform import PlatformError, PlatformHistoryGone, StoreClient
from amaranthtally.policy import Endpoint, EndpointDirectory, RouteTable

__all__ = [
    "ConfigurationFollower",
    "PrefixFollower",
    "Reader",
    "Readers",
    "RecordFollower",
]

# A watch that hears nothing ends after this, in seconds. Watches can go silent without
# an end: a change that is made meanwhile is heard of that much later, and it must be in
# force, or an endpoint be left alone, within 2.5 s. Each watch is a call that the users
# pay for, so that everything is followed by one.
WATCH_S = 1.2
# Between tries while the store does not answer, in seconds, spread by a half so that
# entries do not return to it all at once.
RETRY_S = 0.25
RETRY_SPREAD = 0.5
# How long the next watch waits after a change, in seconds: changes come in clusters, as
# gateways and endpoints start or stop together, and each ends the watch of every
# gateway. Taken together, a cluster costs a call or two a gateway, not one a change; a
# change is heard of that much later at most, a tenth of the time in which it must be
# in force.
CLUSTER_S = 0.25
# What lines call the store where a peer's name could stand.
STORE = "store"
MS_PER_S = 1000.0

log = get_logger()


class Reader(Protocol):
    """Whoever keeps what lies under a prefix."""

    def replace(self, items: tuple[StoreItem, ...]) -> None:
        """Take everything that lies there."""

    def change(self, item: StoreItem) -> None:
        """Take one change."""

    def reached(self, at: int) -> None:
        """Hear up to which revision of the store nothing was missed."""

    def lost(self) -> None:
        """Hear that the store does not answer."""

    def regained(self) -> None:
        """Hear that it answers."""


class PrefixFollower:
    """Reads a prefix and watches it from there; after a gap it reads anew."""

    def __init__(
        self, client: StoreClient, prefix: str, reader: Reader, random: Random
    ) -> None:
        self._client = client
        self._prefix = prefix
        self._reader = reader
        self._random = random
        self._at: int | None = None
        self._lost = False

    @property
    def is_connected(self) -> bool:
        """Whether the store answered last time."""
        return not self._lost

    async def follow(self) -> None:
        """Follow until cancelled."""
        while True:
            if self._at is None:
                answer = await self._client.list(self._prefix)
                self._take_all(answer)
            else:
                answer = await self._client.watch(self._prefix, self._at, WATCH_S)
                self._take_changes(answer)
            await asyncio.sleep(self._pause_s(answer))

    def _pause_s(self, answer: Result[StoreEvents, PlatformError]) -> float:
        if isinstance(answer, Err):
            return RETRY_S * (1.0 + RETRY_SPREAD * self._random.random())
        return CLUSTER_S if answer.ok_value.items else 0.0

    def _take_all(self, answer: Result[StoreEvents, PlatformError]) -> None:
        if isinstance(answer, Err):
            self._note_loss(answer.err_value)
            return
        self._note_return()
        found = answer.ok_value
        self._reader.replace(found.items)
        self._at = found.at
        self._reader.reached(found.at)

    def _take_changes(self, answer: Result[StoreEvents, PlatformError]) -> None:
        if isinstance(answer, Err):
            # Changes may have come and gone while nothing was heard, and the history
            # may be dropped by the time the store answers again: what lies there is
            # read anew, which costs one call and can miss nothing.
            self._at = None
            if not isinstance(answer.err_value, PlatformHistoryGone):
                self._note_loss(answer.err_value)
            return
        self._note_return()
        found = answer.ok_value
        for item in found.items:
            self._reader.change(item)
        assert self._at is not None
        self._at = max(self._at, found.at)
        self._reader.reached(self._at)

    def _note_loss(self, error: PlatformError) -> None:
        if not self._lost:
            self._lost = True
            log.warning("store_lost", prefix=self._prefix, cause=str(error))
        self._reader.lost()

    def _note_return(self) -> None:
        if self._lost:
            self._lost = False
            log.info("store_regained", prefix=self._prefix)
        self._reader.regained()


class Readers:
    """Several readers behind one watch, each with the keys under its prefix."""

    def __init__(self, readers: Mapping[str, Reader]) -> None:
        self._readers = readers

    def replace(self, items: tuple[StoreItem, ...]) -> None:
        """Take everything that lies in the store."""
        for prefix, reader in self._readers.items():
            reader.replace(tuple(i for i in items if i.key.startswith(prefix)))

    def change(self, item: StoreItem) -> None:
        """Take one change; keys of nobody's are left alone."""
        for prefix, reader in self._readers.items():
            if item.key.startswith(prefix):
                reader.change(item)

    def reached(self, at: int) -> None:
        """Hear up to which revision of the store nothing was missed."""
        for reader in self._readers.values():
            reader.reached(at)

    def lost(self) -> None:
        """Hear that the store does not answer."""
        for reader in self._readers.values():
            reader.lost()

    def regained(self) -> None:
        """Hear that it answers."""
        for reader in self._readers.values():
            reader.regained()


class RecordFollower:
    """Keeps the directory of endpoints in step with their records."""

    def __init__(
        self,
        directory: EndpointDirectory,
        regions: Mapping[str, str],
        on_change: Callable[[], None],
    ) -> None:
        self._directory = directory
        self._regions = regions
        self._on_change = on_change
        self._items: dict[str, StoreItem] = {}
        self._at = 0
        self._reported: dict[str, int] = {}
        self._time = asyncio.get_running_loop().time

    @property
    def at(self) -> int:
        """The store's revision up to which records are known; 0 before the first."""
        return self._at

    @property
    def items(self) -> tuple[StoreItem, ...]:
        """The records as they were read."""
        return tuple(self._items.values())

    def replace(self, items: tuple[StoreItem, ...]) -> None:
        """Take every record."""
        self._items = {item.key: item for item in items}
        read = [self._read(item) for item in items]
        records = [endpoint for endpoint in read if endpoint is not None]
        self._directory.replace(self._time(), records)
        log.info("endpoints_read", records=len(items), endpoints=len(records))
        self._on_change()

    def change(self, item: StoreItem) -> None:
        """Take a changed or removed record."""
        name = endpoint_id(item.key)
        endpoint = None if item.value is None else self._read(item)
        if item.value is None:
            self._items.pop(item.key, None)
        else:
            self._items[item.key] = item
        if endpoint is None:
            self._directory.removed(self._time(), name)
            log.info("endpoint_removed", endpoint=name, revision=item.revision)
        else:
            self._directory.put(endpoint)
            log.info(
                "endpoint_changed",
                endpoint=name,
                pool=endpoint.pool,
                address=endpoint.address,
                takes_calls=endpoint.takes_calls,
                revision=item.revision,
            )
        self._on_change()

    def reached(self, at: int) -> None:
        """Note the store's revision up to which nothing was missed."""
        self._at = max(self._at, at)

    def lost(self) -> None:
        """Keep what is known."""
        self._directory.lost()

    def regained(self) -> None:
        """Expect records that ran out to come back."""
        self._directory.regained(self._time())

    def expire(self) -> None:
        """Drop endpoints whose records have not come back."""
        if self._directory.expire(self._time()):
            log.info("endpoints_expired", left=len(self._directory.endpoints))
            self._on_change()

    def _read(self, item: StoreItem) -> Endpoint | None:
        read = read_endpoint(item.key, item.value or b"", self._regions)
        if isinstance(read, Err):
            # Anybody may write there, again and again: one line for each version.
            if self._reported.get(item.key) != item.revision:
                self._reported[item.key] = item.revision
                log.warning("record_malformed", key=item.key, cause=read.err_value)
            return None
        return read.ok_value


class ConfigurationFollower:
    """Hands newer configurations on; older ones and malformed ones are dropped."""

    def __init__(self, on_table: Callable[[RouteTable], None]) -> None:
        self._on_table = on_table
        self._version = 0
        self._value = b""
        self._heard = 0
        self._heard_at = 0.0
        self._time = asyncio.get_running_loop().time

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self._version

    @property
    def heard(self) -> int:
        """The newest version that the store or a peer has told of."""
        return self._heard

    @property
    def behind_s(self) -> float:
        """For how many seconds a newer version than that in force is known to exist."""
        return self._time() - self._heard_at if self._heard > self._version else 0.0

    @property
    def value(self) -> bytes:
        """The configuration as the store held it."""
        return self._value

    def hear_of(self, version: int, source: str) -> None:
        """Note that a version exists, which is yet to be read."""
        if version <= max(self._version, self._heard):
            return
        if self._heard <= self._version:
            self._heard_at = self._time()
        self._heard = version
        log.info(
            "configuration_heard_of",
            version=version,
            own_version=self._version,
            source=source,
        )

    def replace(self, items: tuple[StoreItem, ...]) -> None:
        """Take the newest configuration, if there is one."""
        for item in items:
            self.change(item)

    def change(self, item: StoreItem) -> None:
        """Take a configuration from the store."""
        if item.key == CONFIGURATION_KEY and item.value is not None:
            self.take(item.value, STORE)

    def take(self, value: bytes, source: str) -> None:
        """Take a configuration; ``source`` names the store or a peer, for the log."""
        # All keys are read anew after each gap; a large document takes a tenth of a
        # second to read, in which nothing else is done.
        if value == self._value:
            return
        read = read_configuration(value)
        if isinstance(read, Err):
            log.error("configuration_malformed", cause=read.err_value)
            return
        table = read.ok_value
        # Answers may overtake each other; what was in force never comes back.
        if table.version <= self._version:
            return
        log.info(
            "configuration_read",
            version=table.version,
            source=source,
            bytes=len(value),
            behind_ms=round(self.behind_s * MS_PER_S),
        )
        self._version = table.version
        self._heard = max(self._heard, table.version)
        self._value = value
        self._on_table(table)

    def reached(self, at: int) -> None:
        """Nothing to do: the configuration bears its own version."""

    def lost(self) -> None:
        """Keep what is in force."""

    def regained(self) -> None:
        """Nothing to do: a newer version is among the changes."""
