"""A sidecar's open connections, and load announcements to the connected entries."""

import asyncio
from contextlib import suppress
from typing import Any

import capnp

from amaranthtally.wire.codec import write_load
from amaranthtally.wire.messages import Load

__all__ = ["EntryConnections"]

ANNOUNCE_TIMEOUT_S = 1.0


class EntryConnections:
    """Open connections, with the capability of each entry that has sent ``hello``."""

    def __init__(self) -> None:
        self._open: dict[object, Any] = {}

    @property
    def entry_count(self) -> int:
        """Number of connected entries; connections without a ``hello`` don't count."""
        return sum(entry is not None for entry in self._open.values())

    def connection_opened(self, connection: object) -> None:
        """Add a connection whose peer has not sent ``hello``."""
        self._open[connection] = None

    def hello_received(self, connection: object, entry: Any) -> None:
        """Store the capability of the entry at the other end of a connection."""
        if connection in self._open:
            self._open[connection] = entry

    def connection_closed(self, connection: object) -> None:
        """Remove a connection."""
        self._open.pop(connection, None)

    async def announce_load(self, load: Load) -> None:
        """Send the load to every entry; give up on slow ones after the time-out."""
        sends = [
            self._send_load(entry, load)
            for entry in self._open.values()
            if entry is not None
        ]
        with suppress(TimeoutError):
            async with asyncio.timeout(ANNOUNCE_TIMEOUT_S):
                await asyncio.gather(*sends)

    async def _send_load(self, entry: Any, load: Load) -> None:
        request = entry.loadChanged_request()
        write_load(request.load, load)
        with suppress(capnp.KjException):
            await request.send()
