"""Listens for HTTP connections whose number and behaviour are bounded."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from aiohttp import web

from amaranthtally.daemon.connections.bounded_connection import BoundedConnection
from amaranthtally.daemon.connections.connection_table import ConnectionTable
from amaranthtally.daemon.connections.http_exchange import HttpExchange

__all__ = ["Admission", "Listener", "build_connection", "listen_http"]

BACKLOG = 1024

BuildProtocol = Callable[[], asyncio.BaseProtocol]
# Returns the protocol of a new connection, built or one that takes no connection.
Admission = Callable[[BuildProtocol], asyncio.BaseProtocol]


class Listener:
    """A listening HTTP server."""

    def __init__(self, server: asyncio.Server) -> None:
        self._server = server

    @property
    def port(self) -> int:
        """The bound port."""
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def stop_listening(self) -> None:
        """Accept no more connections; those already open are kept."""
        self._server.close()


def build_connection(build: BuildProtocol) -> asyncio.BaseProtocol:
    """Take every new connection."""
    return build()


@asynccontextmanager
async def listen_http(
    server: web.Server,
    host: str,
    port: int,
    table: ConnectionTable,
    admit: Admission = build_connection,
    *,
    decompresses: bool = True,
) -> AsyncIterator[Listener]:
    """
    Listen at an address; port 0 lets the kernel choose a free port.

    ``admit`` may build the protocol of a new connection, or take no connection. The
    connections outlive the context; shutting ``server`` down closes them.
    """
    loop = asyncio.get_running_loop()

    def build() -> asyncio.BaseProtocol:
        exchange = HttpExchange(server, loop, table.limits.head_bytes, decompresses)
        return BoundedConnection(exchange, table)

    listener = await loop.create_server(
        lambda: admit(build), host, port, backlog=BACKLOG
    )
    try:
        yield Listener(listener)
    finally:
        listener.close()
