"""Follows what lies in the store, through one watch for all its readers."""

import asyncio
from collections.abc import Mapping
from random import Random
from typing import Protocol

from result import Err, Result

from amaranthtally.adapter.store import StoreEvents, StoreItem
from amaranthtally.daemon.logs import get_logger
from amaranthtally.platform import PlatformError, PlatformHistoryCompacted, StoreClient

__all__ = ["PrefixFollower", "Reader", "Readers"]

# A watch that hears nothing ends after this, in seconds. Watches can go silent without
# an end: a change that is made meanwhile is heard of that much later, and it must be in
# force, or an endpoint be left alone, within 2.5 s. Each watch is a call that the users
# pay for, so that everything is followed by one.
WATCH_S = 1.2
# Between tries while the store does not answer, in seconds, spread by a half so that
# entries do not return to it all at once.
RETRY_S = 0.25
RETRY_SPREAD = 0.5
# How long the next watch waits after a change, in seconds: changes come in clusters, as
# gateways and endpoints start or stop together, and each ends the watch of every
# gateway. Taken together, a cluster costs a call or two a gateway, not one a change; a
# change is heard of that much later at most, a tenth of the time in which it must be
# in force.
CLUSTER_S = 0.25

log = get_logger()


class Reader(Protocol):
    """Whoever keeps what lies under a prefix."""

    def replace(self, items: tuple[StoreItem, ...]) -> None:
        """Take everything that lies there."""

    def change(self, item: StoreItem) -> None:
        """Take one change."""

    def reached(self, at: int) -> None:
        """Hear up to which revision of the store nothing was missed."""

    def lost(self) -> None:
        """Hear that the store does not answer."""

    def regained(self) -> None:
        """Hear that it answers."""


class PrefixFollower:
    """Reads a prefix and watches it from there; after a gap it reads anew."""

    def __init__(
        self, client: StoreClient, prefix: str, reader: Reader, random: Random
    ) -> None:
        self._client = client
        self._prefix = prefix
        self._reader = reader
        self._random = random
        self._at: int | None = None
        self._lost = False

    @property
    def is_connected(self) -> bool:
        """Whether the store answered last time."""
        return not self._lost

    async def follow(self) -> None:
        """Follow until cancelled."""
        while True:
            if self._at is None:
                answer = await self._client.list(self._prefix)
                self._take_all(answer)
            else:
                answer = await self._client.watch(self._prefix, self._at, WATCH_S)
                self._take_changes(answer)
            await asyncio.sleep(self._pause_s(answer))

    def _pause_s(self, answer: Result[StoreEvents, PlatformError]) -> float:
        if isinstance(answer, Err):
            return RETRY_S * (1.0 + RETRY_SPREAD * self._random.random())
        return CLUSTER_S if answer.ok_value.items else 0.0

    def _take_all(self, answer: Result[StoreEvents, PlatformError]) -> None:
        if isinstance(answer, Err):
            self._note_loss(answer.err_value)
            return
        self._note_return()
        found = answer.ok_value
        self._reader.replace(found.items)
        self._at = found.at
        self._reader.reached(found.at)

    def _take_changes(self, answer: Result[StoreEvents, PlatformError]) -> None:
        if isinstance(answer, Err):
            # Changes may have come and gone while nothing was heard, and the history
            # may be dropped by the time the store answers again: what lies there is
            # read anew, which costs one call and can miss nothing.
            self._at = None
            if not isinstance(answer.err_value, PlatformHistoryCompacted):
                self._note_loss(answer.err_value)
            return
        self._note_return()
        found = answer.ok_value
        for item in found.items:
            self._reader.change(item)
        assert self._at is not None
        self._at = max(self._at, found.at)
        self._reader.reached(self._at)

    def _note_loss(self, error: PlatformError) -> None:
        if not self._lost:
            self._lost = True
            log.warning("store_lost", prefix=self._prefix, cause=str(error))
        self._reader.lost()

    def _note_return(self) -> None:
        if self._lost:
            self._lost = False
            log.info("store_regained", prefix=self._prefix)
        self._reader.regained()


class Readers:
    """Several readers behind one watch, each with the keys under its prefix."""

    def __init__(self, readers: Mapping[str, Reader]) -> None:
        self._readers = readers

    def replace(self, items: tuple[StoreItem, ...]) -> None:
        """Take everything that lies in the store."""
        for prefix, reader in self._readers.items():
            reader.replace(tuple(i for i in items if i.key.startswith(prefix)))

    def change(self, item: StoreItem) -> None:
        """Take one change; keys of nobody's are left alone."""
        for prefix, reader in self._readers.items():
            if item.key.startswith(prefix):
                reader.change(item)

    def reached(self, at: int) -> None:
        """Hear up to which revision of the store nothing was missed."""
        for reader in self._readers.values():
            reader.reached(at)

    def lost(self) -> None:
        """Hear that the store does not answer."""
        for reader in self._readers.values():
            reader.lost()

    def regained(self) -> None:
        """Hear that it answers."""
        for reader in self._readers.values():
            reader.regained()
