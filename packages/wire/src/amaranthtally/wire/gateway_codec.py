"""Conversion between gateways' messages and Cap'n Proto structs."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

import capnp

from amaranthtally.policy import (
    Piece,
    PieceFault,
    PieceJob,
    PieceReport,
    StoredResult,
)
from amaranthtally.wire.documents import Document, DocumentPart, PartRequest

__all__ = [
    "GatewayStatus",
    "Versions",
    "gateway_schema",
    "read_asks",
    "read_part",
    "read_part_request",
    "read_results",
    "read_told",
    "read_versions",
    "write_asks",
    "write_part",
    "write_part_request",
    "write_results",
    "write_told",
    "write_versions",
]

capnp.remove_import_hook()
gateway_schema: Any = capnp.load(str(Path(__file__).with_name("gateway.capnp")))

MICROSECONDS = 1_000_000

T = TypeVar("T")
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
    """How new a gateway's configuration and records are; 0 where it has none."""

    configuration: int = 0
    records: int = 0

    def of(self, document: Document) -> int:
        """Return how new one document is."""
        is_configuration = document is Document.CONFIGURATION
        return self.configuration if is_configuration else self.records


class GatewayStatus(NamedTuple):
    """What a gateway answers a greeting; ``leaving`` once it has been told to stop."""

    versions: Versions = Versions()
    leaving: bool = False


# Pieces


def write_asks(target: Any, asks: Iterable[PieceJob], now: float) -> None:
    """Fill the pieces of an ``ask``, those of one stage of a request together."""
    groups = _grouped(
        asks, lambda ask: (ask.piece[:2], ask.inputs, ask.data_centre, ask.is_started)
    )
    for item, group in zip(target.init("asks", len(groups)), groups, strict=True):
        first = group[0]
        item.requestId = first.piece.request_id
        item.stage = first.piece.stage
        item.numbers = [ask.piece.number for ask in group]
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


def read_asks(source: Any, now: float) -> tuple[PieceJob, ...]:
    """Return the pieces of an ``ask``, with time stamps of this process."""
    asks: list[PieceJob] = []
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
        asks += [
            replace(first, piece=Piece(request_id, stage, number))
            for number in item.numbers
        ]
    return tuple(asks)


def write_told(target: Any, told: Iterable[PieceReport]) -> None:
    """Fill the pieces of a ``tell``, those of one stage of a request together."""
    groups = _grouped(told, lambda one: (one.piece[:2], one[1:4], one.inputs_freed))
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
        outcomes = item.init("outcomes", len(group))
        for outcome, one in zip(outcomes, group, strict=True):
            outcome.number = one.piece.number
            outcome.handle = one.handle
            outcome.fault = _FAULTS[one.fault]


def read_told(source: Any) -> tuple[PieceReport, ...]:
    """Return the pieces of a ``tell``."""
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
        )
        for item in source
        for outcome in item.outcomes
    )


def write_results(target: Any, results: Iterable[StoredResult]) -> None:
    """Fill the results of a ``free``."""
    results = tuple(results)
    _write_results(target.init("results", len(results)), results)


def _write_results(items: Any, results: Iterable[StoredResult]) -> None:
    for item, one in zip(items, results, strict=True):
        item.handle = one.handle
        item.endpoint = one.endpoint
        item.dataCentre = one.data_centre
        item.sizeBytes = one.size_bytes


def read_results(source: Any) -> tuple[StoredResult, ...]:
    """Return the results of a ``free``."""
    return tuple(
        StoredResult(item.handle, item.endpoint, item.dataCentre, item.sizeBytes)
        for item in source
    )


# Versions and documents


def write_versions(target: Any, versions: Versions) -> None:
    """Fill versions."""
    target.configuration = versions.configuration
    target.records = versions.records


def read_versions(source: Any) -> Versions:
    """Return versions."""
    return Versions(source.configuration, source.records)


def write_part_request(target: Any, request: PartRequest) -> None:
    """Fill a ``read``."""
    target.document = request.document.value
    target.checksum = request.checksum
    target.offset = request.offset


def read_part_request(document: Any, checksum: int, offset: int) -> PartRequest:
    """Return what a ``read`` asks for."""
    return PartRequest(Document(str(document)), checksum, offset)


def write_part(target: Any, part: DocumentPart) -> None:
    """Fill the answer of a ``read``."""
    target.version = part.version
    target.size = part.size
    target.checksum = part.checksum
    target.offset = part.offset
    target.part = part.data


def read_part(source: Any) -> DocumentPart:
    """Return the answer of a ``read``."""
    return DocumentPart(
        source.version, source.size, source.checksum, source.offset, bytes(source.part)
    )


def _grouped(items: Iterable[T], key: Callable[[T], object]) -> list[list[T]]:
    groups: dict[object, list[T]] = {}
    for item in items:
        groups.setdefault(key(item), []).append(item)
    return list(groups.values())


def _micros(seconds: float) -> int:
    return int(seconds * MICROSECONDS)
