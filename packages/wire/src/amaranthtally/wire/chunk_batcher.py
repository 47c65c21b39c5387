"""Joins the chunks of all streams between a sidecar and one entry into few messages."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager, suppress

import capnp

from amaranthtally.wire.messages import CallId, StreamPart

__all__ = [
    "HOLD_S",
    "MAX_UNACKNOWLEDGED_CHARS",
    "ChunkBatcher",
    "ChunkStream",
    "SendParts",
]

# Time from one message to the next, and so the longest that a chunk is held back
# while the entry keeps up: far under the 34 ms that callers accept between tokens.
HOLD_S = 0.005
# Text that the entry has not acknowledged; beyond it a stream waits.
MAX_UNACKNOWLEDGED_CHARS = 262_144

SendParts = Callable[[Sequence[StreamPart]], Awaitable[object]]


class ChunkStream:
    """One call's chunks on their way; dropped once the call has ended."""

    def __init__(self, joiner: "ChunkBatcher", number: int, call_id: CallId) -> None:
        self.number = number
        self.call_id = call_id
        self.message: asyncio.Task[None] | None = None
        self._joiner = joiner
        self._began = False
        self._ended = False

    async def put(self, offset: int, text: str) -> None:
        """Take a chunk; returns late while the entry does not keep up."""
        if self._ended:
            return
        first, self._began = not self._began, True
        await self._joiner.put(self, offset, text, at_once=first)

    async def finish(self) -> None:
        """
        Return once the entry has taken every chunk, or has gone.

        The reply must not overtake chunks: the entry would count too few, take the
        stage for cut off and run it once more.
        """
        self._joiner.flush_stream(self)
        if self.message is not None:
            await asyncio.wait({self.message})

    def end(self) -> None:
        """Drop what comes from now on."""
        self._ended = True


class ChunkBatcher:
    """
    Holds chunks back for up to ``HOLD_S`` and sends them in one message.

    A stream's first chunk goes at once and takes along what is held. When the
    connection has ended, chunks are dropped, and nobody waits.
    """

    def __init__(self, send: SendParts, hold_s: float = HOLD_S) -> None:
        self._send = send
        self._hold_s = hold_s
        self._loop = asyncio.get_running_loop()
        self._held: dict[ChunkStream, StreamPart] = {}
        self._chars = 0
        self._timer: asyncio.Handle | None = None
        self._due = 0.0
        self._last_sent = -hold_s
        self._messages: set[asyncio.Task[None]] = set()
        self._acknowledged = asyncio.Event()
        self._closed = False

    @contextmanager
    def open(self, number: int, call_id: CallId) -> Iterator[ChunkStream]:
        """Open the stream of a call until it has ended."""
        stream = ChunkStream(self, number, call_id)
        try:
            yield stream
        finally:
            stream.end()
            self._forget(stream)

    async def put(
        self, stream: ChunkStream, offset: int, text: str, at_once: bool
    ) -> None:
        """Take a stream's chunk."""
        if self._closed:
            return
        self._hold(stream, offset, text)
        self._schedule(0.0 if at_once else self._last_sent + self._hold_s)
        # An entry that reads slowly would make this process hold whole answers. It
        # shows as chunks without their acknowledgement; the engine's stream is read
        # no further until one comes.
        while self._chars > MAX_UNACKNOWLEDGED_CHARS and not self._closed:
            self._acknowledged.clear()
            await self._acknowledged.wait()

    def flush_stream(self, stream: ChunkStream) -> None:
        """Send what is held if some of it is this stream's."""
        if stream in self._held:
            self._flush()

    def close(self) -> None:
        """Drop everything: the connection has ended."""
        self._closed = True
        self._held.clear()
        if self._timer is not None:
            self._timer.cancel()
        for message in self._messages:
            message.cancel()
        self._acknowledged.set()

    # Steps

    def _hold(self, stream: ChunkStream, offset: int, text: str) -> None:
        part = self._held.get(stream)
        if part is not None and part.offset + len(part.texts) != offset:
            self._flush()
            part = None
        if part is None:
            part = StreamPart(stream.number, stream.call_id, offset)
            self._held[stream] = part
        part.texts.append(text)
        self._chars += len(text)

    def _schedule(self, due: float) -> None:
        if self._timer is not None:
            if self._due <= due:
                return
            self._timer.cancel()
        self._due = due
        # Never in this step: chunks that came together go together.
        self._timer = self._loop.call_at(due, self._flush)

    def _flush(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if not self._held or self._closed:
            return
        parts = list(self._held.values())
        message = asyncio.create_task(self._deliver(parts))
        for stream in self._held:
            stream.message = message
        self._held.clear()
        self._last_sent = self._loop.time()
        self._messages.add(message)
        message.add_done_callback(self._messages.discard)

    async def _deliver(self, parts: Sequence[StreamPart]) -> None:
        try:
            # The entry has gone. The end of the connection cancels its calls; here
            # nobody is left to be told.
            with suppress(capnp.KjException):
                await self._send(parts)
        finally:
            self._release(sum(map(_size, parts)))

    def _forget(self, stream: ChunkStream) -> None:
        part = self._held.pop(stream, None)
        if part is not None:
            self._release(_size(part))

    def _release(self, chars: int) -> None:
        self._chars -= chars
        self._acknowledged.set()


def _size(part: StreamPart) -> int:
    return sum(map(len, part.texts))
