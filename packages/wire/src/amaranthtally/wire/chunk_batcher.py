"""Batches the chunks of all streams from a sidecar to an entry into few messages."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager, suppress

import capnp

from amaranthtally.wire.messages import CallId, StreamPart

__all__ = [
    "BATCH_INTERVAL_S",
    "MAX_UNACKNOWLEDGED_CHARS",
    "ChunkBatcher",
    "ChunkStream",
    "SendParts",
]

# Interval between messages, and thus the maximum delay of a chunk if the entry keeps
# up, in seconds: well below the 34 ms that callers accept between tokens.
BATCH_INTERVAL_S = 0.005
# Characters that the entry may leave unacknowledged before streams are paused.
MAX_UNACKNOWLEDGED_CHARS = 262_144

SendParts = Callable[[Sequence[StreamPart]], Awaitable[object]]


class ChunkStream:
    """The chunks of one call on their way to the entry."""

    def __init__(self, batcher: "ChunkBatcher", number: int, call_id: CallId) -> None:
        self.number = number
        self.call_id = call_id
        self.message: asyncio.Task[None] | None = None
        self._batcher = batcher
        self._began = False
        self._ended = False

    async def put(self, offset: int, text: str) -> None:
        """Queue a chunk for sending; wait while the entry does not keep up."""
        if self._ended:
            return
        is_first, self._began = not self._began, True
        await self._batcher.put(self, offset, text, at_once=is_first)

    async def finish(self) -> None:
        """
        Wait until the entry has acknowledged every chunk or has disconnected.

        The reply must not overtake chunks: the entry would count too few of them,
        conclude that the stream was cut off, and run the stage again.
        """
        self._batcher.flush_stream(self)
        if self.message is not None:
            await asyncio.wait({self.message})

    def end(self) -> None:
        """Discard all later chunks: the call has ended."""
        self._ended = True


class ChunkBatcher:
    """
    Delays chunks for up to ``interval_s`` seconds and sends them in one message.

    The first chunk of a stream is sent at once, together with all pending chunks.
    After the connection has ended, chunks are discarded and ``put`` does not wait.
    """

    def __init__(self, send: SendParts, interval_s: float = BATCH_INTERVAL_S) -> None:
        self._send = send
        self._interval_s = interval_s
        self._loop = asyncio.get_running_loop()
        self._pending: dict[ChunkStream, StreamPart] = {}
        self._unacknowledged_chars = 0
        self._timer: asyncio.Handle | None = None
        self._due = 0.0
        self._last_sent = -interval_s
        self._messages: set[asyncio.Task[None]] = set()
        self._acknowledged = asyncio.Event()
        self._closed = False

    @contextmanager
    def open(self, number: int, call_id: CallId) -> Iterator[ChunkStream]:
        """Register the stream of a call until the context exits."""
        stream = ChunkStream(self, number, call_id)
        try:
            yield stream
        finally:
            stream.end()
            self._discard(stream)

    async def put(
        self, stream: ChunkStream, offset: int, text: str, at_once: bool
    ) -> None:
        """Queue a stream's chunk; wait while too much text is unacknowledged."""
        if self._closed:
            return
        self._add_pending(stream, offset, text)
        self._schedule(0.0 if at_once else self._last_sent + self._interval_s)
        # If the entry reads slowly, this process would buffer whole answers. Once too
        # much text is unacknowledged, the caller is blocked, so that it stops reading
        # the engine's stream until an acknowledgement arrives.
        while (
            self._unacknowledged_chars > MAX_UNACKNOWLEDGED_CHARS and not self._closed
        ):
            self._acknowledged.clear()
            await self._acknowledged.wait()

    def flush_stream(self, stream: ChunkStream) -> None:
        """Send all pending chunks now if some of them belong to this stream."""
        if stream in self._pending:
            self._flush()

    def close(self) -> None:
        """Discard all chunks: the connection has ended."""
        self._closed = True
        self._pending.clear()
        if self._timer is not None:
            self._timer.cancel()
        for message in self._messages:
            message.cancel()
        self._acknowledged.set()

    # Pending chunks and messages

    def _add_pending(self, stream: ChunkStream, offset: int, text: str) -> None:
        part = self._pending.get(stream)
        if part is not None and part.offset + len(part.texts) != offset:
            self._flush()
            part = None
        if part is None:
            part = StreamPart(stream.number, stream.call_id, offset)
            self._pending[stream] = part
        part.texts.append(text)
        self._unacknowledged_chars += len(text)

    def _schedule(self, due: float) -> None:
        if self._timer is not None:
            if self._due <= due:
                return
            self._timer.cancel()
        self._due = due
        # Flush in a later step of the event loop, even if it is due now, so that
        # chunks that arrive together are sent together.
        self._timer = self._loop.call_at(due, self._flush)

    def _flush(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._pending or self._closed:
            return
        parts = list(self._pending.values())
        message = asyncio.create_task(self._deliver(parts))
        for stream in self._pending:
            stream.message = message
        self._pending.clear()
        self._last_sent = self._loop.time()
        self._messages.add(message)
        message.add_done_callback(self._messages.discard)

    async def _deliver(self, parts: Sequence[StreamPart]) -> None:
        try:
            # The entry has disconnected, which cancels its calls; there is nobody left
            # to report the error to.
            with suppress(capnp.KjException):
                await self._send(parts)
        finally:
            self._subtract_unacknowledged(sum(map(_char_count, parts)))

    def _discard(self, stream: ChunkStream) -> None:
        part = self._pending.pop(stream, None)
        if part is not None:
            self._subtract_unacknowledged(_char_count(part))

    def _subtract_unacknowledged(self, chars: int) -> None:
        self._unacknowledged_chars -= chars
        self._acknowledged.set()


def _char_count(part: StreamPart) -> int:
    return sum(map(len, part.texts))
