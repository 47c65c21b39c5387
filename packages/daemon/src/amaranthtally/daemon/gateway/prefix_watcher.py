"""Watches a prefix of the store and passes its items on to several listeners."""

import asyncio
from collections.abc import Mapping
from random import Random
from typing import Protocol

from result import Err, Result

from amaranthtally.adapter.store import StoreEvents, StoreItem
from amaranthtally.daemon.logs import get_logger
from amaranthtally.platform import PlatformError, PlatformHistoryCompacted, StoreClient

__all__ = ["PrefixDispatcher", "PrefixListener", "PrefixWatcher"]

# A watch without events ends after this time, in seconds. A watch can stop delivering
# events without ending; a change made meanwhile is noticed only by the next watch, and
# it must take effect within 2.5 s (a configuration in force, a removed endpoint
# unused). Users pay for each call to the store, so one watch covers all keys.
WATCH_TIMEOUT_S = 1.2
# Pause before a retry while the store does not answer, in seconds. Random jitter of up
# to a half keeps the entries from retrying at the same time.
RETRY_DELAY_S = 0.25
RETRY_JITTER = 0.5
# Pause before the next watch after a change, in seconds. Changes come in bursts, as
# gateways and endpoints start or stop together, and each change ends the watch of every
# gateway. With the pause, a burst costs each gateway one or two calls, not one for each
# change. The pause delays a change by at most a tenth of the time in which the change
# must take effect.
CHANGE_BATCH_S = 0.25

log = get_logger()


class PrefixListener(Protocol):
    """Receives the items under a prefix and the changes to them."""

    def replace(self, items: tuple[StoreItem, ...]) -> None:
        """Replace all known items by a complete listing of the prefix."""

    def apply_change(self, item: StoreItem) -> None:
        """Apply one changed or removed item."""

    def advance_to(self, revision: int) -> None:
        """Note that all changes up to a revision of the store have been received."""

    def store_unreachable(self) -> None:
        """Note that the store did not answer."""

    def store_reachable(self) -> None:
        """Note that the store answered."""


class PrefixWatcher:
    """Lists a prefix and watches it from that revision; lists again after a gap."""

    def __init__(
        self, client: StoreClient, prefix: str, listener: PrefixListener, random: Random
    ) -> None:
        self._client = client
        self._prefix = prefix
        self._listener = listener
        self._random = random
        self._revision: int | None = None
        self._is_unreachable = False

    @property
    def is_connected(self) -> bool:
        """Whether the store answered the most recent call."""
        return not self._is_unreachable

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            if self._revision is None:
                response = await self._client.list(self._prefix)
                self._apply_listing(response)
            else:
                response = await self._client.watch(
                    self._prefix, self._revision, WATCH_TIMEOUT_S
                )
                self._apply_changes(response)
            await asyncio.sleep(self._pause_s(response))

    def _pause_s(self, response: Result[StoreEvents, PlatformError]) -> float:
        if isinstance(response, Err):
            return RETRY_DELAY_S * (1.0 + RETRY_JITTER * self._random.random())
        return CHANGE_BATCH_S if response.ok_value.items else 0.0

    def _apply_listing(self, response: Result[StoreEvents, PlatformError]) -> None:
        if isinstance(response, Err):
            self._report_unreachable(response.err_value)
            return
        self._report_reachable()
        listing = response.ok_value
        self._listener.replace(listing.items)
        self._revision = listing.revision
        self._listener.advance_to(listing.revision)

    def _apply_changes(self, response: Result[StoreEvents, PlatformError]) -> None:
        if isinstance(response, Err):
            # Changes may have been made during the outage, and the store may compact
            # its history before it answers again. Listing the prefix again costs one
            # call and misses nothing.
            self._revision = None
            if not isinstance(response.err_value, PlatformHistoryCompacted):
                self._report_unreachable(response.err_value)
            return
        self._report_reachable()
        events = response.ok_value
        for item in events.items:
            self._listener.apply_change(item)
        assert self._revision is not None
        self._revision = max(self._revision, events.revision)
        self._listener.advance_to(self._revision)

    def _report_unreachable(self, error: PlatformError) -> None:
        if not self._is_unreachable:
            self._is_unreachable = True
            log.warning("store_lost", prefix=self._prefix, cause=str(error))
        self._listener.store_unreachable()

    def _report_reachable(self) -> None:
        if self._is_unreachable:
            self._is_unreachable = False
            log.info("store_regained", prefix=self._prefix)
        self._listener.store_reachable()


class PrefixDispatcher:
    """Passes each item of one watch to the listener of its key's prefix."""

    def __init__(self, listeners: Mapping[str, PrefixListener]) -> None:
        self._listeners = listeners

    def replace(self, items: tuple[StoreItem, ...]) -> None:
        """Give each listener all items under its prefix."""
        for prefix, listener in self._listeners.items():
            listener.replace(tuple(i for i in items if i.key.startswith(prefix)))

    def apply_change(self, item: StoreItem) -> None:
        """Pass on one change; ignore keys that no listener's prefix matches."""
        for prefix, listener in self._listeners.items():
            if item.key.startswith(prefix):
                listener.apply_change(item)

    def advance_to(self, revision: int) -> None:
        """Pass on the revision up to which all changes have been received."""
        for listener in self._listeners.values():
            listener.advance_to(revision)

    def store_unreachable(self) -> None:
        """Pass on that the store did not answer."""
        for listener in self._listeners.values():
            listener.store_unreachable()

    def store_reachable(self) -> None:
        """Pass on that the store answered."""
        for listener in self._listeners.values():
            listener.store_reachable()
