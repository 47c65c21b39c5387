"""Tracks the operators' configuration, as received from the store or from a peer."""

import asyncio
from collections.abc import Callable
from hashlib import sha256

from result import Err

from amaranthtally.adapter.configuration import CONFIGURATION_KEY, read_configuration
from amaranthtally.adapter.store import StoreItem
from amaranthtally.daemon.gateway.record_faults import RecordFaults
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import RouteTable

__all__ = ["ConfigurationTracker"]

# The ``source`` in log lines for documents that came from the store, not from a peer.
STORE_SOURCE = "store"
MS_PER_S = 1000.0

log = get_logger()


class ConfigurationTracker:
    """Passes newer configurations to ``on_table``; drops older and malformed ones."""

    def __init__(
        self,
        on_table: Callable[[RouteTable], None],
        faults: RecordFaults | None = None,
    ) -> None:
        self._faults = faults or RecordFaults()
        # A digest of the last one that was refused: it is logged once.
        self._refused = b""
        self._on_table = on_table
        self._version = 0
        self._value = b""
        # The store's last one, while applying it has not succeeded.
        self._unapplied: tuple[StoreItem, ...] = ()
        self._newest_known = 0
        self._newer_known_since = 0.0
        self._time = asyncio.get_running_loop().time

    @property
    def version(self) -> int:
        """The version in force; 0 until one has been read."""
        return self._version

    @property
    def newest_known(self) -> int:
        """The newest version that the store or a peer is known to hold."""
        return self._newest_known

    @property
    def behind_s(self) -> float:
        """Seconds since a version newer than the one in force became known, or 0."""
        return (
            self._time() - self._newer_known_since
            if self._newest_known > self._version
            else 0.0
        )

    @property
    def value(self) -> bytes:
        """The configuration in force, encoded as in the store."""
        return self._value

    def note_version(self, version: int, source: str) -> None:
        """Note that the store or a peer holds a version; ignored if it is not newer."""
        if version <= max(self._version, self._newest_known):
            return
        if self._newest_known <= self._version:
            self._newer_known_since = self._time()
        self._newest_known = version
        log.info(
            "configuration_heard_of",
            version=version,
            own_version=self._version,
            source=source,
        )

    def replace(self, items: tuple[StoreItem, ...]) -> None:
        """
        Apply the newest configuration among the items, if there is one.

        The replica does not hold the configuration. After a failure, its items
        therefore lack the one that failed, which is applied again.
        """
        for item in items or self._unapplied:
            self.apply_change(item)

    def apply_change(self, item: StoreItem) -> None:
        """Apply a changed configuration of the store."""
        if item.key == CONFIGURATION_KEY and item.value is not None:
            self._unapplied = (item,)
            self.apply(item.value, STORE_SOURCE)
            self._unapplied = ()

    def apply(self, value: bytes, source: str) -> None:
        """Apply a configuration; ``source`` is the store or a peer, for the log."""
        # After each gap in a watch all keys are listed again. Decoding a large document
        # blocks the event loop for a tenth of a second, so an equal one is skipped.
        if value == self._value:
            return
        digest = sha256(value).digest()
        if digest == self._refused:
            return
        decoded = read_configuration(value)
        if isinstance(decoded, Err):
            self._refused = digest
            self._faults.configuration_malformed(
                CONFIGURATION_KEY, decoded.err_value, source
            )
            return
        table = decoded.ok_value
        # Responses may arrive out of order: never replace a version by an older one.
        if table.version <= self._version:
            return
        log.info(
            "configuration_read",
            version=table.version,
            source=source,
            bytes=len(value),
            behind_ms=round(self.behind_s * MS_PER_S),
        )
        self._version = table.version
        self._newest_known = max(self._newest_known, table.version)
        self._value = value
        self._on_table(table)
