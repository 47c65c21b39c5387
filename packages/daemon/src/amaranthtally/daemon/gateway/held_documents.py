"""The documents that this gateway holds, for peers that read them."""

from collections.abc import Callable

from amaranthtally.adapter.store import StoreItem
from amaranthtally.daemon.gateway.configuration_tracker import ConfigurationTracker
from amaranthtally.daemon.gateway.state_freshness import StateFreshness, StateKind
from amaranthtally.daemon.gateway.store_replica import StoreReplica
from amaranthtally.daemon.logs import get_logger
from amaranthtally.wire.documents import (
    Document,
    DocumentPart,
    DocumentSnapshots,
    PartRequest,
    Record,
    decode_records,
    encode_records,
)
from amaranthtally.wire.gateway_codec import Versions

__all__ = ["HeldDocuments"]

log = get_logger()


class HeldDocuments:
    """Serves the configuration and the records in parts, and applies newer ones."""

    def __init__(
        self,
        configuration: ConfigurationTracker,
        replica: StoreReplica,
        settling_s: Callable[[], float],
        freshness: StateFreshness,
    ) -> None:
        self._configuration = configuration
        self._replica = replica
        self._settling_s = settling_s
        self._freshness = freshness
        self._snapshots = {document: DocumentSnapshots() for document in Document}

    @property
    def versions(self) -> Versions:
        """The versions of this gateway's configuration and records, with ages."""
        return Versions(
            self._configuration.version,
            self._replica.revision,
            self._settling_s(),
            self._freshness.told_age_s(StateKind.CONFIGURATION),
            self._freshness.told_age_s(StateKind.RECORDS),
        )

    def read_part(self, request: PartRequest) -> DocumentPart:
        """Return a part of the configuration or of the records."""
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
            items = [StoreItem(r.key, r.value, r.revision) for r in records]
            self._replica.replace(tuple(items), version)

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
                for item in self._replica.items
            )
        )
