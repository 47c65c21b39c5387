"""Keeps a gateway's state in step with the store, and its record in the store."""

import asyncio
from collections.abc import Coroutine
from random import Random
from typing import Any

from amaranthtally.adapter.configuration import CONFIGURATION_KEY
from amaranthtally.adapter.servers import SERVERS_PREFIX
from amaranthtally.daemon.gateway.configuration_tracker import ConfigurationTracker
from amaranthtally.daemon.gateway.endpoint_record_tracker import EndpointRecordTracker
from amaranthtally.daemon.gateway.membership import (
    ENTRIES_PREFIX,
    PeerRecordTracker,
    Registration,
)
from amaranthtally.daemon.gateway.prefix_watcher import (
    PrefixDispatcher,
    PrefixListener,
    PrefixWatcher,
)
from amaranthtally.platform import StoreClient

__all__ = ["StoreSync"]

# The empty prefix, which matches every key. A gateway needs all keys of the store.
ALL_KEYS = ""
# Interval between removals of endpoints and peers whose records expired, in seconds.
EXPIRE_INTERVAL_S = 0.5


class StoreSync:
    """Watches configuration, endpoints and peers; registers this gateway."""

    def __init__(
        self,
        client: StoreClient,
        configuration: ConfigurationTracker,
        records: EndpointRecordTracker,
        peer_records: PeerRecordTracker,
        registration: Registration,
        random: Random,
    ) -> None:
        self._client = client
        self._records = records
        self._peer_records = peer_records
        self._registration = registration
        listeners: dict[str, PrefixListener] = {
            CONFIGURATION_KEY: configuration,
            SERVERS_PREFIX: records,
            ENTRIES_PREFIX: peer_records,
        }
        self._watcher = PrefixWatcher(
            client, ALL_KEYS, PrefixDispatcher(listeners), random
        )

    @property
    def is_connected(self) -> bool:
        """Whether the store answered the most recent call."""
        return self._watcher.is_connected

    @property
    def is_receiving(self) -> bool:
        """Whether the body of a response from the store is being received."""
        return self._client.is_receiving

    def tasks(self) -> list[Coroutine[Any, Any, None]]:
        """Return the background tasks of the connection to the store."""
        return [
            self._watcher.run(),
            self._registration.run(),
            self._expire(),
        ]

    async def deregister(self) -> None:
        """Remove this gateway's record from the store."""
        await self._registration.deregister()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_INTERVAL_S)
            self._records.expire()
            self._peer_records.expire()
