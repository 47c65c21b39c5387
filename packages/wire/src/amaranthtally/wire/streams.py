"""An entry's streams over one connection, by the numbers it has given them."""

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
    """Takes the chunks of one call, and refuses those of any other."""

    def __init__(
        self, peer: str, number: int, call_id: CallId, on_chunks: ChunksHandler
    ) -> None:
        self.number = number
        self._peer = peer
        self._call_id = call_id
        self._on_chunks = on_chunks
        self._error: WireError | None = None

    def take(self, part: StreamPart) -> None:
        """Hand on a part's chunks; one that fails makes ``check`` raise."""
        # A sidecar that mixes up its streams would hand one caller's words to
        # another. It shows as an id that is not the call's: nothing of that part is
        # used, and the call counts as lost.
        if part.id != self._call_id:
            self._error = ReplyMismatchError(self._peer, self._call_id, part.id)
            return
        try:
            self._on_chunks(part.offset, part.texts)
        except Exception as error:
            # The other streams of the message must not suffer from it.
            self._error = ChunkRefusedError(self._peer, repr(error))

    def check(self) -> None:
        """Raise what went wrong with a chunk, if anything."""
        if self._error is not None:
            raise self._error


class OpenStreams:
    """Streams by number; a number is used once on a connection."""

    def __init__(self, peer: str) -> None:
        self._peer = peer
        self._numbers = count(1)
        self._streams: dict[int, OpenStream] = {}

    @contextmanager
    def open(self, call_id: CallId, on_chunks: ChunksHandler) -> Iterator[OpenStream]:
        """Open a stream until its call has ended."""
        stream = OpenStream(self._peer, next(self._numbers), call_id, on_chunks)
        self._streams[stream.number] = stream
        try:
            yield stream
        finally:
            del self._streams[stream.number]

    def take(self, part: StreamPart) -> None:
        """Hand on a part; one whose call has ended here is dropped."""
        stream = self._streams.get(part.stream)
        if stream is not None:
            stream.take(part)
