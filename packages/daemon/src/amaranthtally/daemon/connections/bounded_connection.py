"""One connection of an HTTP listener, within the listener's limits."""

import asyncio
from typing import TYPE_CHECKING, cast

from amaranthtally.daemon.connections.http_exchange import HttpExchange
from amaranthtally.policy import ConnectionPhase, ConnectionState
from amaranthtally.wire.loop import DirectProtocol

if TYPE_CHECKING:
    from amaranthtally.daemon.connections.connection_table import ConnectionTable

__all__ = ["BoundedConnection"]

HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)


class BoundedConnection(DirectProtocol):
    """
    Passes what it receives to aiohttp, in parts that are small and counted.

    aiohttp bounds single lines of a head. It goes on reading a connection whose request
    it has refused, keeps what it has parsed of endless headers or trailers, and lets
    empty lines, chunk extensions and the like pass without a limit.
    """

    def __init__(self, exchange: HttpExchange, table: "ConnectionTable") -> None:
        self._exchange = exchange
        self._table = table
        self._transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._progress = exchange.progress
        # Bytes received since the last head, or part of a body, was complete.
        self._unparsed = 0
        self._since = self._loop.time()
        self._is_unread = False
        self._is_ended = False

    @property
    def state(self) -> ConnectionState["BoundedConnection"]:
        """What the connection waits for, and since when."""
        is_begun = self._unparsed > 0
        return ConnectionState(self, self._phase, self._since, is_begun)

    @property
    def _phase(self) -> ConnectionPhase:
        exchange = self._exchange
        if self._is_unread:
            return ConnectionPhase.UNREAD
        if exchange.is_reading_body:
            return ConnectionPhase.BODY
        if exchange.has_request:
            return ConnectionPhase.RESPONSE
        if self._unparsed or not exchange.has_had_request:
            return ConnectionPhase.HEAD
        return ConnectionPhase.IDLE

    def note_busy(self, now: float) -> None:
        """Note that the connection still has a request; it is idle from its end on."""
        self._since = now

    def close(self) -> None:
        """Close the connection; what its client has not read is dropped."""
        self._is_ended = True
        if self._transport is not None:
            self._transport.abort()

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a place among the listener's connections."""
        self._transport = cast(asyncio.Transport, transport)
        self._exchange.connection_made(transport)
        self._table.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give the place up."""
        self._table.remove(self)
        self._exchange.connection_lost(exc)
        self._transport = None

    def pause_writing(self) -> None:
        """Let handlers wait, as the client does not read."""
        self._is_unread = True
        self._since = self._loop.time()
        self._exchange.pause_writing()

    def resume_writing(self) -> None:
        """Let handlers go on."""
        self._is_unread = False
        self._since = self._loop.time()
        self._exchange.resume_writing()

    def eof_received(self) -> None:
        """Let the transport close itself."""
        self._exchange.eof_received()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections share: it is read from at once."""
        return self._table.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what has been received, unless the connection was ended."""
        if self._is_ended:
            return
        if not self._unparsed:
            self._since = self._loop.time()
        self._unparsed += nbytes
        is_valid = self._exchange.receive(bytes(self._table.buffer[:nbytes]))
        if not is_valid:
            self._stop_reading()
        elif self._exchange.progress != self._progress:
            self._progress = self._exchange.progress
            self._unparsed = 0
            self._since = self._loop.time()
        elif self._unparsed > self._table.limits.head_bytes:
            self._end_input()

    def _end_input(self) -> None:
        """Refuse what is too long; a request that was read gets its response first."""
        self._table.note_closed("too_long")
        if self._exchange.is_reading_body or self._transport is None:
            self.close()
            return
        self._stop_reading()
        if not self._exchange.has_request:
            self._transport.write(HEAD_TOO_LARGE)
            self._transport.close()
        self._exchange.close()

    def _stop_reading(self) -> None:
        self._is_ended = True
        if self._transport is not None:
            self._transport.pause_reading()
