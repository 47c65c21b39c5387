"""The body of a message, held once from the socket that it came from to the next."""

import mmap
from collections.abc import Iterator

from aiohttp import payload
from aiohttp.abc import AbstractStreamWriter

__all__ = ["HeldBody", "HeldBodyPayload"]

# Most bytes of a block, and of a part that is handed on.
BLOCK_BYTES = 1_048_576
PART_BYTES = 65_536
# Blocks from this size on, in bytes, are mapped and not taken from the allocator. It
# would keep the space between other objects that they leave, after a burst for good.
# Pages of a map take no memory before they are written.
MAPPED_BYTES = 65_536


class HeldBody:
    """
    Bytes in the order in which they were appended, in blocks that never move.

    ``expected_bytes`` is the size that was announced, 0 if there is none.
    """

    def __init__(self, expected_bytes: int = 0) -> None:
        self._expected_bytes = expected_bytes
        self._blocks: list[bytearray | mmap.mmap] = []
        self._last_used = 0
        self._size = 0

    @property
    def size(self) -> int:
        """The number of bytes that have come."""
        return self._size

    def append(self, data: bytes) -> None:
        """Add bytes to the end."""
        rest = memoryview(data)
        while rest:
            block = self._last_block(len(rest))
            taken = rest[: len(block) - self._last_used]
            block[self._last_used : self._last_used + len(taken)] = taken
            self._last_used += len(taken)
            self._size += len(taken)
            rest = rest[len(taken) :]

    def clear(self) -> None:
        """Drop all bytes, as an error may refer to what refers to this object."""
        self._blocks.clear()
        self._last_used = self._size = 0

    def parts(self, most_bytes: int = PART_BYTES) -> Iterator[memoryview]:
        """Return views of all bytes in order, each of at most a number of bytes."""
        for block in self._blocks:
            is_last = block is self._blocks[-1]
            end = self._last_used if is_last else len(block)
            for start in range(0, end, most_bytes):
                yield memoryview(block)[start : min(end, start + most_bytes)]

    def _last_block(self, missing: int) -> bytearray | mmap.mmap:
        """Return the last block, a new one if it is full."""
        if not self._blocks or self._last_used == len(self._blocks[-1]):
            wanted = self._expected_bytes - self._size
            if wanted <= 0:
                wanted = max(missing, self._size)
            self._blocks.append(_new_block(min(BLOCK_BYTES, wanted)))
            self._last_used = 0
        return self._blocks[-1]


class HeldBodyPayload(payload.Payload):
    """
    Sends a body without a copy, and no faster than the connection takes it.

    A call that ends before its body has been sent closes the connection.
    """

    _autoclose = True

    def __init__(self, body: HeldBody) -> None:
        super().__init__(body)
        self._body = body
        self._size = body.size
        self._is_written = False

    @property
    def is_written(self) -> bool:
        """Whether all of the body has been handed to the connection."""
        return self._is_written

    def decode(self, encoding: str = "utf-8", errors: str = "strict") -> str:
        """Return the body as text."""
        return b"".join(self._body.parts()).decode(encoding, errors)

    async def write(self, writer: AbstractStreamWriter) -> None:
        """Write the body."""
        await self.write_with_length(writer, None)

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body, whose length is ``content_length`` in any case."""
        for part in self._body.parts():
            await writer.write(part)
        self._is_written = True


def _new_block(size: int) -> bytearray | mmap.mmap:
    if size < MAPPED_BYTES:
        return bytearray(size)
    return mmap.mmap(-1, size, flags=mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS)
