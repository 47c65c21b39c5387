"""The text of a streamed stage, put together from the chunks of its attempts."""

from enum import Enum

__all__ = ["MAX_TEXT_BYTES", "ChunkFate", "StreamText"]

# What one stream may hold of an entry's memory. Engines are never made to wait for
# a slow caller: they would hold a place that other callers need.
MAX_TEXT_BYTES = 1_048_576


class ChunkFate(Enum):
    """What became of a chunk."""

    TAKEN = "taken"
    DROPPED = "dropped"
    DIVERGENT = "divergent"
    TOO_LONG = "too long"


class StreamText:
    """
    Chunks by offset, each taken once and in order.

    Attempts overlap when a stream is resumed elsewhere or hedged. A chunk counts
    only at the offset that comes next, so the caller sees none twice. A repeated
    chunk with other words shows that the engine does not continue this text: its
    later chunks would make a mixture of two answers, so that attempt is given up.
    """

    def __init__(self) -> None:
        self._chunks: list[str] = []
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._chunks)

    def __str__(self) -> str:
        return "".join(self._chunks)

    def after(self, count: int) -> list[str]:
        """Return the chunks after the first ``count``."""
        return self._chunks[count:]

    def take(self, offset: int, text: str) -> ChunkFate:
        """Keep a chunk if it comes next."""
        if offset > len(self._chunks):
            return ChunkFate.DROPPED
        if offset < len(self._chunks):
            same = self._chunks[offset] == text
            return ChunkFate.DROPPED if same else ChunkFate.DIVERGENT
        size = len(text.encode())
        if self._bytes + size > MAX_TEXT_BYTES:
            return ChunkFate.TOO_LONG
        self._bytes += size
        self._chunks.append(text)
        return ChunkFate.TAKEN
