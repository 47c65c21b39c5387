"""Everything of a gateway that lies in the store: followed, and kept there."""

import asyncio
from collections.abc import Coroutine
from random import Random
from typing import Any

from amaranthtally.adapter.configuration import CONFIGURATION_KEY
from amaranthtally.adapter.servers import SERVERS_PREFIX
from amaranthtally.daemon.gateway.configuration_follower import ConfigurationFollower
from amaranthtally.daemon.gateway.membership import (
    ENTRIES_PREFIX,
    EntryReader,
    Registration,
)
from amaranthtally.daemon.gateway.record_follower import RecordFollower
from amaranthtally.daemon.gateway.store_follower import PrefixFollower, Reader, Readers
from amaranthtally.platform import StoreClient

__all__ = ["StoreLinks"]

# The prefix of every key: the store holds nothing that a gateway does not follow.
EVERYTHING = ""
# How often endpoints are looked for whose records did not come back, in seconds.
EXPIRE_S = 0.5


class StoreLinks:
    """Follows the configuration, the endpoints and the peers; registers itself."""

    def __init__(
        self,
        client: StoreClient,
        configuration: ConfigurationFollower,
        records: RecordFollower,
        entries: EntryReader,
        registration: Registration,
        random: Random,
    ) -> None:
        self._client = client
        self._records = records
        self._entry_reader = entries
        self._registration = registration
        readers: dict[str, Reader] = {
            CONFIGURATION_KEY: configuration,
            SERVERS_PREFIX: records,
            ENTRIES_PREFIX: entries,
        }
        self._follower = PrefixFollower(client, EVERYTHING, Readers(readers), random)

    @property
    def is_connected(self) -> bool:
        """Whether the store answered last time."""
        return self._follower.is_connected

    @property
    def is_receiving(self) -> bool:
        """Whether an answer of the store is on its way."""
        return self._client.is_receiving

    def work(self) -> list[Coroutine[Any, Any, None]]:
        """Return what is to run beside the requests."""
        return [
            self._follower.follow(),
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
