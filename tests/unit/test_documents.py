"""Documents that are read in parts, from one or several peers."""

import random
from dataclasses import replace

import pytest

from amaranthtally.wire.documents import (
    PART_BYTES,
    Document,
    DocumentPart,
    DocumentReader,
    DocumentSnapshots,
    MalformedDocumentError,
    PartRequest,
    Record,
    decode_records,
    encode_records,
)


def content(seed, size=100_000):
    return random.Random(seed).randbytes(size)


def snapshots_of(*versions):
    snapshots = DocumentSnapshots()
    for version in versions:
        snapshots.put(version, content(version))
    return snapshots


def read_parts(snapshots, reader, parts=1_000):
    for _ in range(parts):
        if reader.is_complete:
            break
        reader.add(snapshots.read_part(reader.next_request()))


def new_reader():
    return DocumentReader(Document.CONFIGURATION)


def test_a_document_is_read_in_small_parts():
    snapshots, reader = snapshots_of(3), new_reader()
    read_parts(snapshots, reader)
    assert reader.version == 3
    assert reader.content() == content(3)
    first = snapshots.read_part(PartRequest(Document.CONFIGURATION))
    assert len(first.data) == PART_BYTES


def test_another_peer_continues_after_a_failure():
    """Guards against transfers that restart from the beginning when a peer fails."""
    reader = new_reader()
    read_parts(snapshots_of(3), reader, parts=4)
    assert reader.next_request().offset == 4 * PART_BYTES
    read_parts(snapshots_of(3), reader)
    assert reader.content() == content(3)


def test_a_snapshot_stays_readable_after_newer_ones_are_added():
    """Guards against transfers that never complete if the document changes often."""
    snapshots, reader = snapshots_of(3), new_reader()
    read_parts(snapshots, reader, parts=2)
    for version in (4, 5, 6):
        snapshots.put(version, content(version))
    read_parts(snapshots, reader)
    assert (reader.version, reader.content()) == (3, content(3))


def test_parts_of_two_snapshots_are_never_joined():
    reader = new_reader()
    read_parts(snapshots_of(3), reader, parts=2)
    read_parts(snapshots_of(4), reader)
    assert (reader.version, reader.content()) == (4, content(4))


def test_the_number_of_snapshots_is_limited():
    snapshots = snapshots_of(*range(1, 40))
    assert len(snapshots._snapshots) == 4
    read_parts(snapshots, reader := new_reader())
    assert reader.version == 39


def test_a_corrupted_part_is_rejected():
    snapshots, reader = snapshots_of(3), new_reader()
    part = snapshots.read_part(reader.next_request())
    reader.add(replace(part, data=bytes(len(part.data))))
    read_parts(snapshots, reader)
    with pytest.raises(MalformedDocumentError):
        reader.content()


def test_a_peer_without_a_document_returns_an_empty_part():
    assert (
        DocumentSnapshots().read_part(PartRequest(Document.RECORDS)) == DocumentPart()
    )


def test_records_round_trip():
    records = (Record("servers/a", b"\xff\x00", 7), Record("servers/b", b"", 9))
    assert decode_records(encode_records(records)) == records
    with pytest.raises(MalformedDocumentError):
        decode_records(b"\xc1")
