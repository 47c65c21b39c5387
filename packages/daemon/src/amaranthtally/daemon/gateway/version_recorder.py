"""Records in the store which software versions the endpoints of each pool have had."""

import asyncio
from collections.abc import Callable, Mapping
from typing import NamedTuple

import msgspec
from result import Err, Result

from amaranthtally.adapter.store import StoreCondition, StoreItem, StoreWrite
from amaranthtally.daemon.gateway.record_faults import RecordFaults
from amaranthtally.daemon.logs import get_logger
from amaranthtally.decoding import decode_json
from amaranthtally.platform import StoreClient
from amaranthtally.policy import Endpoint, VersionHistory, duty_holder

__all__ = ["VERSIONS_PREFIX", "VersionRecorder"]

VERSIONS_PREFIX = "versions/"
# Interval between comparisons of the records with the endpoints, in seconds.
CHECK_INTERVAL_S = 0.5
# A longer time between two comparisons, in seconds, is one for which the process stood
# still or was kept from running.
MAX_CHECK_GAP_S = 2.0
# Pause after a write that the store refused or did not answer, in seconds.
RETRY_DELAY_S = 2.0
DUTY_KEY = "versions"

log = get_logger()


class _Record(NamedTuple):
    """The versions on record for a pool, and the revision of the store's item."""

    versions: frozenset[str]
    revision: int


class VersionRecorder:
    """
    Keeps the record of each pool, and says which pools have had one version only.

    One gateway writes, chosen by hash among those alive. While gateways disagree about
    who is alive, several may try; the store lets one of them write.
    """

    def __init__(
        self,
        name: str,
        client: StoreClient,
        pools: Callable[[], frozenset[str]],
        endpoints: Callable[[], Mapping[str, Endpoint]],
        is_connected: Callable[[], bool],
        on_written: Callable[[StoreItem], None],
        faults: RecordFaults,
    ) -> None:
        """Create it; ``on_written`` gets each item that it has written."""
        self._name = name
        self._faults = faults
        self._client = client
        self._pools = pools
        self._endpoints = endpoints
        self._is_connected = is_connected
        self._on_written = on_written
        self._history = VersionHistory()
        self._observed: Mapping[str, Endpoint] = {}
        self._revisions: dict[str, int] = {}
        self._is_writer = True
        self._time = asyncio.get_running_loop().time

    def sole_version(self, pool: str) -> str | None:
        """
        Return the only version that a pool has had lately, or else ``None``.

        It is the only one among the records held. Whether others know a newer one has
        to be confirmed before.
        """
        self._observe()
        return self._history.sole_version(pool)

    def has_had_several(self, pool: str) -> bool:
        """Whether a pool has had several versions lately."""
        self._observe()
        return self._history.has_several([pool])

    @property
    def has_several(self) -> bool:
        """Whether a pool has had several versions lately."""
        self._observe()
        return self._history.has_several(self._pools())

    def is_served(self, pool: str, version: str) -> bool:
        """Whether an endpoint of a pool has this version and takes calls."""
        return any(
            endpoint.pool == pool
            and endpoint.version == version
            and endpoint.takes_calls
            for endpoint in self._endpoints().values()
        )

    def note_endpoint(self, endpoint: Endpoint) -> None:
        """Note the version of an endpoint, which may be gone when a batch ends."""
        self._history.note_registered(endpoint.pool, endpoint.version)

    def endpoints_changed(self) -> None:
        """Note the versions of the endpoints, before any stream begins at a new one."""
        self._observe()

    def entries_changed(self, data_centres: Mapping[str, str]) -> None:
        """Choose the writer among the live gateways."""
        names = [self._name, *data_centres]
        self._is_writer = duty_holder(names, DUTY_KEY) == self._name

    def observe_anew(self) -> None:
        """Observe the endpoints again, though they have not changed."""
        self._observed = {}

    async def run(self) -> None:
        """Write due records until cancelled."""
        while True:
            slept_at = self._time()
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._time() - slept_at > MAX_CHECK_GAP_S:
                self._history.observation_missed()
            # Also while another gateway writes: a version that came back and went would
            # otherwise count as absent all the while once this one writes.
            self._observe()
            self._history.forget_unrecorded(self._time())
            if self._is_writer and self._is_connected():
                await self._write_due()

    # Items of the store

    def replace(self, items: tuple[StoreItem, ...]) -> None:
        """
        Apply a complete listing of the records.

        The first one and each after a gap in the watch: an endpoint of a version may
        have come, begun streams and gone since the last change that was seen.
        """
        self._history.observation_missed()
        records = {_pool_of(item): self._decode(item) for item in items}
        for pool, record in records.items():
            if record.revision != self._revisions.get(pool):
                _log_known(pool, record)
        self._revisions = {pool: r.revision for pool, r in records.items()}
        self._history.replace_recorded({p: r.versions for p, r in records.items()})

    def apply_change(self, item: StoreItem) -> None:
        """Apply a changed or removed record."""
        pool, record = _pool_of(item), self._decode(item)
        self._revisions[pool] = record.revision
        self._history.put_recorded(pool, record.versions)
        _log_known(pool, record)

    def _decode(self, item: StoreItem) -> _Record:
        """Return a record; without versions if it was removed or cannot be read."""
        if item.value is None:
            return _Record(frozenset(), 0)
        versions = self._faults.read(VERSIONS_PREFIX, item, _read_versions)
        return _Record(frozenset(versions or ()), item.revision)

    def _observe(self) -> None:
        endpoints = self._endpoints()
        if endpoints is not self._observed:
            self._observed = endpoints
            self._history.observe(endpoints.values())

    async def _write_due(self) -> None:
        for pool in sorted(self._pools()):
            versions = self._history.due_record(self._time(), pool)
            if versions is not None and not await self._write(pool, versions):
                await asyncio.sleep(RETRY_DELAY_S)

    async def _write(self, pool: str, versions: frozenset[str]) -> bool:
        key = f"{VERSIONS_PREFIX}{pool}"
        value = msgspec.json.encode(sorted(versions))
        written = await self._client.transact(
            [StoreCondition(key, self._revisions.get(pool, 0))],
            [StoreWrite(key, value)],
        )
        if isinstance(written, Err) or written.ok_value is None:
            # Another gateway has written, or the outcome is unknown. The watch shows
            # the record as it is now.
            log.info("versions_not_recorded", pool=pool, versions=",".join(versions))
            return False
        self._on_written(StoreItem(key, value, written.ok_value))
        log.info("versions_recorded", pool=pool, versions=",".join(sorted(versions)))
        return True


def _read_versions(value: bytes) -> Result[list[str], str]:
    return decode_json(value, list[str]).map_err(str)


def _log_known(pool: str, record: _Record) -> None:
    log.info("versions_known", pool=pool, versions=",".join(sorted(record.versions)))


def _pool_of(item: StoreItem) -> str:
    return item.key.removeprefix(VERSIONS_PREFIX)
