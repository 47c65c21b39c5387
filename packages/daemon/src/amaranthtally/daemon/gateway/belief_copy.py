"""Copies of what peers know newer, where the store does not tell it itself."""

import asyncio
from typing import Protocol

from amaranthtally.daemon.gateway.peer_links import PeerLinks
from amaranthtally.daemon.logs import get_logger
from amaranthtally.wire import PeerLostError
from amaranthtally.wire.documents import (
    Document,
    DocumentReader,
    MalformedDocumentError,
)
from amaranthtally.wire.gateway_codec import Versions

__all__ = ["BeliefCopy", "BeliefKeeper", "StoreState"]

# For how long the store's own word of a change is waited for once a peer has told of
# it, in seconds: longer than changes are gathered before the next watch.
PATIENCE_S = 0.4
# For how long a store that sends is left to itself beyond that, in seconds: with a copy
# after it the configuration is still in force in 4 s.
MOST_WAIT_S = 2.5
# Between two looks at whether the store still sends, in seconds.
POLL_S = 0.05
MS_PER_S = 1000.0

log = get_logger()


class StoreState(Protocol):
    """How the store is reached."""

    @property
    def is_connected(self) -> bool:
        """Whether it answered last time."""

    @property
    def is_receiving(self) -> bool:
        """Whether an answer of its is on its way."""


class BeliefKeeper(Protocol):
    """Whoever keeps the configuration and the records."""

    @property
    def versions(self) -> Versions:
        """How new they are."""

    def heard_of(self, peer: str, versions: Versions) -> None:
        """Note what a peer has."""

    def take_from_peer(
        self, peer: str, document: Document, version: int, content: bytes
    ) -> None:
        """Take a peer's document; raises ``MalformedDocumentError``."""


class BeliefCopy:
    """
    Brings over what a peer has newer, one document of one peer at a time.

    The failure: copies from several peers, beside the store's own answer, share the
    host's link. Where it is thin none of them ends in time, all are begun anew, and
    the link carries nothing else. So the store's answer goes first, one copy runs at a
    time, and what has come of it is kept when its peer fails.
    """

    def __init__(
        self, links: PeerLinks, keeper: BeliefKeeper, store: StoreState
    ) -> None:
        self._links = links
        self._keeper = keeper
        self._store = store
        self._readers = {document: DocumentReader(document) for document in Document}
        self._is_busy = False
        self._time = asyncio.get_running_loop().time

    async def bring(self, peer: str, theirs: Versions) -> None:
        """Copy what this gateway lacks; nothing while another copy runs."""
        if self._is_busy or not self._lacking(theirs):
            return
        self._is_busy = True
        try:
            await self._leave_to_store(theirs)
            for document in self._lacking(theirs):
                await self._copy(peer, document)
        finally:
            self._is_busy = False

    def _lacking(self, theirs: Versions) -> list[Document]:
        # While the store answers, its own word of the endpoints is the newest.
        wanted = [Document.CONFIGURATION] if self._store.is_connected else Document
        return [one for one in wanted if self._is_newer(one, theirs.of(one))]

    async def _leave_to_store(self, theirs: Versions) -> None:
        if not self._store.is_connected:
            return
        await asyncio.sleep(PATIENCE_S)
        until = self._time() + MOST_WAIT_S
        while self._store.is_receiving and self._lacking(theirs):
            if self._time() >= until:
                return
            await asyncio.sleep(POLL_S)

    async def _copy(self, peer: str, document: Document) -> None:
        started = self._time()
        try:
            await self._read(peer, document)
        except (PeerLostError, MalformedDocumentError) as error:
            ms = round((self._time() - started) * MS_PER_S)
            log.info(
                "beliefs_not_copied",
                peer=peer,
                document=document.value,
                ms=ms,
                cause=str(error),
            )

    async def _read(self, peer: str, document: Document) -> None:
        reader = self._readers[document]
        while not reader.is_complete:
            part = await self._links.read(peer, reader.next_request())
            if not part.data:
                raise MalformedDocumentError("a part of it is empty")
            reader.add(part)
            if not self._is_newer(document, reader.version):
                reader.clear()
                return
        version = reader.version
        try:
            self._keeper.take_from_peer(peer, document, version, reader.content())
        finally:
            reader.clear()

    def _is_newer(self, document: Document, version: int) -> bool:
        return version > self._keeper.versions.of(document)
