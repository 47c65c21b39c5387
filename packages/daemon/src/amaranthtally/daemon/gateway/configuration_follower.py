"""Keeps the operators' configuration as the store or a peer has it."""

import asyncio
from collections.abc import Callable

from result import Err

from amaranthtally.adapter.configuration import CONFIGURATION_KEY, read_configuration
from amaranthtally.adapter.store import StoreItem
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import RouteTable

__all__ = ["ConfigurationFollower"]

# What lines call the store where a peer's name could stand.
STORE = "store"
MS_PER_S = 1000.0

log = get_logger()


class ConfigurationFollower:
    """Hands newer configurations on; older ones and malformed ones are dropped."""

    def __init__(self, on_table: Callable[[RouteTable], None]) -> None:
        self._on_table = on_table
        self._version = 0
        self._value = b""
        self._heard = 0
        self._heard_at = 0.0
        self._time = asyncio.get_running_loop().time

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self._version

    @property
    def heard(self) -> int:
        """The newest version that the store or a peer has told of."""
        return self._heard

    @property
    def behind_s(self) -> float:
        """For how many seconds a newer version than that in force is known to exist."""
        return self._time() - self._heard_at if self._heard > self._version else 0.0

    @property
    def value(self) -> bytes:
        """The configuration as the store held it."""
        return self._value

    def hear_of(self, version: int, source: str) -> None:
        """Note that a version exists, which is yet to be read."""
        if version <= max(self._version, self._heard):
            return
        if self._heard <= self._version:
            self._heard_at = self._time()
        self._heard = version
        log.info(
            "configuration_heard_of",
            version=version,
            own_version=self._version,
            source=source,
        )

    def replace(self, items: tuple[StoreItem, ...]) -> None:
        """Take the newest configuration, if there is one."""
        for item in items:
            self.change(item)

    def change(self, item: StoreItem) -> None:
        """Take a configuration from the store."""
        if item.key == CONFIGURATION_KEY and item.value is not None:
            self.take(item.value, STORE)

    def take(self, value: bytes, source: str) -> None:
        """Take a configuration; ``source`` names the store or a peer, for the log."""
        # All keys are read anew after each gap; a large document takes a tenth of a
        # second to read, in which nothing else is done.
        if value == self._value:
            return
        read = read_configuration(value)
        if isinstance(read, Err):
            log.error("configuration_malformed", cause=read.err_value)
            return
        table = read.ok_value
        # Answers may overtake each other; what was in force never comes back.
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
        self._heard = max(self._heard, table.version)
        self._value = value
        self._on_table(table)

    def reached(self, at: int) -> None:
        """Nothing to do: the configuration bears its own version."""

    def lost(self) -> None:
        """Keep what is in force."""

    def regained(self) -> None:
        """Nothing to do: a newer version is among the changes."""
