"""What a gateway answers the others."""

from collections.abc import Callable, Sequence

from amaranthtally.adapter.store import StoreItem
from amaranthtally.daemon.gateway.configuration_follower import ConfigurationFollower
from amaranthtally.daemon.gateway.executor import GatewayExecutor
from amaranthtally.daemon.gateway.record_follower import RecordFollower
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import PeerRecord, PieceJob, PieceReport, StoredResult
from amaranthtally.wire.documents import (
    Document,
    DocumentPart,
    DocumentSnapshots,
    PartRequest,
    Record,
    decode_records,
    encode_records,
)
from amaranthtally.wire.gateway_codec import GatewayStatus, Versions

__all__ = ["PeerHandler"]

log = get_logger()


class PeerHandler:
    """Hands peers' words on, and keeps what they know newer."""

    def __init__(
        self,
        executor: GatewayExecutor,
        configuration: ConfigurationFollower,
        records: RecordFollower,
        on_greeting: Callable[[str, PeerRecord], None],
        on_newer: Callable[[str, Versions], object],
        is_leaving: Callable[[], bool],
    ) -> None:
        self._executor = executor
        self._configuration = configuration
        self._records = records
        self._on_greeting = on_greeting
        self._on_newer = on_newer
        self._is_leaving = is_leaving
        self._snapshots = {document: DocumentSnapshots() for document in Document}

    @property
    def versions(self) -> Versions:
        """How new this gateway's configuration and records are."""
        return Versions(self._configuration.version, self._records.at)

    def exchange_status(
        self, name: str, record: PeerRecord, versions: Versions
    ) -> GatewayStatus:
        """Return this gateway's versions to a peer; fetch what it has newer."""
        self._on_greeting(name, record)
        self.heard_of(name, versions)
        if versions.configuration > self._configuration.version:
            self._on_newer(name, versions)
        return GatewayStatus(self.versions, self._is_leaving())

    def read_part(self, request: PartRequest) -> DocumentPart:
        """Return a part of the configuration or the records."""
        snapshots = self._snapshots[request.document]
        if not request.offset:
            self._refresh(request.document, snapshots)
        return snapshots.read_part(request)

    def heard_of(self, peer: str, versions: Versions) -> None:
        """Note what a peer has."""
        self._configuration.hear_of(versions.configuration, peer)

    def take_from_peer(
        self, peer: str, document: Document, version: int, content: bytes
    ) -> None:
        """Take a peer's document; raises ``MalformedDocumentError``."""
        records = decode_records(content) if document is Document.RECORDS else ()
        name = document.value
        log.info(
            "beliefs_from_peer",
            peer=peer,
            bytes=len(content),
            **{name: version, f"own_{name}": self.versions.of(document)},
        )
        if document is Document.CONFIGURATION:
            self._configuration.take(content, peer)
        else:
            self._take_records(version, records)

    def submit_jobs(self, asker: str, asks: Sequence[PieceJob]) -> None:
        """Take pieces that a peer wants made."""
        self._executor.jobs_submitted(asker, asks)

    def report_outcomes(self, told: Sequence[PieceReport]) -> None:
        """Hear what became of pieces."""
        self._executor.reports_received(told)

    def release_results(self, results: Sequence[StoredResult], ended: str) -> None:
        """Hear that results are read no more, and of a request that has ended."""
        self._executor.results_freed(results, ended)

    def _refresh(self, document: Document, snapshots: DocumentSnapshots) -> None:
        version = self.versions.of(document)
        if version > snapshots.version:
            snapshots.put(version, self._content(document))

    def _content(self, document: Document) -> bytes:
        if document is Document.CONFIGURATION:
            return self._configuration.value
        return encode_records(
            tuple(
                Record(item.key, item.value or b"", item.revision)
                for item in self._records.items
            )
        )

    def _take_records(self, version: int, records: tuple[Record, ...]) -> None:
        if version > self._records.at:
            items = [StoreItem(r.key, r.value, r.revision) for r in records]
            self._records.replace(tuple(items))
            self._records.reached(version)
