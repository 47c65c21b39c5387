"""Tracks the endpoints' records, as received from the store or from a peer."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import replace

from amaranthtally.adapter.servers import (
    SERVERS_PREFIX,
    endpoint_id,
    read_endpoint,
    says_it_leaves,
)
from amaranthtally.adapter.store import StoreItem
from amaranthtally.daemon.gateway.record_faults import RecordFaults
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import Endpoint, EndpointDirectory

__all__ = ["EndpointRecordTracker"]

log = get_logger()


class EndpointRecordTracker:
    """
    Updates the directory of endpoints from their records.

    ``on_endpoint`` gets each endpoint whose record changed, and ``on_change`` is called
    once all changes of a batch are applied: it builds the settings of all endpoints
    anew, which blocked the event loop for seconds when it was done for each change.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        regions: Mapping[str, str],
        on_change: Callable[[], None],
        faults: RecordFaults,
        on_endpoint: Callable[[Endpoint], None] = lambda endpoint: None,
    ) -> None:
        self._faults = faults
        self._directory = directory
        self._regions = regions
        self._on_change = on_change
        self._on_endpoint = on_endpoint
        self._time = asyncio.get_running_loop().time

    @property
    def settling_s(self) -> float:
        """How much longer records may be missing after an outage, in seconds."""
        return self._directory.settling_s(self._time())

    def replace(self, items: tuple[StoreItem, ...]) -> None:
        """Apply a complete listing of the records."""
        decoded = [self._decode(item) for item in items]
        endpoints = [endpoint for endpoint in decoded if endpoint is not None]
        self._directory.replace(self._time(), endpoints)
        log.info("endpoints_read", records=len(items), endpoints=len(endpoints))
        self._on_change()

    def apply_change(self, item: StoreItem) -> None:
        """Apply a changed or removed record; ``changes_applied`` has to follow."""
        name = endpoint_id(item.key)
        endpoint = None if item.value is None else self._decode(item)
        if endpoint is None:
            self._directory.record_removed(self._time(), name)
            log.info("endpoint_removed", endpoint=name, revision=item.revision)
        else:
            self._directory.put(endpoint)
            self._on_endpoint(endpoint)
            log.info(
                "endpoint_changed",
                endpoint=name,
                pool=endpoint.pool,
                address=endpoint.address,
                version=endpoint.version,
                takes_calls=endpoint.takes_calls,
                cold_s=endpoint.cold_s,
                revision=item.revision,
            )

    def changes_applied(self) -> None:
        """Publish the endpoints after a batch of changes."""
        self._on_change()

    def store_unreachable(self) -> None:
        """Keep the known endpoints."""
        self._directory.connection_lost()

    def store_reachable(self) -> None:
        """Give endpoints whose records expired in the outage time to register again."""
        self._directory.connection_restored(self._time())

    def settle_for(self, seconds: float) -> None:
        """Give endpoints that are missing this much time to register again."""
        self._directory.settle_for(self._time(), seconds)

    def expire(self) -> None:
        """Remove endpoints that have not registered again in time."""
        if self._directory.expire(self._time()):
            log.info("endpoints_expired", left=len(self._directory.endpoints))
            self._on_change()

    def _decode(self, item: StoreItem) -> Endpoint | None:
        # Other systems can write under this prefix too.
        endpoint = self._faults.read(
            SERVERS_PREFIX,
            item,
            lambda value: read_endpoint(item.key, value, self._regions),
        )
        if endpoint is None:
            return self._last_sound(item)
        return replace(endpoint, revision=item.revision)

    def _last_sound(self, item: StoreItem) -> Endpoint | None:
        """
        Return the endpoint whose record became malformed, as it was known before.

        One bad write does not take it from its pool, unless it says that it leaves.
        """
        known = self._directory.endpoints.get(endpoint_id(item.key))
        if known is not None and says_it_leaves(item.value or b""):
            return replace(known, takes_calls=False)
        return known
