"""The text of a streamed stage, assembled from the chunks of its attempts."""

from enum import Enum

__all__ = ["MAX_TEXT_BYTES", "ChunkOutcome", "StreamText"]

# Limit of the memory that one stream may use in an entry. The entry buffers the text
# because an engine that waited for a slow caller would occupy a slot that other
# callers need.
MAX_TEXT_BYTES = 1_048_576


class ChunkOutcome(Enum):
    """How a received chunk was handled."""

    APPENDED = "taken"
    DROPPED = "dropped"
    DIVERGENT = "divergent"
    TOO_LONG = "too long"


class StreamText:
    """
    The chunks of a stream, each appended once and in order of offset.

    Attempts overlap when a stream is hedged or resumed at another endpoint. A chunk
    is appended only at the next offset, so the caller receives none twice. A repeated
    chunk with a different text shows that the engine is producing another text; its
    later chunks would mix two answers, so the entry ends that attempt.
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

    def add(self, offset: int, text: str) -> ChunkOutcome:
        """Append a chunk if ``offset`` is the next one."""
        if offset > len(self._chunks):
            return ChunkOutcome.DROPPED
        if offset < len(self._chunks):
            same = self._chunks[offset] == text
            return ChunkOutcome.DROPPED if same else ChunkOutcome.DIVERGENT
        size = len(text.encode())
        if self._bytes + size > MAX_TEXT_BYTES:
            return ChunkOutcome.TOO_LONG
        self._bytes += size
        self._chunks.append(text)
        return ChunkOutcome.APPENDED
