"""Keeps this gateway in contact with the store through a gateway that watches it."""

import asyncio
from collections.abc import Callable
from math import isfinite

from amaranthtally.daemon.gateway.peer_connections import (
    CALL_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    PeerConnections,
)
from amaranthtally.daemon.gateway.prefix_watcher import MAX_WATCHER_AGE_S
from amaranthtally.daemon.gateway.state_freshness import StateFreshness, StateKind
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import WatcherSelection
from amaranthtally.wire import PeerLostError
from amaranthtally.wire.gateway_codec import Versions

__all__ = ["MAX_AGE_S", "StoreFollower"]

# Interval between calls, in seconds. They go in turn to the followed watcher and to
# another one. If the followed watcher hangs or has lost the store without noticing, a
# change is known from the other one within two intervals.
CALL_INTERVAL_S = 0.5
# Most watchers asked in a row. If none of them has contact with the store, this gateway
# watches the store itself.
MAX_ATTEMPTS = 3
# Greatest age of a gateway's state while it or a watcher is in touch with the store, in
# seconds: that of the watcher, and the time until the next answer of a watcher arrives
# if a call to another one and the connection to the followed one are as slow as may be.
MAX_AGE_S = (
    MAX_WATCHER_AGE_S
    + 2.0 * CALL_INTERVAL_S
    + 2.0 * (CONNECT_TIMEOUT_S + CALL_TIMEOUT_S)
)

log = get_logger()


class StoreFollower:
    """
    Follows a watcher, or lets this gateway watch the store itself.

    The store is watched by few gateways, as each call to it is paid for and its rate of
    calls is limited. The others follow one of these, which sends them each change.
    """

    def __init__(
        self,
        connections: PeerConnections,
        selection: WatcherSelection,
        versions: Callable[[], Versions],
        catch_up: Callable[[str, Versions], None],
        on_contact: Callable[[], None],
        freshness: StateFreshness,
    ) -> None:
        self._connections = connections
        self._selection = selection
        self._versions = versions
        self._catch_up = catch_up
        self._on_contact = on_contact
        self._due = asyncio.Event()
        self._due.set()
        self._freshness = freshness
        self._time = freshness.now

    @property
    def is_elected(self) -> bool:
        """Whether this gateway is one of the elected watchers."""
        return self._selection.is_elected

    @property
    def is_watching(self) -> bool:
        """Whether this gateway has to watch the store itself."""
        return self._due.is_set()

    @property
    def is_confirmed(self) -> bool:
        """Whether a watcher in touch with the store confirms what is held."""
        return self._freshness.is_trusted(StateKind.RECORDS, MAX_AGE_S)

    async def wait_until_due(self) -> None:
        """Wait until this gateway has to watch the store itself."""
        await self._due.wait()

    def entries_changed(self) -> None:
        """Start or stop watching after a change of the set of live gateways."""
        self._update_duty()

    def watch_anew(self) -> None:
        """Let this gateway watch the store itself until a watcher has answered."""
        self._due.set()

    async def run(self) -> None:
        """Call watchers until cancelled."""
        while True:
            await self._follow()
            await asyncio.sleep(CALL_INTERVAL_S)
            await self._check_other()
            await asyncio.sleep(CALL_INTERVAL_S)

    async def _follow(self) -> None:
        """Renew the contact with the followed watcher, or find another one."""
        if not self._selection.is_elected:
            for peer in self._selection.candidates(self._time())[:MAX_ATTEMPTS]:
                if await self._call(peer, follows=True):
                    break
        self._update_duty()

    async def _check_other(self) -> None:
        """Compare versions with a watcher that this gateway does not follow."""
        candidates = self._selection.candidates(self._time())
        others = [peer for peer in candidates if peer != self._selection.followed]
        if others:
            await self._call(others[0], follows=False)
        self._update_duty()

    async def _call(self, peer: str, follows: bool) -> bool:
        """Exchange versions with a watcher; return whether the store answers it."""
        sent_at = self._time()
        try:
            status = await self._connections.exchange_status(
                peer, self._versions(), follows
            )
        except PeerLostError as error:
            log.info("watcher_lost", peer=peer, cause=str(error))
            self._selection.note_failure(self._time(), peer)
            return False
        tells_age = isfinite(status.versions.records_age_s)
        is_watching = status.watches and not status.leaving
        if tells_age and status.versions.records_age_s > MAX_WATCHER_AGE_S:
            is_watching = False
        self._selection.note_answer(self._time(), peer, is_watching)
        if not is_watching:
            return False
        if tells_age:
            self._freshness.confirm_versions(status.versions, sent_at, peer)
        elif follows:
            self._freshness.note_older_watcher(sent_at)
        if follows:
            self._note_contact(peer, sent_at)
        self._catch_up(peer, status.versions)
        return True

    def _note_contact(self, peer: str, sent_at: float) -> None:
        before = self._selection.followed
        self._selection.follow(sent_at, peer)
        if self._selection.followed != before:
            log.info("store_followed", watcher=self._selection.followed)
        if self._selection.followed:
            self._on_contact()

    def _update_duty(self) -> None:
        has_contact = self._selection.has_contact(self._time()) and self.is_confirmed
        is_due = self._selection.is_elected or not has_contact
        if is_due == self._due.is_set():
            return
        if is_due:
            self._due.set()
        else:
            self._due.clear()
        log.info(
            "store_watched" if is_due else "store_not_watched",
            elected=self._selection.is_elected,
            followed=self._selection.followed,
        )
