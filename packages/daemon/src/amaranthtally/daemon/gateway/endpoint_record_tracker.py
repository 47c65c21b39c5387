"""Tracks the endpoints' records, as received from the store or from a peer."""

import asyncio
from collections.abc import Callable, Mapping

from result import Err

from amaranthtally.adapter.servers import endpoint_id, read_endpoint
from amaranthtally.adapter.store import StoreItem
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import Endpoint, EndpointDirectory

__all__ = ["EndpointRecordTracker"]

log = get_logger()


class EndpointRecordTracker:
    """Updates the directory of endpoints from their records."""

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
        self._revision = 0
        self._logged_revisions: dict[str, int] = {}
        self._time = asyncio.get_running_loop().time

    @property
    def revision(self) -> int:
        """The store's revision up to which records are known; 0 before any listing."""
        return self._revision

    @property
    def items(self) -> tuple[StoreItem, ...]:
        """The records, encoded as in the store."""
        return tuple(self._items.values())

    def replace(self, items: tuple[StoreItem, ...]) -> None:
        """Apply a complete listing of the records."""
        self._items = {item.key: item for item in items}
        decoded = [self._decode(item) for item in items]
        endpoints = [endpoint for endpoint in decoded if endpoint is not None]
        self._directory.replace(self._time(), endpoints)
        log.info("endpoints_read", records=len(items), endpoints=len(endpoints))
        self._on_change()

    def apply_change(self, item: StoreItem) -> None:
        """Apply a changed or removed record."""
        name = endpoint_id(item.key)
        endpoint = None if item.value is None else self._decode(item)
        if item.value is None:
            self._items.pop(item.key, None)
        else:
            self._items[item.key] = item
        if endpoint is None:
            self._directory.record_removed(self._time(), name)
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

    def advance_to(self, revision: int) -> None:
        """Note the store's revision up to which all changes have been received."""
        self._revision = max(self._revision, revision)

    def store_unreachable(self) -> None:
        """Keep the known endpoints."""
        self._directory.connection_lost()

    def store_reachable(self) -> None:
        """Give endpoints whose records expired in the outage time to register again."""
        self._directory.connection_restored(self._time())

    def expire(self) -> None:
        """Remove endpoints that have not registered again in time."""
        if self._directory.expire(self._time()):
            log.info("endpoints_expired", left=len(self._directory.endpoints))
            self._on_change()

    def _decode(self, item: StoreItem) -> Endpoint | None:
        decoded = read_endpoint(item.key, item.value or b"", self._regions)
        if isinstance(decoded, Err):
            # Other systems can write under this prefix too: log each malformed
            # revision of a key once.
            if self._logged_revisions.get(item.key) != item.revision:
                self._logged_revisions[item.key] = item.revision
                log.warning("record_malformed", key=item.key, cause=decoded.err_value)
            return None
        return decoded.ok_value
