"""
The event loop of the system's processes: uvloop with a workaround for pycapnp.

The workaround prevents the following crash. uvloop calls ``get_buffer`` of a
``BufferedProtocol``; if no read is pending, pycapnp pauses the transport from inside
that call. uvloop then calls a reader that it has just removed, and the process dies
of SIGSEGV. This happens when a peer's first bytes arrive before the server's first
read, as is common on a busy host. With the workaround, uvloop only sees a plain
``Protocol``, so that the transport is paused outside its read callback or not at all.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Any

import uvloop

__all__ = ["DirectProtocol", "WireLoop", "run"]

# Buffered bytes for a paused protocol beyond which the transport is paused too.
HIGH_WATER_BYTES = 1_048_576


class DirectProtocol(asyncio.BufferedProtocol):
    """
    A buffered protocol that never pauses its transport in ``get_buffer``.

    uvloop reads into its buffer, and nothing once it has paused. Other buffered
    protocols are read for ahead, up to ``HIGH_WATER_BYTES`` for each connection.
    """


class WireLoop(uvloop.Loop):
    """A uvloop whose buffered protocols may pause the transport at any time."""

    async def create_server(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], *args: Any, **kwargs: Any
    ) -> asyncio.AbstractServer:
        """Create a server; see ``asyncio.loop.create_server``."""
        factory = _wrap_factory(protocol_factory)
        return await super().create_server(factory, *args, **kwargs)

    async def create_connection(
        self, protocol_factory: Callable[[], Any], *args: Any, **kwargs: Any
    ) -> tuple[Any, Any]:
        """Create a connection; see ``asyncio.loop.create_connection``."""
        factory = _wrap_factory(protocol_factory)
        transport, protocol = await super().create_connection(factory, *args, **kwargs)
        if isinstance(protocol, _BufferedProtocolAdapter):
            return protocol.transport, protocol.inner
        return transport, protocol


def run(main: Any) -> None:
    """Run a coroutine to completion on a new ``WireLoop``."""
    with asyncio.Runner(loop_factory=WireLoop) as runner:
        runner.run(main)


class _PausableTransport:
    """The transport as the wrapped protocol sees it: pauses go to the adapter."""

    def __init__(self, transport: Any, adapter: "_BufferedProtocolAdapter") -> None:
        self._transport = transport
        self._adapter = adapter

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def pause_reading(self) -> None:
        self._adapter.pause()

    def resume_reading(self) -> None:
        self._adapter.resume()


class _BufferedProtocolAdapter(asyncio.Protocol):
    """Passes the data of a plain protocol to a buffered one, unless that is paused."""

    def __init__(self, inner: asyncio.BufferedProtocol) -> None:
        self.inner = inner
        self.transport: Any = None
        self._uvloop_transport: Any = None
        self._buffered: deque[memoryview] = deque()
        self._buffered_bytes = 0
        self._paused = False
        self._transport_paused = False
        self._eof = False
        # The argument of ``connection_lost`` until it has been passed on.
        self._lost_exc: list[Exception | None] = []
        self._loop = asyncio.get_running_loop()

    # Callbacks of the real transport

    def connection_made(self, transport: Any) -> None:
        self._uvloop_transport = transport
        self.transport = _PausableTransport(transport, self)
        self.inner.connection_made(self.transport)

    def data_received(self, data: bytes) -> None:
        if not self._buffered and not self._paused:
            target = self._get_buffer(len(data))
            if not self._paused and len(target) >= len(data):
                target[: len(data)] = data
                self.inner.buffer_updated(len(data))
                return
        self._buffered.append(memoryview(data))
        self._buffered_bytes += len(data)
        self._deliver()

    def eof_received(self) -> bool:
        self._eof = True
        self._deliver()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self._lost_exc.append(exc)
        self._deliver()

    def pause_writing(self) -> None:
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        self.inner.resume_writing()

    # Requests of the wrapped protocol

    def pause(self) -> None:
        self._paused = True

    def resume(self) -> None:
        self._paused = False
        if self._buffered or self._eof or self._lost_exc:
            self._loop.call_soon(self._deliver)

    # Delivery

    def _deliver(self) -> None:
        while self._buffered and not self._paused:
            self._deliver_one()
        self._set_transport_paused(self._buffered_bytes > HIGH_WATER_BYTES)
        if self._lost_exc:
            self._report_connection_lost()
        elif self._eof and not self._buffered:
            self._eof = False
            self.inner.eof_received()

    def _deliver_one(self) -> None:
        data = self._buffered[0]
        target = self._get_buffer(len(data))
        if self._paused:
            return
        size = min(len(data), len(target))
        target[:size] = data[:size]
        if size == len(data):
            self._buffered.popleft()
        else:
            self._buffered[0] = data[size:]
        self._buffered_bytes -= size
        self.inner.buffer_updated(size)

    def _get_buffer(self, size: int) -> memoryview:
        return memoryview(self.inner.get_buffer(size)).cast("B")

    def _report_connection_lost(self) -> None:
        exc = self._lost_exc.pop()
        self._buffered.clear()
        self.inner.connection_lost(exc)

    def _set_transport_paused(self, paused: bool) -> None:
        if paused == self._transport_paused or self._uvloop_transport.is_closing():
            return
        self._transport_paused = paused
        if paused:
            self._uvloop_transport.pause_reading()
        else:
            self._uvloop_transport.resume_reading()


def _wrap_factory(factory: Callable[[], Any]) -> Callable[[], Any]:
    def build() -> Any:
        protocol = factory()
        is_direct = isinstance(protocol, DirectProtocol)
        if isinstance(protocol, asyncio.BufferedProtocol) and not is_direct:
            return _BufferedProtocolAdapter(protocol)
        return protocol

    return build
