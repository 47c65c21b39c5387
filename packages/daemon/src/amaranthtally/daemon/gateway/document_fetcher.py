"""Fetches newer documents from peers if the store does not send them in time."""

import asyncio
from typing import Protocol

from amaranthtally.daemon.gateway.peer_connections import PeerConnections
from amaranthtally.daemon.logs import get_logger
from amaranthtally.wire import PeerLostError
from amaranthtally.wire.documents import (
    Document,
    DocumentReader,
    MalformedDocumentError,
)
from amaranthtally.wire.gateway_codec import Versions

__all__ = ["STORE_START_WAIT_S", "DocumentFetcher", "DocumentHolder", "StoreStatus"]

# How long to wait for the store to start sending a change that a peer has reported, in
# seconds. Longer than the pause in which the watcher batches changes.
STORE_START_WAIT_S = 0.4
# The same for a gateway that has just started, in seconds: it asked the store first.
STARTING_WAIT_S = 0.1
# How much longer to wait for a store that is sending, in seconds. If a fetch from a
# peer starts after this wait, the configuration is still in force within 4 s.
STORE_FINISH_WAIT_S = 2.5
# Largest compressed configuration that followers read from their watcher, in bytes. A
# larger one would take seconds for all of them over the watcher's link, so that each
# reads it from the store over its own.
MAX_SHARED_BYTES = 65_536
# Interval between checks whether the store is still sending, in seconds.
POLL_INTERVAL_S = 0.05
MS_PER_S = 1000.0

log = get_logger()


class StoreStatus(Protocol):
    """State of the connection to the store."""

    @property
    def is_connected(self) -> bool:
        """Whether the store answers this gateway or the watcher that it follows."""

    @property
    def is_watching(self) -> bool:
        """Whether this gateway watches the store itself."""

    @property
    def is_receiving(self) -> bool:
        """Whether the body of a response from the store is being received."""

    async def read_configuration(self) -> bool:
        """Read the configuration from the store; return whether it answered."""


class DocumentHolder(Protocol):
    """Holds this gateway's copy of the configuration and of the endpoint records."""

    @property
    def versions(self) -> Versions:
        """The versions of the documents held."""

    def apply_document(
        self, peer: str, document: Document, version: int, content: bytes
    ) -> None:
        """Apply a document of a peer; raises ``MalformedDocumentError``."""


class DocumentFetcher:
    """
    Fetches documents that a peer holds in a newer version, one at a time.

    On a slow link, fetches from several peers and the store's own response compete for
    bandwidth. None finishes before its time-out, all start again, and other traffic is
    delayed. Therefore the store's response takes precedence, only one fetch runs
    at a time, and the parts already received are kept when the peer fails.
    """

    def __init__(
        self, connections: PeerConnections, holder: DocumentHolder, store: StoreStatus
    ) -> None:
        self._connections = connections
        self._holder = holder
        self._store = store
        self._readers = {document: DocumentReader(document) for document in Document}
        self._is_fetching = False
        self._time = asyncio.get_running_loop().time

    async def fetch_newer(self, peer: str, peer_versions: Versions) -> None:
        """Fetch the newer documents of a peer; do nothing while a fetch is running."""
        if self._is_fetching or not self._missing_documents(peer_versions):
            return
        self._is_fetching = True
        try:
            await self._wait_for_store(peer_versions)
            for document in self._missing_documents(peer_versions):
                await self._fetch(peer, document)
        finally:
            self._is_fetching = False

    async def fetch_records(self, peer: str, peer_versions: Versions) -> None:
        """Fetch a peer's records if they are newer and no fetch is running."""
        if self._is_fetching or not self._is_newer(
            Document.RECORDS, peer_versions.records
        ):
            return
        self._is_fetching = True
        try:
            await self._fetch(peer, Document.RECORDS)
        finally:
            self._is_fetching = False

    def _missing_documents(self, peer_versions: Versions) -> list[Document]:
        # While the store answers, records are brought up to date change by change. One
        # that starts holds none yet, and does not know yet whether the store answers.
        follows_changes = self._store.is_connected and self._holder.versions.records
        wanted = [Document.CONFIGURATION] if follows_changes else Document
        return [
            document
            for document in wanted
            if self._is_newer(document, peer_versions.of(document))
        ]

    async def _wait_for_store(self, peer_versions: Versions) -> None:
        if not (self._store.is_connected and self._store.is_watching):
            return
        is_starting = not self._holder.versions.records
        await asyncio.sleep(STARTING_WAIT_S if is_starting else STORE_START_WAIT_S)
        deadline = self._time() + STORE_FINISH_WAIT_S
        while self._store.is_receiving and self._missing_documents(peer_versions):
            if self._time() >= deadline:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _fetch(self, peer: str, document: Document) -> None:
        started = self._time()
        try:
            await self._read_document(peer, document)
        except (PeerLostError, MalformedDocumentError) as error:
            ms = round((self._time() - started) * MS_PER_S)
            log.info(
                "beliefs_not_copied",
                peer=peer,
                document=document.value,
                ms=ms,
                cause=str(error),
            )

    async def _read_document(self, peer: str, document: Document) -> None:
        reader = self._readers[document]
        while not reader.is_complete:
            part = await self._connections.read_part(peer, reader.next_request())
            if not part.data:
                raise MalformedDocumentError("the peer sent an empty part")
            reader.add(part)
            if not self._is_newer(document, reader.version) or (
                self._is_for_the_store(document, reader)
                and await self._store.read_configuration()
            ):
                reader.clear()
                return
        version = reader.version
        try:
            self._holder.apply_document(peer, document, version, reader.content())
        finally:
            reader.clear()

    def _is_for_the_store(self, document: Document, reader: DocumentReader) -> bool:
        return (
            document is Document.CONFIGURATION
            and reader.size > MAX_SHARED_BYTES
            and self._store.is_connected
            and not self._store.is_watching
        )

    def _is_newer(self, document: Document, version: int) -> bool:
        return version > self._holder.versions.of(document)
