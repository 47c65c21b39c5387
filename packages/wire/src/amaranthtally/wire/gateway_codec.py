"""Conversion between the gateway protocol's messages and Cap'n Proto structs."""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from math import ceil, inf, isfinite
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

import capnp

from amaranthtally.policy import (
    OriginEntry,
    PeerRecord,
    Piece,
    PieceFault,
    PieceJob,
    PieceReport,
    StoredResult,
    StreamOrigin,
)
from amaranthtally.wire.changes import ChangeBatch, RecordChange
from amaranthtally.wire.documents import Document, DocumentPart, PartRequest

__all__ = [
    "MAX_MESSAGE_WORDS",
    "GatewayStatus",
    "Greeter",
    "Versions",
    "gateway_schema",
    "read_changes",
    "read_jobs",
    "read_origin",
    "read_origins",
    "read_part",
    "read_part_request",
    "read_pieces",
    "read_reports",
    "read_results",
    "read_versions",
    "write_changes",
    "write_jobs",
    "write_origin",
    "write_origins",
    "write_part",
    "write_part_request",
    "write_pieces",
    "write_reports",
    "write_results",
    "write_versions",
]

capnp.remove_import_hook()
gateway_schema: Any = capnp.load(str(Path(__file__).with_name("gateway.capnp")))

MICROSECONDS = 1_000_000
# The largest message that a peer may send, in words of 8 bytes: 16 MiB. A larger one
# ends its connection. Documents are sent in parts, so that none comes near to this.
MAX_MESSAGE_WORDS = 2 * 1024 * 1024
# Longest wait for room that is sent or accepted, in seconds. Results expire sooner.
LONGEST_ROOM_WAIT_S = 60.0

ItemT = TypeVar("ItemT")
_FAULTS = {
    None: "none",
    PieceFault.LATE: "late",
    PieceFault.INPUT_MISSING: "inputGone",
    PieceFault.NO_ROOM: "noRoom",
    PieceFault.FAILED: "failed",
    PieceFault.HANDED_BACK: "handedBack",
}
_FAULTS_BY_NAME = {name: fault for fault, name in _FAULTS.items()}


class Versions(NamedTuple):
    """
    The versions of a gateway's configuration and records; 0 if it has none.

    ``settling_s`` is how much longer records may be missing after an outage of the
    store although their endpoints run, in seconds. The ages are upper bounds of the
    time since nothing newer existed, in seconds; ``inf`` without evidence, also from
    gateways of an older version.
    """

    configuration: int = 0
    records: int = 0
    settling_s: float = 0.0
    configuration_age_s: float = inf
    records_age_s: float = inf

    def of(self, document: Document) -> int:
        """Return the version of one document."""
        is_configuration = document is Document.CONFIGURATION
        return self.configuration if is_configuration else self.records


class Greeter(NamedTuple):
    """
    The record of a gateway that sends its status; without an address while it starts.

    One that ``is_leaving`` takes no more jobs, but lets its documents be read.
    """

    record: PeerRecord
    is_leaving: bool = False


class GatewayStatus(NamedTuple):
    """
    A gateway's document versions; ``leaving`` is set once it is stopping.

    ``watches`` is set if it watches the store and the store answers.
    """

    versions: Versions = Versions()
    leaving: bool = False
    watches: bool = False


# Pieces


def write_jobs(target: Any, jobs: Iterable[PieceJob], now: float) -> None:
    """
    Fill the jobs of an ``ask`` request.

    Jobs for one stage of a request that share their inputs become one item; times are
    written as remaining times from ``now``.
    """
    groups = _grouped(
        jobs, lambda job: (job.piece[:2], job.inputs, job.data_centre, job.is_started)
    )
    for item, group in zip(target.init("asks", len(groups)), groups, strict=True):
        first = group[0]
        item.requestId = first.piece.request_id
        item.stage = first.piece.stage
        item.numbers = [job.piece.number for job in group]
        item.pool = first.pool
        item.dataCentre = first.data_centre
        item.resultBytes = first.result_bytes
        item.startByMicros = _micros(first.start_by - now)
        item.deadlineMicros = _micros(first.deadline - now)
        item.priority = first.priority
        item.key = first.key
        _write_results(item.init("inputs", len(first.inputs)), first.inputs)
        item.siblings = first.siblings
        item.isBegun = first.is_started


def read_jobs(source: Any, now: float) -> tuple[PieceJob, ...]:
    """Decode the jobs of an ``ask`` request; ``now`` is the current loop time."""
    jobs: list[PieceJob] = []
    for item in source:
        request_id, stage = item.requestId, item.stage
        first = PieceJob(
            piece=Piece(request_id, stage, 0),
            pool=item.pool,
            data_centre=item.dataCentre,
            result_bytes=item.resultBytes,
            start_by=now + item.startByMicros / MICROSECONDS,
            deadline=now + item.deadlineMicros / MICROSECONDS,
            priority=item.priority,
            key=item.key,
            inputs=read_results(item.inputs),
            siblings=item.siblings,
            is_started=item.isBegun,
        )
        jobs += [
            replace(first, piece=Piece(request_id, stage, number))
            for number in item.numbers
        ]
    return tuple(jobs)


def write_reports(target: Any, reports: Iterable[PieceReport]) -> None:
    """Fill the reports of a ``tell`` request, grouped by stage of a request."""
    groups = _grouped(
        reports,
        lambda report: (
            report.piece[:2],
            report[1:4],
            report.inputs_freed,
            report.room_wait_s,
        ),
    )
    for item, group in zip(target.init("told", len(groups)), groups, strict=True):
        first = group[0]
        item.requestId = first.piece.request_id
        item.stage = first.piece.stage
        item.pool = first.pool
        item.dataCentre = first.data_centre
        item.endpoint = first.endpoint
        item.waitMicros = _micros(first.wait_s)
        item.slowerMicros = _micros(first.slowdown_s)
        item.inputsFreed = first.inputs_freed
        item.reportsRoom = first.room_wait_s is not None
        item.roomMicros = _micros(min(first.room_wait_s or 0.0, LONGEST_ROOM_WAIT_S))
        outcomes = item.init("outcomes", len(group))
        for outcome, report in zip(outcomes, group, strict=True):
            outcome.number = report.piece.number
            outcome.handle = report.handle
            outcome.fault = _FAULTS[report.fault]


def read_reports(source: Any) -> tuple[PieceReport, ...]:
    """Decode the reports of a ``tell`` request."""
    return tuple(
        PieceReport(
            piece=Piece(item.requestId, item.stage, outcome.number),
            pool=item.pool,
            data_centre=item.dataCentre,
            endpoint=item.endpoint,
            handle=outcome.handle,
            fault=_FAULTS_BY_NAME[str(outcome.fault)],
            wait_s=item.waitMicros / MICROSECONDS,
            slowdown_s=item.slowerMicros / MICROSECONDS,
            inputs_freed=item.inputsFreed,
            room_wait_s=_room_wait_s(item) if item.reportsRoom else None,
        )
        for item in source
        for outcome in item.outcomes
    )


def _room_wait_s(item: Any) -> float:
    wait_s = item.roomMicros / MICROSECONDS
    return min(max(wait_s, 0.0), LONGEST_ROOM_WAIT_S)


def write_pieces(items: Any, pieces: Iterable[Piece]) -> None:
    """Fill a list of names of pieces."""
    for item, piece in zip(items, pieces, strict=True):
        item.requestId = piece.request_id
        item.stage = piece.stage
        item.number = piece.number


def read_pieces(source: Any) -> tuple[Piece, ...]:
    """Decode a list of names of pieces."""
    return tuple(Piece(item.requestId, item.stage, item.number) for item in source)


def write_results(target: Any, results: Iterable[StoredResult]) -> None:
    """Fill the results of a ``free`` request."""
    results = tuple(results)
    _write_results(target.init("results", len(results)), results)


def _write_results(items: Any, results: Iterable[StoredResult]) -> None:
    for item, result in zip(items, results, strict=True):
        item.handle = result.handle
        item.endpoint = result.endpoint
        item.dataCentre = result.data_centre
        item.sizeBytes = result.size_bytes


def read_results(source: Any) -> tuple[StoredResult, ...]:
    """Decode a list of stored results."""
    return tuple(
        StoredResult(item.handle, item.endpoint, item.dataCentre, item.sizeBytes)
        for item in source
    )


# Versions and documents


def write_versions(target: Any, versions: Versions) -> None:
    """Fill a ``Versions`` builder."""
    target.configuration = versions.configuration
    target.records = versions.records
    target.settlingMicros = _micros(versions.settling_s)
    target.configurationAgeMicros = _age_micros(versions.configuration_age_s)
    target.recordsAgeMicros = _age_micros(versions.records_age_s)


def read_versions(source: Any) -> Versions:
    """Decode a ``Versions`` reader."""
    settling_s = source.settlingMicros / MICROSECONDS
    return Versions(
        source.configuration,
        source.records,
        settling_s,
        _read_age(source.configurationAgeMicros),
        _read_age(source.recordsAgeMicros),
    )


def write_part_request(target: Any, request: PartRequest) -> None:
    """Fill a ``read`` request."""
    target.document = request.document.value
    target.checksum = request.checksum
    target.offset = request.offset


def read_part_request(document: Any, checksum: int, offset: int) -> PartRequest:
    """Decode the parameters of a ``read`` request."""
    return PartRequest(Document(str(document)), checksum, offset)


def write_part(target: Any, part: DocumentPart) -> None:
    """Fill the reply to a ``read`` request."""
    target.version = part.version
    target.size = part.size
    target.checksum = part.checksum
    target.offset = part.offset
    target.part = part.data


def read_part(source: Any) -> DocumentPart:
    """Decode the reply to a ``read`` request."""
    return DocumentPart(
        source.version, source.size, source.checksum, source.offset, bytes(source.part)
    )


# Changes


def write_changes(target: Any, batch: ChangeBatch) -> None:
    """Fill a ``Changes`` builder."""
    target.after = batch.after
    target.revision = batch.revision
    items = target.init("changes", len(batch.changes))
    for item, change in zip(items, batch.changes, strict=True):
        item.key = change.key
        item.value = change.value or b""
        item.revision = change.revision
        item.isRemoved = change.value is None


def read_changes(source: Any) -> ChangeBatch:
    """Decode a ``Changes`` reader."""
    changes = tuple(
        RecordChange(
            item.key, None if item.isRemoved else bytes(item.value), item.revision
        )
        for item in source.changes
    )
    return ChangeBatch(source.after, source.revision, changes)


# Origins of streams


def write_origins(target: Any, entries: Sequence[OriginEntry], now: float) -> None:
    """Fill a ``copyOrigins`` request; ``now`` is the current loop time."""
    items = target.init("origins", len(entries))
    for item, entry in zip(items, entries, strict=True):
        write_origin(item, entry, now)


def read_origins(source: Any, now: float) -> tuple[OriginEntry, ...]:
    """Decode the entries of a ``copyOrigins`` request."""
    return tuple(read_origin(item, now) for item in source)


def write_origin(target: Any, entry: OriginEntry, now: float) -> None:
    """Fill a ``StreamOrigin`` builder."""
    target.requestId = entry.request_id
    target.pool = entry.origin.pool
    target.version = entry.origin.version
    target.expiresMicros = _micros(entry.expires_at - now)


def read_origin(source: Any, now: float) -> OriginEntry:
    """Decode a ``StreamOrigin`` reader."""
    return OriginEntry(
        source.requestId,
        StreamOrigin(source.pool, source.version),
        now + source.expiresMicros / MICROSECONDS,
    )


def _grouped(
    items: Iterable[ItemT], key: Callable[[ItemT], object]
) -> list[list[ItemT]]:
    groups: dict[object, list[ItemT]] = {}
    for item in items:
        groups.setdefault(key(item), []).append(item)
    return list(groups.values())


def _micros(seconds: float) -> int:
    return int(seconds * MICROSECONDS)


def _age_micros(age_s: float) -> int:
    """Return an age rounded up, at least 1, or 0 for an age that is not known."""
    return max(1, ceil(age_s * MICROSECONDS)) if isfinite(age_s) else 0


def _read_age(micros: int) -> float:
    return micros / MICROSECONDS if micros > 0 else inf
