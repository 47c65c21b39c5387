"""Watches a prefix of the store, while this gateway has to, into a replica."""

import asyncio
from math import inf
from random import Random
from typing import Protocol

from result import Err, Result

from amaranthtally.adapter.store import StoreEvents
from amaranthtally.daemon.gateway.state_freshness import StateFreshness, StateKind
from amaranthtally.daemon.gateway.store_replica import StoreReplica
from amaranthtally.daemon.logs import get_logger
from amaranthtally.platform import PlatformError, PlatformHistoryCompacted, StoreClient
from amaranthtally.platform.store import READ_TIMEOUT_S, WATCH_MARGIN_S

__all__ = ["MAX_WATCHER_AGE_S", "ContactListener", "PrefixWatcher", "WatchDuty"]

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
# Least interval between the starts of a watch that ends early without events and of the
# next one, in seconds. An overloaded store, or a proxy before it, may end each at once.
MIN_WATCH_INTERVAL_S = 0.5
# Greatest age of the records of a gateway whose watch works, in seconds. Ages count
# from when a call was sent: a watch that was answered at the last moment, one whose
# answer is lost, and the listing that follows, each with the pause after it.
MAX_WATCHER_AGE_S = (
    2.0 * (WATCH_TIMEOUT_S + WATCH_MARGIN_S)
    + CHANGE_BATCH_S
    + RETRY_DELAY_S * (1.0 + RETRY_JITTER)
    + READ_TIMEOUT_S
)

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
        freshness: StateFreshness,
    ) -> None:
        self._client = client
        self._prefix = prefix
        self._replica = replica
        self._listener = listener
        self._duty = duty
        self._random = random
        self._must_list = True
        self._is_unreachable = False
        self._freshness = freshness
        self._answered_at = -inf
        self._asks_at_once = False
        self._watch_limit: asyncio.Timeout | None = None
        freshness.notify_resumed(self._abandon_watch)

    @property
    def is_failing(self) -> bool:
        """Whether the last call failed."""
        return self._is_unreachable

    @property
    def is_connected(self) -> bool:
        """Whether the store itself lately confirmed what is held."""
        return not self._is_unreachable and self._is_answered()

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
            sent_at = self._freshness.now()
            started_at = asyncio.get_running_loop().time()
            is_watch = not self._must_list
            if self._must_list:
                response = await self._client.list(self._prefix)
                self._apply_listing(response, known)
            else:
                try:
                    response = await self._watch(known)
                except TimeoutError:
                    continue
                self._apply_changes(response, known)
            self._confirm(response, sent_at)
            pause_s = self._pause_s(response)
            # A question without a wait confirms the state, and its watch comes next.
            if is_watch and not pause_s and not self._asks_at_once:
                pause_s = self._rest_of_interval_s(started_at)
            await asyncio.sleep(pause_s)

    def note_reachable(self) -> None:
        """Note that the store answers this gateway or the watcher that it follows."""
        if self._is_unreachable:
            self._is_unreachable = False
            log.info("store_regained", prefix=self._prefix)
        self._listener.store_reachable()

    async def _watch(self, known: int) -> Result[StoreEvents, PlatformError]:
        """Wait for changes; raises ``TimeoutError`` if the watch is abandoned."""
        # After a standstill, and when the duty to watch begins, the store has to
        # confirm the state at once. An answer that confirms nothing is followed by a
        # watch that waits, as each call is paid for.
        self._asks_at_once = not (self._is_answered() or self._asks_at_once)
        wait_s = 0.0 if self._asks_at_once else WATCH_TIMEOUT_S
        async with asyncio.timeout(None) as self._watch_limit:
            try:
                return await self._client.watch(self._prefix, known, wait_s)
            finally:
                self._watch_limit = None

    def _is_answered(self) -> bool:
        return self._freshness.is_recent(self._answered_at, MAX_WATCHER_AGE_S)

    def _abandon_watch(self) -> None:
        # An answer to a call from before the standstill says nothing about the time
        # since. One that is being received is not sent again, as its link may be thin.
        limit = self._watch_limit
        if limit is not None and not self._client.is_receiving:
            self._watch_limit = None
            limit.reschedule(asyncio.get_running_loop().time())

    def _confirm(
        self, response: Result[StoreEvents, PlatformError], sent_at: float
    ) -> None:
        # A watch that ends without events may have been answered from the state at its
        # begin or at its end; only the first is certain. One watch covers all keys, so
        # that it confirms the configuration as well.
        if isinstance(response, Err):
            return
        if self.is_listed and self._replica.revision >= response.ok_value.revision:
            self._answered_at = sent_at
            for kind in StateKind:
                self._freshness.confirm(kind, sent_at)

    def _pause_s(self, response: Result[StoreEvents, PlatformError]) -> float:
        if isinstance(response, Err):
            is_elected = self._duty.is_elected
            delay_s = RETRY_DELAY_S if is_elected else UNELECTED_RETRY_DELAY_S
            return delay_s * (1.0 + RETRY_JITTER * self._random.random())
        return CHANGE_BATCH_S if response.ok_value.items else 0.0

    def _rest_of_interval_s(self, started_at: float) -> float:
        passed_s = asyncio.get_running_loop().time() - started_at
        return max(0.0, MIN_WATCH_INTERVAL_S - passed_s)

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
