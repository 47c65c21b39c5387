"""Everything of a gateway that lies in the store: followed, and kept there."""

import asyncio
from collections.abc import Coroutine
from random import Random
from typing import Any

from amaranthtally.adapter.configuration import CONFIGURATION_KEY
from amaranthtally.adapter.servers import SERVERS_PREFIX
from amaranthtally.daemon.gateway.membership import (
    ENTRIES_PREFIX,
    EntryReader,
    EntryRecord,
    Registration,
)
from amaranthtally.daemon.gateway.store_follower import (
    ConfigurationFollower,
    PrefixFollower,
    RecordFollower,
)
from amaranthtally.platform import StoreClient
from amaranthtally.settings import GatewaySettings

__all__ = ["StoreLinks"]

# How often endpoints are looked for whose records did not come back, in seconds.
EXPIRE_S = 0.5


class StoreLinks:
    """Follows the configuration, the endpoints and the peers; registers itself."""

    def __init__(
        self,
        client: StoreClient,
        settings: GatewaySettings,
        configuration: ConfigurationFollower,
        records: RecordFollower,
        entries: EntryReader,
        random: Random,
    ) -> None:
        self._records = records
        self._entry_reader = entries
        self._configuration = PrefixFollower(
            client, CONFIGURATION_KEY, configuration, random
        )
        self._endpoints = PrefixFollower(client, SERVERS_PREFIX, records, random)
        self._entries = PrefixFollower(client, ENTRIES_PREFIX, entries, random)
        record = EntryRecord(settings.peer_address, settings.data_centre)
        self._registration = Registration(client, settings.name, record, random)

    @property
    def is_connected(self) -> bool:
        """Whether the store answered last time, to every question."""
        return self._configuration.is_connected and self._endpoints.is_connected

    def work(self) -> list[Coroutine[Any, Any, None]]:
        """Return what is to run beside the requests."""
        return [
            self._configuration.follow(),
            self._endpoints.follow(),
            self._entries.follow(),
            self._registration.keep(),
            self._expire(),
        ]

    async def leave(self) -> None:
        """Take this gateway off the list of live ones."""
        await self._registration.end()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRE_S)
            self._records.expire()
            self._entry_reader.expire()
