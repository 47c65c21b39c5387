"""Applies changes that peers hold and this gateway lacks."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from amaranthtally.adapter.store import StoreItem
from amaranthtally.daemon.gateway.document_fetcher import (
    STORE_START_WAIT_S,
    DocumentFetcher,
)
from amaranthtally.daemon.gateway.peer_connections import PeerConnections
from amaranthtally.daemon.gateway.store_replica import StoreReplica
from amaranthtally.daemon.logs import get_logger
from amaranthtally.wire import PeerLostError
from amaranthtally.wire.changes import ChangeBatch, MalformedChangesError
from amaranthtally.wire.gateway_codec import Versions

__all__ = ["ChangeReceiver"]

# Pause after records could not be read anew, in seconds; it doubles each time.
FIRST_RECOVERY_PAUSE_S = 0.5
MAX_RECOVERY_PAUSE_S = 8.0

log = get_logger()


class _Store(Protocol):
    """State of this gateway's own connection to the store."""

    @property
    def is_connected(self) -> bool:
        """Whether the store answers this gateway or the watcher that it follows."""

    @property
    def is_watching(self) -> bool:
        """Whether this gateway watches the store itself."""

    def note_settling(self, seconds: float) -> None:
        """Note how much longer records may be missing after an outage."""


class ChangeReceiver:
    """Applies changes that the followed watcher sends, and reads missing ones."""

    def __init__(
        self,
        connections: PeerConnections,
        replica: StoreReplica,
        fetcher: DocumentFetcher,
        store: _Store,
        followed: Callable[[], str],
        note_versions: Callable[[str, Versions], None],
        spawn: Callable[[Coroutine[Any, Any, None]], object],
    ) -> None:
        self._connections = connections
        self._replica = replica
        self._fetcher = fetcher
        self._store = store
        self._followed = followed
        self._note_versions = note_versions
        self._spawn = spawn
        self._is_reading = False
        self._refused = 0
        self._is_recovering = False
        self._recovery_pause_s = FIRST_RECOVERY_PAUSE_S

    @property
    def refused(self) -> int:
        """Number of batches of changes that could not be applied."""
        return self._refused

    def catch_up(self, peer: str, versions: Versions) -> None:
        """Note a peer's versions; read in the background what is newer there."""
        self._note_versions(peer, versions)
        self._store.note_settling(versions.settling_s)
        self._spawn(self._fetcher.fetch_newer(peer, versions))
        is_behind = versions.records > self._replica.revision
        # While the store answers nobody here, whole documents are fetched.
        if is_behind and not self._is_reading and self._store.is_connected:
            self._is_reading = True
            self._spawn(self._read_changes(peer, versions))

    async def read_missing(self, peer: str, versions: Versions) -> bool:
        """Read what a peer has and this gateway lacks; return whether it has it all."""
        try:
            while versions.records > self._replica.revision:
                if not await self._read_next(peer, versions):
                    break
        except PeerLostError as error:
            log.info("changes_not_read", peer=peer, cause=str(error))
        except MalformedChangesError as error:
            self._refuse(peer, versions, error)
        return self._replica.revision >= versions.records

    def push_received(self, peer: str, batch: ChangeBatch, versions: Versions) -> bool:
        """Apply pushed changes; return whether this gateway follows the peer."""
        if peer != self._followed():
            return False
        try:
            batch.check()
        except MalformedChangesError as error:
            self._refuse(peer, versions, error)
            return False
        self._store.note_settling(versions.settling_s)
        if batch.after <= self._replica.revision:
            self._apply(batch)
        self.catch_up(peer, versions)
        return True

    async def _read_changes(self, peer: str, versions: Versions) -> None:
        try:
            if self._store.is_watching:
                await asyncio.sleep(STORE_START_WAIT_S)
            while versions.records > self._replica.revision:
                if not await self._read_next(peer, versions):
                    return
        except PeerLostError as error:
            log.info("changes_not_read", peer=peer, cause=str(error))
        except MalformedChangesError as error:
            self._refuse(peer, versions, error)
        finally:
            self._is_reading = False

    async def _read_next(self, peer: str, versions: Versions) -> bool:
        """Read one batch; return whether to continue."""
        known = self._replica.revision
        batch = await self._connections.read_changes(peer, known)
        if batch is None:
            await self._fetcher.fetch_records(peer, versions)
            return False
        batch.check()
        if batch.after > self._replica.revision or batch.revision <= known:
            return False
        log.info("changes_read", peer=peer, after=known, revision=batch.revision)
        self._apply(batch)
        return True

    def _apply(self, batch: ChangeBatch) -> None:
        items = tuple(StoreItem(c.key, c.value, c.revision) for c in batch.changes)
        self._replica.apply(items, batch.revision)

    def _refuse(
        self, peer: str, versions: Versions, error: MalformedChangesError
    ) -> None:
        """Read all records of a peer, as one of its batches cannot be applied."""
        self._refused += 1
        if self._is_recovering:
            return
        self._is_recovering = True
        log.warning(
            "changes_refused",
            peer=peer,
            cause=str(error),
            refused=self._refused,
            pause_s=self._recovery_pause_s,
        )
        self._spawn(self._recover(peer, versions))

    async def _recover(self, peer: str, versions: Versions) -> None:
        known = self._replica.revision
        try:
            await self._fetcher.fetch_records(peer, versions)
            has_advanced = self._replica.revision > known
            log.info(
                "records_read_anew",
                peer=peer,
                revision=self._replica.revision,
                has_advanced=has_advanced,
            )
            if has_advanced:
                self._recovery_pause_s = FIRST_RECOVERY_PAUSE_S
                return
            # The next refusal tries again, after a longer pause each time.
            await asyncio.sleep(self._recovery_pause_s)
            self._recovery_pause_s = min(
                MAX_RECOVERY_PAUSE_S, 2.0 * self._recovery_pause_s
            )
        finally:
            self._is_recovering = False
