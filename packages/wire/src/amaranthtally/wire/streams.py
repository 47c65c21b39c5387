"""The chunk streams that an entry receives over one connection."""

from collections.abc import Iterator
from contextlib import contextmanager
from itertools import count

from amaranthtally.wire.errors import (
    ChunkRefusedError,
    ReplyMismatchError,
    WireError,
)
from amaranthtally.wire.messages import CallId, ChunksHandler, StreamPart

__all__ = ["OpenStream", "OpenStreams"]


class OpenStream:
    """Passes the chunks of one call to its handler and rejects those of other calls."""

    def __init__(
        self, peer: str, number: int, call_id: CallId, on_chunks: ChunksHandler
    ) -> None:
        self.number = number
        self._peer = peer
        self._call_id = call_id
        self._on_chunks = on_chunks
        self._error: WireError | None = None

    def receive(self, part: StreamPart) -> None:
        """Pass a part's chunks to the handler; ``check`` raises if this fails."""
        # A sidecar that confuses its streams would give one caller's text to another.
        # The id in the part detects this; a part with another id is discarded and its
        # stream's call fails with an unknown outcome.
        if part.id != self._call_id:
            self._error = ReplyMismatchError(self._peer, self._call_id, part.id)
            return
        try:
            self._on_chunks(part.offset, part.texts)
        except Exception as error:
            # A failing handler must not affect the other streams of the message.
            self._error = ChunkRefusedError(self._peer, repr(error))

    def check(self) -> None:
        """Raise the last error with a chunk of this stream, if any."""
        if self._error is not None:
            raise self._error


class OpenStreams:
    """Open streams by number; each number is used once per connection."""

    def __init__(self, peer: str) -> None:
        self._peer = peer
        self._numbers = count(1)
        self._streams: dict[int, OpenStream] = {}

    @contextmanager
    def open(self, call_id: CallId, on_chunks: ChunksHandler) -> Iterator[OpenStream]:
        """Register a stream until the context exits, when its call has ended."""
        stream = OpenStream(self._peer, next(self._numbers), call_id, on_chunks)
        self._streams[stream.number] = stream
        try:
            yield stream
        finally:
            del self._streams[stream.number]

    def receive(self, part: StreamPart) -> None:
        """Pass a part to its stream; discard it if its call has ended."""
        stream = self._streams.get(part.stream)
        if stream is not None:
            stream.receive(part)
