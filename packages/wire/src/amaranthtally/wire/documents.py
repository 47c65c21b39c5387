"""Documents that gateways read from each other in parts: both ends, without I/O."""

import zlib
from dataclasses import dataclass
from enum import Enum

import msgspec

__all__ = [
    "Document",
    "DocumentPart",
    "DocumentReader",
    "DocumentSnapshots",
    "MalformedDocumentError",
    "PartRequest",
    "Record",
    "pack_records",
    "unpack_records",
]

# A thin link of 5 Mbit/s carries a part in 26 ms, in bytes.
PART_BYTES = 16_384
# The most that a document may hold, in bytes, far beyond what the store takes: a
# damaged part must not fill the memory as it is unpacked.
MOST_BYTES = 64 * 1024 * 1024
# Snapshots that are kept of a document: readers of some versions at once.
KEPT_SNAPSHOTS = 4
COMPRESSION_LEVEL = 1


class MalformedDocumentError(ValueError):
    """A document's parts do not make it up; it is to be read anew."""


class Document(Enum):
    """What gateways read from each other."""

    CONFIGURATION = "configuration"
    RECORDS = "records"


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A record of the store, as it was read."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class PartRequest:
    """Asks for what follows ``offset`` bytes of a snapshot; 0 and 0 for the newest."""

    document: Document
    checksum: int = 0
    offset: int = 0


@dataclass(frozen=True, slots=True)
class DocumentPart:
    """Bytes of a compressed snapshot of ``size`` bytes; version 0: there is none."""

    version: int = 0
    size: int = 0
    checksum: int = 0
    offset: int = 0
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class _Snapshot:
    version: int
    checksum: int
    packed: bytes


class DocumentSnapshots:
    """Snapshots of one document, compressed once for all that read them."""

    def __init__(self) -> None:
        self._snapshots: dict[int, _Snapshot] = {}
        self._newest: _Snapshot | None = None

    @property
    def version(self) -> int:
        """The newest snapshot's version; 0 before the first."""
        return self._newest.version if self._newest else 0

    def put(self, version: int, content: bytes) -> None:
        """Keep a newer version; readers of the last few can go on with theirs."""
        packed = zlib.compress(content, COMPRESSION_LEVEL)
        self._newest = _Snapshot(version, zlib.crc32(packed), packed)
        self._snapshots[self._newest.checksum] = self._newest
        if len(self._snapshots) > KEPT_SNAPSHOTS:
            del self._snapshots[next(iter(self._snapshots))]

    def read_part(self, request: PartRequest) -> DocumentPart:
        """Return the part that was asked for, or the newest snapshot's first."""
        asked = self._snapshots.get(request.checksum)
        if asked is not None and 0 < request.offset < len(asked.packed):
            return _part(asked, request.offset)
        return _part(self._newest, 0) if self._newest else DocumentPart()


class DocumentReader:
    """
    Puts a document together from its parts, whichever peers they come from.

    What has come is kept when a peer fails: another that has the same snapshot goes
    on from there.
    """

    def __init__(self, document: Document) -> None:
        self._document = document
        self._version = 0
        self._size = 0
        self._checksum = 0
        self._parts = bytearray()

    @property
    def version(self) -> int:
        """The version that is being read; 0 before the first part."""
        return self._version

    @property
    def is_complete(self) -> bool:
        """Whether every part has come."""
        return 0 < self._size <= len(self._parts)

    def next_request(self) -> PartRequest:
        """Return what to ask for next."""
        return PartRequest(self._document, self._checksum, len(self._parts))

    def add(self, part: DocumentPart) -> None:
        """Take a part; one of another snapshot begins anew."""
        if part.checksum != self._checksum:
            self.clear()
            self._version = part.version
            self._size = part.size
            self._checksum = part.checksum
        if part.offset == len(self._parts):
            self._parts += part.data

    def content(self) -> bytes:
        """Return the whole document; raises ``MalformedDocumentError``."""
        if zlib.crc32(self._parts) != self._checksum:
            raise MalformedDocumentError("its parts do not match its checksum")
        unpacking = zlib.decompressobj()
        try:
            content = unpacking.decompress(self._parts, MOST_BYTES)
        except zlib.error as error:
            raise MalformedDocumentError(str(error)) from error
        if unpacking.unconsumed_tail:
            raise MalformedDocumentError(f"it is larger than {MOST_BYTES} bytes")
        return content

    def clear(self) -> None:
        """Forget what has come."""
        self._version = self._size = self._checksum = 0
        self._parts = bytearray()


def pack_records(records: tuple[Record, ...]) -> bytes:
    """Encode records."""
    return msgspec.msgpack.encode(records)


def unpack_records(content: bytes) -> tuple[Record, ...]:
    """Decode records; raises ``MalformedDocumentError``."""
    try:
        return msgspec.msgpack.decode(content, type=tuple[Record, ...])
    except msgspec.MsgspecError as error:
        raise MalformedDocumentError(str(error)) from error


def _part(snapshot: _Snapshot, offset: int) -> DocumentPart:
    return DocumentPart(
        snapshot.version,
        len(snapshot.packed),
        snapshot.checksum,
        offset,
        snapshot.packed[offset : offset + PART_BYTES],
    )
