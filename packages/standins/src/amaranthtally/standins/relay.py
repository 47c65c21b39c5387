"""A TCP relay for tests: a link that can stand still, lose bytes, or break."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from enum import Enum

__all__ = ["Link", "Relay", "open_relay"]

LOOPBACK = "127.0.0.1"
CHUNK_BYTES = 65_536


class Link(Enum):
    """
    What one direction of a link does with the bytes that it carries.

    ``HOLD`` delivers them late, once it forwards again, as retransmission does;
    ``SWALLOW`` takes them and delivers none, as where the peer's state is lost.
    """

    FORWARD = "forward"
    HOLD = "hold"
    SWALLOW = "swallow"


class Relay:
    """Stands before one address; requests go to it, replies come from it."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._requests = Link.FORWARD
        self._replies = Link.FORWARD
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._port = 0
        self._carried = 0

    @property
    def carried(self) -> int:
        """Bytes of replies that came through."""
        return self._carried

    @property
    def address(self) -> str:
        """Where callers connect."""
        return f"{LOOPBACK}:{self._port}"

    def set_links(
        self, requests: Link = Link.FORWARD, replies: Link = Link.FORWARD
    ) -> None:
        """Set what both directions do from now on, on all connections."""
        self._requests, self._replies = requests, replies
        self._changed.set()
        self._changed = asyncio.Event()

    def reset(self) -> None:
        """Break every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, target_writer}
        self._writers |= writers
        try:
            with suppress(ConnectionError):
                await asyncio.gather(
                    self._pump(reader, target_writer, requests=True),
                    self._pump(target_reader, writer, requests=False),
                )
        finally:
            self._writers -= writers
            for each in writers:
                each.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        requests: bool,
    ) -> None:
        while True:
            data = await reader.read(CHUNK_BYTES)
            while self._link(requests) is Link.HOLD:
                await self._changed.wait()
            if self._link(requests) is Link.SWALLOW:
                if data:
                    continue
                await self._changed.wait()
            if not data:
                raise ConnectionResetError
            self._carried += 0 if requests else len(data)
            writer.write(data)
            await writer.drain()

    def _link(self, requests: bool) -> Link:
        return self._requests if requests else self._replies

    async def serve(self) -> asyncio.Server:
        """Listen on a port that the kernel picks."""
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self._port = server.sockets[0].getsockname()[1]
        return server


@asynccontextmanager
async def open_relay(target: str) -> AsyncIterator[Relay]:
    """Relay to ``ip:port`` until the context ends."""
    relay = Relay(target)
    server = await relay.serve()
    try:
        yield relay
    finally:
        server.close()
        relay.reset()
