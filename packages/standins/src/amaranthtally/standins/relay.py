"""A TCP relay for tests: a link that can stand still, lose bytes, break, or be thin."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from enum import Enum

from amaranthtally.standins.deployment import Deployment
from amaranthtally.standins.ports import LOOPBACK

__all__ = ["LinkFault", "Relay", "ThinLink", "open_relays"]

CHUNK_BYTES = 65_536
# What one connection sends over a thin link before the next one has its turn.
THIN_CHUNK_BYTES = 4096
# What a thin link catches up on at most, in seconds, where its sleeps took longer than
# asked for: on a busy host its rate would otherwise be far below what a test counts on.
CAUGHT_UP_S = 0.2


class LinkFault(Enum):
    """
    How a link fails.

    ``HELD`` delivers what was sent late, once it is healed, as retransmission does;
    ``HALF_OPEN`` loses it, as where the peer's state is gone; ``ANSWERS_LOST`` does
    so in one direction only.
    """

    RESET = "reset"
    HELD = "held"
    HALF_OPEN = "half open"
    ANSWERS_LOST = "answers lost"


class _Way(Enum):
    FORWARD = "forward"
    HOLD = "hold"
    SWALLOW = "swallow"


_WAYS = {
    LinkFault.RESET: (_Way.FORWARD, _Way.FORWARD),
    LinkFault.HELD: (_Way.HOLD, _Way.HOLD),
    LinkFault.HALF_OPEN: (_Way.SWALLOW, _Way.SWALLOW),
    LinkFault.ANSWERS_LOST: (_Way.FORWARD, _Way.SWALLOW),
}


class ThinLink:
    """A rate in bytes a second that the replies of several relays share in turn."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0
        self._overslept_s = 0.0
        self._carried = 0

    @property
    def bytes_per_s(self) -> float:
        """The rate that all connections share."""
        return self._bytes_per_s

    @property
    def carried(self) -> int:
        """Bytes that went through."""
        return self._carried

    async def carry(self, size: int) -> None:
        """
        Wait until so many bytes have gone through.

        Only what a sleep took too long is caught up on: a link that stood idle is no
        faster afterwards.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        caught_up_s = min(CAUGHT_UP_S, self._overslept_s)
        ends_at = max(now - caught_up_s, self._free_at) + size / self._bytes_per_s
        self._free_at = ends_at
        self._overslept_s = 0.0
        self._carried += size
        await asyncio.sleep(max(0.0, ends_at - now))
        self._overslept_s = max(0.0, loop.time() - self._free_at)


class Relay:
    """Stands before one address; requests go to it, replies come from it."""

    def __init__(self, target: str, link: ThinLink | None = None) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._link = link
        self._requests = _Way.FORWARD
        self._replies = _Way.FORWARD
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

    def fail(self, fault: LinkFault) -> None:
        """Fail in one way, on open and on new connections, until healed."""
        if fault is LinkFault.RESET:
            self._reset()
        self._set_ways(*_WAYS[fault])

    def heal(self) -> None:
        """Forward again; a connection that has lost bytes breaks."""
        lossy = _Way.SWALLOW in (self._requests, self._replies)
        self._set_ways(_Way.FORWARD, _Way.FORWARD)
        if lossy:
            self._reset()

    def _set_ways(self, requests: _Way, replies: _Way) -> None:
        self._requests, self._replies = requests, replies
        self._changed.set()
        self._changed = asyncio.Event()

    def _reset(self) -> None:
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
                each.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        requests: bool,
    ) -> None:
        link = None if requests else self._link
        while True:
            data = await reader.read(THIN_CHUNK_BYTES if link else CHUNK_BYTES)
            if link:
                await link.carry(len(data))
            while self._way(requests) is _Way.HOLD:
                await self._changed.wait()
            if self._way(requests) is _Way.SWALLOW:
                if data:
                    continue
                await self._changed.wait()
            if not data:
                # Closed, not aborted: what was held back is still delivered.
                writer.close()
                return
            self._carried += 0 if requests else len(data)
            writer.write(data)
            await writer.drain()

    def _way(self, requests: bool) -> _Way:
        return self._requests if requests else self._replies

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[None]:
        """Listen on a port that the kernel picks until the context ends."""
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self._port = server.sockets[0].getsockname()[1]
        try:
            yield
        finally:
            server.close()
            self._reset()


@asynccontextmanager
async def open_relays(
    deployment: Deployment, *pools: str
) -> AsyncIterator[dict[str, Relay]]:
    """Register the sidecars of some pools behind relays; yields them by endpoint."""
    async with AsyncExitStack() as stack:
        relays: dict[str, Relay] = {}
        firm = {}
        for pair in [p for pool in pools for p in deployment.pool(pool)]:
            relay = relays[pair.id] = Relay(pair.address)
            await stack.enter_async_context(relay.serve())
            place = {**pair.registration(), "address": relay.address}
            firm[f"endpoint.{pair.id}"] = place
        change = await deployment.apply({"firm": firm})
        for number in range(len(deployment.entries)):
            await deployment.wait_revision(change["number"], number)
        yield relays
