"""The entries connected to a sidecar, and news for all of them at once."""

import asyncio
from contextlib import suppress
from typing import Any

import capnp

from amaranthtally.wire.codec import write_load
from amaranthtally.wire.messages import Load

__all__ = ["EntryConnections"]

ANNOUNCE_TIMEOUT_S = 1.0


class EntryConnections:
    """Keeps the capability of each entry that greeted, while its connection is open."""

    def __init__(self) -> None:
        self._open: dict[object, Any] = {}

    @property
    def greeted_entries(self) -> int:
        """Open connections of entries; other peers only ask for settings."""
        return sum(entry is not None for entry in self._open.values())

    def opened(self, connection: object) -> None:
        """Note an open connection."""
        self._open[connection] = None

    def greeted(self, connection: object, entry: Any) -> None:
        """Keep the entry's capability."""
        if connection in self._open:
            self._open[connection] = entry

    def closed(self, connection: object) -> None:
        """Forget a connection."""
        self._open.pop(connection, None)

    async def announce(self, load: Load) -> None:
        """Tell every greeted entry of the load; one that hangs is not waited for."""
        told = [
            self._tell(entry, load)
            for entry in self._open.values()
            if entry is not None
        ]
        with suppress(TimeoutError):
            async with asyncio.timeout(ANNOUNCE_TIMEOUT_S):
                await asyncio.gather(*told)

    async def _tell(self, entry: Any, load: Load) -> None:
        request = entry.loadChanged_request()
        write_load(request.load, load)
        with suppress(capnp.KjException):
            await request.send()
