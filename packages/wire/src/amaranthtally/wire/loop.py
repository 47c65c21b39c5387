"""
The event loop of the system's processes: uvloop, with a guard for pycapnp.

The failure: uvloop asks a ``BufferedProtocol`` for a buffer, and when no read is
pending pycapnp pauses the transport from inside that call. uvloop then calls a
reader that it has just removed, and the process ends with SIGSEGV. It shows when
a peer's first bytes arrive before the server's first read, as they do on a busy
host. The guard holds because uvloop only ever sees a plain ``Protocol``: pauses
reach the real transport outside its read callback, or not at all.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

import uvloop

__all__ = ["WireLoop", "run"]

# Bytes held for a paused reader before the peer is made to wait.
HIGH_WATER_BYTES = 1_048_576


class WireLoop(uvloop.Loop):
    """A uvloop whose buffered protocols may pause at any moment."""

    async def create_server(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], *args: Any, **kwargs: Any
    ) -> asyncio.AbstractServer:
        """Create a server, as ``asyncio`` documents it."""
        factory = _guarded(protocol_factory)
        return await super().create_server(factory, *args, **kwargs)

    async def create_connection(
        self, protocol_factory: Callable[[], Any], *args: Any, **kwargs: Any
    ) -> tuple[Any, Any]:
        """Create a connection, as ``asyncio`` documents it."""
        factory = _guarded(protocol_factory)
        transport, protocol = await super().create_connection(factory, *args, **kwargs)
        if isinstance(protocol, _GuardProtocol):
            return protocol.transport, protocol.inner
        return transport, protocol


def run(main: Any) -> None:
    """Run a coroutine to its end on a new ``WireLoop``."""
    with asyncio.Runner(loop_factory=WireLoop) as runner:
        runner.run(main)


class _GuardTransport:
    """The transport that the guarded protocol sees: its own pause and resume."""

    def __init__(self, transport: Any, guard: "_GuardProtocol") -> None:
        self._transport = transport
        self._guard = guard

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def pause_reading(self) -> None:
        self._guard.pause()

    def resume_reading(self) -> None:
        self._guard.resume()


class _GuardProtocol(asyncio.Protocol):
    """Feeds a buffered protocol from a plain one, holding bytes while it pauses."""

    def __init__(self, inner: asyncio.BufferedProtocol) -> None:
        self.inner = inner
        self.transport: Any = None
        self._real: Any = None
        self._held: deque[memoryview] = deque()
        self._held_bytes = 0
        self._paused = False
        self._choked = False
        self._eof = False
        self._lost: list[Exception | None] = []
        self._loop = asyncio.get_running_loop()

    # Events of the real transport

    def connection_made(self, transport: Any) -> None:
        self._real = transport
        self.transport = _GuardTransport(transport, self)
        self.inner.connection_made(self.transport)

    def data_received(self, data: bytes) -> None:
        if not self._held and not self._paused:
            target = self._buffer(len(data))
            if not self._paused and len(target) >= len(data):
                target[: len(data)] = data
                self.inner.buffer_updated(len(data))
                return
        self._held.append(memoryview(data))
        self._held_bytes += len(data)
        self._deliver()

    def eof_received(self) -> bool:
        self._eof = True
        self._deliver()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._lost.append(exc)
        self._deliver()

    def pause_writing(self) -> None:
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        self.inner.resume_writing()

    # Events of the guarded protocol

    def pause(self) -> None:
        self._paused = True

    def resume(self) -> None:
        self._paused = False
        if self._held or self._eof or self._lost:
            self._loop.call_soon(self._deliver)

    # Delivery

    def _deliver(self) -> None:
        while self._held and not self._paused:
            self._deliver_one()
        self._set_choked(self._held_bytes > HIGH_WATER_BYTES)
        if self._lost:
            self._end()
        elif self._eof and not self._held:
            self._eof = False
            self.inner.eof_received()

    def _deliver_one(self) -> None:
        data = self._held[0]
        target = self._buffer(len(data))
        if self._paused:
            return
        size = min(len(data), len(target))
        target[:size] = data[:size]
        if size == len(data):
            self._held.popleft()
        else:
            self._held[0] = data[size:]
        self._held_bytes -= size
        self.inner.buffer_updated(size)

    def _buffer(self, size: int) -> memoryview:
        return memoryview(self.inner.get_buffer(size)).cast("B")

    def _end(self) -> None:
        exc = self._lost.pop()
        self._held.clear()
        self.inner.connection_lost(exc)

    def _set_choked(self, choked: bool) -> None:
        if choked == self._choked or self._real.is_closing():
            return
        self._choked = choked
        if choked:
            self._real.pause_reading()
        else:
            self._real.resume_reading()


def _guarded(factory: Callable[[], Any]) -> Callable[[], Any]:
    def build() -> Any:
        protocol = factory()
        if isinstance(protocol, asyncio.BufferedProtocol):
            return _GuardProtocol(protocol)
        return protocol

    return build
