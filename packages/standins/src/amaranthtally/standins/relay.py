"""A TCP relay for tests that injects faults into links and limits their rate."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from enum import Enum

from amaranthtally.standins.deployment import Deployment
from amaranthtally.standins.ports import LOOPBACK

__all__ = ["LinkFault", "Relay", "RateLimitedLink", "open_relays"]

CHUNK_BYTES = 65_536
# Most bytes that one connection sends over a rate-limited link before other connections
# may send.
RATE_LIMITED_CHUNK_BYTES = 4096
# Most time that a rate-limited link recovers after a sleep that took too long, in
# seconds. Without this recovery the rate on a busy host would be far below the one that
# a test expects.
MAX_CATCH_UP_S = 0.2


class LinkFault(Enum):
    """
    How a link fails.

    ``RESET`` aborts the open connections. ``HELD`` holds back the bytes of both
    directions and delivers them once the fault is cleared, like TCP's retransmission
    after packet loss. ``HALF_OPEN`` drops the bytes of both directions, as when the
    peer has lost the connection's state. ``REPLIES_LOST`` drops only the bytes of
    replies.
    """

    RESET = "reset"
    HELD = "held"
    HALF_OPEN = "half open"
    REPLIES_LOST = "answers lost"


class _DirectionMode(Enum):
    FORWARD = "forward"
    HOLD = "hold"
    DROP = "drop"


_FAULT_MODES = {
    LinkFault.RESET: (_DirectionMode.FORWARD, _DirectionMode.FORWARD),
    LinkFault.HELD: (_DirectionMode.HOLD, _DirectionMode.HOLD),
    LinkFault.HALF_OPEN: (_DirectionMode.DROP, _DirectionMode.DROP),
    LinkFault.REPLIES_LOST: (_DirectionMode.FORWARD, _DirectionMode.DROP),
}


class RateLimitedLink:
    """A limit in bytes per second, shared by the replies of several relays."""

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0
        self._sleep_overrun_s = 0.0
        self._sent_bytes = 0

    @property
    def bytes_per_s(self) -> float:
        """The rate that all connections share, in bytes per second."""
        return self._bytes_per_s

    @property
    def sent_bytes(self) -> int:
        """Bytes sent over the link so far."""
        return self._sent_bytes

    async def throttle(self, size: int) -> None:
        """
        Wait until ``size`` bytes have been sent at the link's rate.

        If the previous sleep took too long, the wait is shortened by the excess, up to
        ``MAX_CATCH_UP_S``. Idle time is not recovered, so a link that was idle does not
        exceed its rate.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        catch_up_s = min(MAX_CATCH_UP_S, self._sleep_overrun_s)
        ends_at = max(now - catch_up_s, self._free_at) + size / self._bytes_per_s
        self._free_at = ends_at
        self._sleep_overrun_s = 0.0
        self._sent_bytes += size
        await asyncio.sleep(max(0.0, ends_at - now))
        self._sleep_overrun_s = max(0.0, loop.time() - self._free_at)


class Relay:
    """Forwards TCP connections to one target; bytes from the target are replies."""

    def __init__(self, target: str, link: RateLimitedLink | None = None) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._link = link
        self._request_mode = _DirectionMode.FORWARD
        self._reply_mode = _DirectionMode.FORWARD
        self._mode_changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._port = 0
        self._forwarded_reply_bytes = 0

    @property
    def forwarded_reply_bytes(self) -> int:
        """Bytes of replies forwarded so far."""
        return self._forwarded_reply_bytes

    @property
    def address(self) -> str:
        """The address at which the relay accepts connections."""
        return f"{LOOPBACK}:{self._port}"

    def fail(self, fault: LinkFault) -> None:
        """Apply a fault to open and new connections until ``clear_fault`` is called."""
        if fault is LinkFault.RESET:
            self._reset()
        self._set_modes(*_FAULT_MODES[fault])

    def clear_fault(self) -> None:
        """End the fault; reset the open connections if it dropped bytes."""
        has_dropped_bytes = _DirectionMode.DROP in (
            self._request_mode,
            self._reply_mode,
        )
        self._set_modes(_DirectionMode.FORWARD, _DirectionMode.FORWARD)
        if has_dropped_bytes:
            self._reset()

    def _set_modes(self, requests: _DirectionMode, replies: _DirectionMode) -> None:
        self._request_mode, self._reply_mode = requests, replies
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()

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
                    self._forward(reader, target_writer, requests=True),
                    self._forward(target_reader, writer, requests=False),
                )
        finally:
            self._writers -= writers
            for open_writer in writers:
                open_writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        requests: bool,
    ) -> None:
        link = None if requests else self._link
        while True:
            data = await reader.read(RATE_LIMITED_CHUNK_BYTES if link else CHUNK_BYTES)
            if link:
                await link.throttle(len(data))
            while self._mode(requests) is _DirectionMode.HOLD:
                await self._mode_changed.wait()
            if self._mode(requests) is _DirectionMode.DROP:
                if data:
                    continue
                await self._mode_changed.wait()
            if not data:
                # close() sends the bytes that are still buffered; abort() drops them.
                writer.close()
                return
            self._forwarded_reply_bytes += 0 if requests else len(data)
            writer.write(data)
            await writer.drain()

    def _mode(self, requests: bool) -> _DirectionMode:
        return self._request_mode if requests else self._reply_mode

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[None]:
        """Listen on a port that the kernel assigns, until the context ends."""
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
    """
    Open a relay to each sidecar of some pools; yield the relays by endpoint id.

    The endpoints are registered at the relays' addresses, and every entry has applied
    this registration.
    """
    async with AsyncExitStack() as stack:
        relays: dict[str, Relay] = {}
        firm_settings = {}
        for pair in [p for pool in pools for p in deployment.pool(pool)]:
            relay = relays[pair.id] = Relay(pair.address)
            await stack.enter_async_context(relay.serve())
            registration = {**pair.registration(), "address": relay.address}
            firm_settings[f"endpoint.{pair.id}"] = registration
        change = await deployment.apply({"firm": firm_settings})
        for number in range(len(deployment.entries)):
            await deployment.wait_revision(change["number"], number)
        yield relays
