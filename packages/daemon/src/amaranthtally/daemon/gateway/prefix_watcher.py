"""Watches a prefix of the store, while this gateway has to, into a replica."""

import asyncio
from math import inf
from random import Random
from typing import Protocol

from result import Err, Result

from amaranthtally.adapter.store import StoreEvents
from amaranthtally.daemon.gateway.store_replica import StoreReplica
from amaranthtally.daemon.logs import get_logger
from amaranthtally.platform import PlatformError, PlatformHistoryCompacted, StoreClient

__all__ = ["ContactListener", "PrefixWatcher", "WatchDuty"]

# A watch without events ends after this time, in seconds. A watch can stop delivering
# events without ending. The other watchers notice a change that it misses, unless the
# watches of all of them stop at once, as when all connections of the store go silent.
# Then the next watches have to begin in less than the 4 s that users allow for it. They
# pay for each call to the store, so one watch covers all keys.
WATCH_TIMEOUT_S = 2.4
# Pause before a retry while the store does not answer, in seconds. Random jitter of up
# to a half keeps the entries from retrying at the same time.
RETRY_DELAY_S = 0.25
RETRY_JITTER = 0.5
# The same for a gateway that is not elected to watch. It retries only in case the
# store rejects the elected ones; they tell it when the store answers again.
UNELECTED_RETRY_DELAY_S = 1.5
# Pause before the next watch after a change, in seconds. Changes come in bursts, as
# gateways and endpoints start or stop together, and each change ends the watch of every
# watcher. With the pause, a burst costs each watcher one or two calls, not one for each
# change. The pause delays a change by at most a tenth of the time in which the change
# must take effect.
CHANGE_BATCH_S = 0.25

log = get_logger()


class WatchDuty(Protocol):
    """Decides when this gateway watches the store."""

    @property
    def is_elected(self) -> bool:
        """Whether this gateway is one of the elected watchers."""

    async def wait_until_due(self) -> None:
        """Wait until this gateway has to watch the store itself."""


class ContactListener(Protocol):
    """Is told whether the store answers."""

    def store_unreachable(self) -> None:
        """Note that the store did not answer."""

    def store_reachable(self) -> None:
        """Note that the store answered."""


class PrefixWatcher:
    """Lists a prefix and watches it from that revision; lists again after a gap."""

    def __init__(
        self,
        client: StoreClient,
        prefix: str,
        replica: StoreReplica,
        listener: ContactListener,
        duty: WatchDuty,
        random: Random,
    ) -> None:
        self._client = client
        self._prefix = prefix
        self._replica = replica
        self._listener = listener
        self._duty = duty
        self._random = random
        self._must_list = True
        self._is_unreachable = False
        self._confirmed_at = -inf
        self._time = asyncio.get_running_loop().time

    @property
    def confirmed_s(self) -> float:
        """Seconds since the store or the followed watcher answered, or ``inf``."""
        return self._time() - self._confirmed_at

    @property
    def is_connected(self) -> bool:
        """Whether the store answered the most recent call."""
        return not self._is_unreachable

    @property
    def is_listed(self) -> bool:
        """Whether the replica continues from a listing without a gap."""
        return not self._must_list

    def list_anew(self) -> None:
        """List the prefix before the next watch, as the replica may have a gap."""
        self._must_list = True

    async def run(self) -> None:
        """Watch whenever it is due, until cancelled."""
        while True:
            await self._duty.wait_until_due()
            known = self._replica.revision
            if self._must_list:
                response = await self._client.list(self._prefix)
                self._apply_listing(response, known)
            else:
                response = await self._client.watch(
                    self._prefix, known, WATCH_TIMEOUT_S
                )
                self._apply_changes(response, known)
            await asyncio.sleep(self._pause_s(response))

    def note_reachable(self) -> None:
        """Note that the store answers this gateway or the watcher that it follows."""
        self._confirmed_at = self._time()
        if self._is_unreachable:
            self._is_unreachable = False
            log.info("store_regained", prefix=self._prefix)
        self._listener.store_reachable()

    def _pause_s(self, response: Result[StoreEvents, PlatformError]) -> float:
        if isinstance(response, Err):
            is_elected = self._duty.is_elected
            delay_s = RETRY_DELAY_S if is_elected else UNELECTED_RETRY_DELAY_S
            return delay_s * (1.0 + RETRY_JITTER * self._random.random())
        return CHANGE_BATCH_S if response.ok_value.items else 0.0

    def _apply_listing(
        self, response: Result[StoreEvents, PlatformError], known: int
    ) -> None:
        if isinstance(response, Err):
            self._report_unreachable(response.err_value)
            return
        self.note_reachable()
        listing = response.ok_value
        if listing.revision < known:
            self._discard_replica(listing.revision)
        self._replica.replace(listing.items, listing.revision)
        self._must_list = False

    def _apply_changes(
        self, response: Result[StoreEvents, PlatformError], known: int
    ) -> None:
        if isinstance(response, Err):
            # Changes may have been made during the outage, and the store may compact
            # its history before it answers again. Listing the prefix again costs one
            # call and misses nothing.
            self._must_list = True
            if not isinstance(response.err_value, PlatformHistoryCompacted):
                self._report_unreachable(response.err_value)
            return
        self.note_reachable()
        events = response.ok_value
        if events.revision < known:
            self._discard_replica(events.revision)
            self._must_list = True
            return
        self._replica.apply(events.items, events.revision)

    def _discard_replica(self, revision: int) -> None:
        # A peer claimed a revision that the store has not reached. Everything up to it
        # would be taken for known, and no change would be applied for a long time.
        log.warning("replica_ahead_of_store", known=self._replica.revision, at=revision)
        self._replica.clear()

    def _report_unreachable(self, error: PlatformError) -> None:
        if not self._is_unreachable:
            self._is_unreachable = True
            log.warning("store_lost", prefix=self._prefix, cause=str(error))
        self._listener.store_unreachable()
