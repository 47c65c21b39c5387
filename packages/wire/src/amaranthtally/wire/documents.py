"""Documents that gateways read from each other in parts: both sides, without I/O."""

import zlib
from dataclasses import dataclass
from enum import Enum

import msgspec
from result import Err

from amaranthtally.decoding import DecodeBounds, decode_msgpack

__all__ = [
    "Document",
    "DocumentPart",
    "DocumentReader",
    "DocumentSnapshots",
    "MalformedDocumentError",
    "PartRequest",
    "Record",
    "decode_records",
    "encode_records",
]

# Size of a part in bytes: a slow link of 5 Mbit/s transfers it in 26 ms.
PART_BYTES = 16_384
# Maximum size of an uncompressed document in bytes, far more than the store accepts.
# It keeps a corrupted part from exhausting the memory when it is decompressed.
MAX_DOCUMENT_BYTES = 64 * 1024 * 1024
# Snapshots kept of a document, so that readers of older versions can finish.
MAX_SNAPSHOTS = 4
COMPRESSION_LEVEL = 1

_BOUNDS = DecodeBounds(size_bytes=MAX_DOCUMENT_BYTES)


class MalformedDocumentError(ValueError):
    """The content of a document is invalid; it has to be read again."""


class Document(Enum):
    """The documents that gateways read from each other."""

    CONFIGURATION = "configuration"
    RECORDS = "records"


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A record as read from the store."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class PartRequest:
    """
    Requests the part at a byte offset of the snapshot with a checksum.

    A checksum and an offset of 0 request the first part of the newest snapshot.
    """

    document: Document
    checksum: int = 0
    offset: int = 0


@dataclass(frozen=True, slots=True)
class DocumentPart:
    """
    Bytes of a compressed snapshot, starting at ``offset``.

    ``size`` and ``checksum`` are those of the whole compressed snapshot. Version 0
    means that the peer has no snapshot.
    """

    version: int = 0
    size: int = 0
    checksum: int = 0
    offset: int = 0
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class _Snapshot:
    version: int
    checksum: int
    compressed: bytes


class DocumentSnapshots:
    """The last snapshots of one document, each compressed once for all readers."""

    def __init__(self) -> None:
        self._snapshots: dict[int, _Snapshot] = {}
        self._newest: _Snapshot | None = None

    @property
    def version(self) -> int:
        """The version of the newest snapshot; 0 if there is none."""
        return self._newest.version if self._newest else 0

    def put(self, version: int, content: bytes) -> None:
        """Add a newer version; the last few stay available to their readers."""
        compressed = zlib.compress(content, COMPRESSION_LEVEL)
        self._newest = _Snapshot(version, zlib.crc32(compressed), compressed)
        self._snapshots[self._newest.checksum] = self._newest
        if len(self._snapshots) > MAX_SNAPSHOTS:
            del self._snapshots[next(iter(self._snapshots))]

    def read_part(self, request: PartRequest) -> DocumentPart:
        """Return the requested part, or else the first part of the newest snapshot."""
        requested = self._snapshots.get(request.checksum)
        if requested is not None and 0 < request.offset < len(requested.compressed):
            return _part(requested, request.offset)
        return _part(self._newest, 0) if self._newest else DocumentPart()


class DocumentReader:
    """
    Assembles a document from its parts, which may come from several peers.

    The parts received so far are kept when a peer fails, so that another peer that
    has the same snapshot can continue with the next part.
    """

    def __init__(self, document: Document) -> None:
        self._document = document
        self._version = 0
        self._size = 0
        self._checksum = 0
        self._parts = bytearray()

    @property
    def version(self) -> int:
        """The version being read; 0 before the first part."""
        return self._version

    @property
    def size(self) -> int:
        """Size of the compressed document in bytes; 0 before the first part."""
        return self._size

    @property
    def is_complete(self) -> bool:
        """Whether all parts have been received."""
        return 0 < self._size <= len(self._parts)

    def next_request(self) -> PartRequest:
        """Return the request for the next part."""
        return PartRequest(self._document, self._checksum, len(self._parts))

    def add(self, part: DocumentPart) -> None:
        """Add a part; restart if it belongs to another snapshot."""
        if part.checksum != self._checksum:
            self.clear()
            self._version = part.version
            self._size = part.size
            self._checksum = part.checksum
        if part.offset == len(self._parts):
            self._parts += part.data

    def content(self) -> bytes:
        """Return the decompressed document; raise ``MalformedDocumentError``."""
        if zlib.crc32(self._parts) != self._checksum:
            raise MalformedDocumentError(
                "the document's parts do not match its checksum"
            )
        decompressor = zlib.decompressobj()
        try:
            content = decompressor.decompress(self._parts, MAX_DOCUMENT_BYTES)
        except zlib.error as error:
            raise MalformedDocumentError(str(error)) from error
        if decompressor.unconsumed_tail:
            raise MalformedDocumentError(
                f"the document is larger than {MAX_DOCUMENT_BYTES} bytes"
            )
        return content

    def clear(self) -> None:
        """Discard the parts received so far."""
        self._version = self._size = self._checksum = 0
        self._parts = bytearray()


def encode_records(records: tuple[Record, ...]) -> bytes:
    """Encode records."""
    return msgspec.msgpack.encode(records)


def decode_records(content: bytes) -> tuple[Record, ...]:
    """Decode records; raise ``MalformedDocumentError`` if they are invalid."""
    decoded = decode_msgpack(content, tuple[Record, ...], _BOUNDS)
    if isinstance(decoded, Err):
        raise MalformedDocumentError(str(decoded.err_value)) from decoded.err_value
    return decoded.ok_value


def _part(snapshot: _Snapshot, offset: int) -> DocumentPart:
    return DocumentPart(
        snapshot.version,
        len(snapshot.compressed),
        snapshot.checksum,
        offset,
        snapshot.compressed[offset : offset + PART_BYTES],
    )
