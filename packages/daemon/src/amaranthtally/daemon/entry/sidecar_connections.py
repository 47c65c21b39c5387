"""Connections from an entry to the sidecars of the endpoints that it uses."""

import asyncio
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any

from amaranthtally.daemon.entry.heartbeat import watch_heartbeat
from amaranthtally.daemon.lifecycle import split_address
from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.supervision import Supervisor
from amaranthtally.policy import Endpoint
from amaranthtally.wire import (
    Load,
    PeerLostError,
    SettingsSource,
    SidecarClient,
    connect_sidecar,
)

__all__ = ["SidecarConnections"]

log = get_logger()


class SidecarConnections:
    """One connection per endpoint, opened at first use and reopened after a loss."""

    def __init__(
        self,
        entry: str,
        source: SettingsSource,
        connect_timeout: float,
        on_load: Callable[[str, Load], None],
        on_unreachable: Callable[[str], None],
        supervisor: Supervisor,
    ) -> None:
        self._entry = entry
        self._source = source
        self._connect_timeout = connect_timeout
        self._on_load = on_load
        self._on_unreachable = on_unreachable
        self._supervisor = supervisor
        self._clients: dict[str, SidecarClient] = {}
        self._incarnations: dict[str, int] = {}
        self._connecting: dict[str, asyncio.Task[SidecarClient]] = {}
        self._watchers: set[asyncio.Task[None]] = set()

    @property
    def open_count(self) -> int:
        """Number of sidecars with an open connection."""
        return len(self._clients)

    def incarnation(self, endpoint: str) -> int:
        """Return the last reported incarnation of an endpoint; 0 if there is none."""
        return self._incarnations.get(endpoint, 0)

    def note_load(self, endpoint: str, load: Load) -> None:
        """Process the load that a sidecar reported."""
        self._incarnations[endpoint] = load.incarnation
        self._on_load(endpoint, load)

    def connected_client(self, endpoint: str) -> SidecarClient | None:
        """Return the open connection to an endpoint, or ``None``."""
        return self._clients.get(endpoint)

    async def client(self, endpoint: Endpoint) -> SidecarClient:
        """Return a connection, opening one if needed; raises ``PeerLostError``."""
        client = self._clients.get(endpoint.id)
        if client is not None and client.peer == endpoint.address:
            return client
        connecting = self._connecting.get(endpoint.id)
        if connecting is None:
            connecting = self._supervisor.spawn(
                "SidecarConnections.connect", self._connect(endpoint), (PeerLostError,)
            )
            self._connecting[endpoint.id] = connecting
            connecting.add_done_callback(
                lambda _: self._connecting.pop(endpoint.id, None)
            )
        try:
            return await asyncio.shield(connecting)
        except PeerLostError:
            self._on_unreachable(endpoint.id)
            raise

    async def poll_load(self, endpoint: Endpoint) -> None:
        """
        Poll a sidecar for its load; raises ``PeerLostError``.

        An idle connection to a stopping sidecar is closed. The sidecar waits for its
        connections to close, so that no call is in transit when its process ends.
        """
        client = await self.client(endpoint)
        try:
            async with asyncio.timeout(self._connect_timeout):
                load = await client.load()
        except TimeoutError as error:
            raise PeerLostError(
                endpoint.address, "no answer to the load poll in time"
            ) from error
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
                reply = await client.hello(
                    self._entry,
                    # The log never reaches this revision, so the delta is empty.
                    self._source.changes_since(1 << 62).revision,
                    self._source,
                    lambda load: self.note_load(endpoint.id, load),
                )
        except TimeoutError as error:
            client.close()
            raise PeerLostError(
                endpoint.address, "no answer to hello in time"
            ) from error
        if reply.endpoint != endpoint.id:
            client.close()
            raise PeerLostError(
                endpoint.address,
                f"the sidecar serves {reply.endpoint}, not {endpoint.id}",
            )
        self._clients[endpoint.id] = client
        self.note_load(endpoint.id, reply.load)
        self._spawn(self._remove_when_closed(endpoint.id, client))
        self._spawn(watch_heartbeat(endpoint.id, client, self.note_load))
        log.info("sidecar_connected", endpoint=endpoint.id, address=endpoint.address)
        return client

    async def _remove_when_closed(self, endpoint: str, client: SidecarClient) -> None:
        await client.disconnected()
        if self._clients.get(endpoint) is client:
            del self._clients[endpoint]
        log.info("sidecar_disconnected", endpoint=endpoint, address=client.peer)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._supervisor.spawn_call(work)
        self._watchers.add(task)
        task.add_done_callback(self._watchers.discard)
