"""Keeps the endpoints' records as the store has them."""

import asyncio
from collections.abc import Callable, Mapping

from result import Err

from amaranthtally.adapter.servers import endpoint_id, read_endpoint
from amaranthtally.adapter.store import StoreItem
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import Endpoint, EndpointDirectory

__all__ = ["RecordFollower"]

log = get_logger()


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

    def reached(self, at: int) -> None:
        """Note the store's revision up to which nothing was missed."""
        self._at = max(self._at, at)

    def lost(self) -> None:
        """Keep what is known."""
        self._directory.connection_lost()

    def regained(self) -> None:
        """Expect records that ran out to come back."""
        self._directory.connection_restored(self._time())

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
