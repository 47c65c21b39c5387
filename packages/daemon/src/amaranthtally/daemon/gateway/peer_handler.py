"""Handles the calls of peer gateways."""

from collections.abc import Callable, Sequence

from amaranthtally.adapter.store import StoreItem
from amaranthtally.daemon.gateway.configuration_tracker import ConfigurationTracker
from amaranthtally.daemon.gateway.endpoint_record_tracker import EndpointRecordTracker
from amaranthtally.daemon.gateway.executor import GatewayExecutor
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
    """Handles peers' calls and applies newer documents fetched from peers."""

    def __init__(
        self,
        executor: GatewayExecutor,
        configuration: ConfigurationTracker,
        records: EndpointRecordTracker,
        on_peer_record: Callable[[str, PeerRecord], None],
        on_newer: Callable[[str, Versions], object],
        is_stopping: Callable[[], bool],
    ) -> None:
        self._executor = executor
        self._configuration = configuration
        self._records = records
        self._on_peer_record = on_peer_record
        self._on_newer = on_newer
        self._is_stopping = is_stopping
        self._snapshots = {document: DocumentSnapshots() for document in Document}

    @property
    def versions(self) -> Versions:
        """The versions of this gateway's configuration and endpoint records."""
        return Versions(self._configuration.version, self._records.revision)

    def exchange_status(
        self, name: str, record: PeerRecord, versions: Versions
    ) -> GatewayStatus:
        """Return this gateway's status; fetch the peer's configuration if newer."""
        self._on_peer_record(name, record)
        self.note_peer_versions(name, versions)
        if versions.configuration > self._configuration.version:
            self._on_newer(name, versions)
        return GatewayStatus(self.versions, self._is_stopping())

    def read_part(self, request: PartRequest) -> DocumentPart:
        """Return a part of the configuration or of the endpoint records."""
        snapshots = self._snapshots[request.document]
        if not request.offset:
            self._refresh_snapshot(request.document, snapshots)
        return snapshots.read_part(request)

    def note_peer_versions(self, peer: str, versions: Versions) -> None:
        """Note which versions a peer holds."""
        self._configuration.note_version(versions.configuration, peer)

    def apply_document(
        self, peer: str, document: Document, version: int, content: bytes
    ) -> None:
        """Apply a document of a peer; raises ``MalformedDocumentError``."""
        records = decode_records(content) if document is Document.RECORDS else ()
        name = document.value
        log.info(
            "beliefs_from_peer",
            peer=peer,
            bytes=len(content),
            **{name: version, f"own_{name}": self.versions.of(document)},
        )
        if document is Document.CONFIGURATION:
            self._configuration.apply(content, peer)
        else:
            self._apply_records(version, records)

    def submit_jobs(self, submitter: str, jobs: Sequence[PieceJob]) -> None:
        """Accept jobs that a peer submits."""
        self._executor.jobs_submitted(submitter, jobs)

    def report_outcomes(self, reports: Sequence[PieceReport]) -> None:
        """Handle a peer's reports on jobs that this gateway submitted."""
        self._executor.reports_received(reports)

    def release_results(self, results: Sequence[StoredResult], ended: str) -> None:
        """Free results that a peer releases; ``ended`` is an ended request's id."""
        self._executor.results_freed(results, ended)

    def _refresh_snapshot(
        self, document: Document, snapshots: DocumentSnapshots
    ) -> None:
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

    def _apply_records(self, version: int, records: tuple[Record, ...]) -> None:
        if version > self._records.revision:
            items = [StoreItem(r.key, r.value, r.revision) for r in records]
            self._records.replace(tuple(items))
            self._records.advance_to(version)
