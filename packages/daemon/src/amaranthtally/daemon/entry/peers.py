"""Connections from an entry to the sidecars of the endpoints that it uses."""

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any

from amaranthtally.daemon.entry.heartbeat import watch_heartbeat
from amaranthtally.daemon.lifecycle import split_address
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import Endpoint
from amaranthtally.wire import (
    Load,
    PeerLostError,
    SettingsSource,
    SidecarClient,
    connect_sidecar,
)

__all__ = ["Peers"]

log = get_logger()


class Peers:
    """One connection per endpoint, made at first use and again when lost."""

    def __init__(
        self,
        entry: str,
        source: SettingsSource,
        connect_timeout: float,
        on_load: Callable[[str, Load], None],
        on_unreachable: Callable[[str], None],
    ) -> None:
        self._entry = entry
        self._source = source
        self._connect_timeout = connect_timeout
        self._on_load = on_load
        self._on_unreachable = on_unreachable
        self._clients: dict[str, SidecarClient] = {}
        self._incarnations: dict[str, int] = {}
        self._connecting: dict[str, asyncio.Task[SidecarClient]] = {}
        self._watchers: set[asyncio.Task[None]] = set()

    @property
    def connected(self) -> int:
        """Sidecars with an open connection."""
        return len(self._clients)

    def incarnation(self, endpoint: str) -> int:
        """Return the incarnation last heard of; 0 when none."""
        return self._incarnations.get(endpoint, 0)

    def note_load(self, endpoint: str, load: Load) -> None:
        """Take a sidecar's load from a reply."""
        self._incarnations[endpoint] = load.incarnation
        self._on_load(endpoint, load)

    def live_client(self, endpoint: str) -> SidecarClient | None:
        """Return the connection if there is one now."""
        return self._clients.get(endpoint)

    async def client(self, endpoint: Endpoint) -> SidecarClient:
        """Return a connection; raises ``PeerLostError`` when none can be made."""
        found = self._clients.get(endpoint.id)
        if found is not None and found.peer == endpoint.address:
            return found
        connecting = self._connecting.get(endpoint.id)
        if connecting is None:
            connecting = asyncio.create_task(self._connect(endpoint))
            self._connecting[endpoint.id] = connecting
            connecting.add_done_callback(
                lambda _: self._connecting.pop(endpoint.id, None)
            )
        try:
            return await asyncio.shield(connecting)
        except PeerLostError:
            self._on_unreachable(endpoint.id)
            raise

    async def greet(self, endpoint: Endpoint) -> None:
        """
        Ask a sidecar for its load; raises ``PeerLostError``.

        An idle connection to a sidecar that leaves is closed: the sidecar waits for
        that, so that no call is on its way when it ends.
        """
        client = await self.client(endpoint)
        try:
            async with asyncio.timeout(self._connect_timeout):
                load = await client.load()
        except TimeoutError as error:
            raise PeerLostError(endpoint.address, "no answer in time") from error
        self.note_load(endpoint.id, load)
        if load.leaving and not client.pending_calls:
            client.close()

    async def close(self) -> None:
        """Close every connection."""
        for client in list(self._clients.values()):
            client.close()
        for task in list(self._watchers):
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task

    async def _connect(self, endpoint: Endpoint) -> SidecarClient:
        host, port = split_address(endpoint.address)
        client = await connect_sidecar(host, port, self._connect_timeout)
        try:
            async with asyncio.timeout(self._connect_timeout):
                greeting = await client.hello(
                    self._entry,
                    self._source.changes_since(1 << 62).revision,
                    self._source,
                    lambda load: self.note_load(endpoint.id, load),
                )
        except TimeoutError as error:
            client.close()
            raise PeerLostError(endpoint.address, "no greeting in time") from error
        if greeting.endpoint != endpoint.id:
            client.close()
            raise PeerLostError(
                endpoint.address, f"it serves {greeting.endpoint}, not {endpoint.id}"
            )
        self._clients[endpoint.id] = client
        self.note_load(endpoint.id, greeting.load)
        self._spawn(self._forget_when_lost(endpoint.id, client))
        self._spawn(watch_heartbeat(endpoint.id, client, self.note_load))
        log.info("sidecar_connected", endpoint=endpoint.id, address=endpoint.address)
        return client

    async def _forget_when_lost(self, endpoint: str, client: SidecarClient) -> None:
        await client.disconnected()
        if self._clients.get(endpoint) is client:
            del self._clients[endpoint]
        log.info("sidecar_disconnected", endpoint=endpoint, address=client.peer)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._watchers.add(task)
        task.add_done_callback(self._watchers.discard)
