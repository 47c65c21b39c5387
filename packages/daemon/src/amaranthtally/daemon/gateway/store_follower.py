"""Keeps this gateway in contact with the store through a gateway that watches it."""

import asyncio
from collections.abc import Callable

from amaranthtally.daemon.gateway.peer_connections import PeerConnections
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import WatcherSelection
from amaranthtally.wire import PeerLostError
from amaranthtally.wire.gateway_codec import Versions

__all__ = ["StoreFollower"]

# Interval between calls, in seconds. They go in turn to the followed watcher and to
# another one. If the followed watcher hangs or has lost the store without noticing, a
# change is known from the other one within two intervals.
CALL_INTERVAL_S = 0.5
# Most watchers asked in a row. If none of them has contact with the store, this gateway
# watches the store itself.
MAX_ATTEMPTS = 3

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
    ) -> None:
        self._connections = connections
        self._selection = selection
        self._versions = versions
        self._catch_up = catch_up
        self._on_contact = on_contact
        self._due = asyncio.Event()
        self._due.set()
        self._time = asyncio.get_running_loop().time

    @property
    def is_elected(self) -> bool:
        """Whether this gateway is one of the elected watchers."""
        return self._selection.is_elected

    @property
    def is_watching(self) -> bool:
        """Whether this gateway has to watch the store itself."""
        return self._due.is_set()

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
        try:
            status = await self._connections.exchange_status(
                peer, self._versions(), follows
            )
        except PeerLostError as error:
            log.info("watcher_lost", peer=peer, cause=str(error))
            self._selection.note_failure(self._time(), peer)
            return False
        is_watching = status.watches and not status.leaving
        self._selection.note_answer(self._time(), peer, is_watching)
        if not is_watching:
            return False
        if follows:
            self._note_contact(peer)
        self._catch_up(peer, status.versions)
        return True

    def _note_contact(self, peer: str) -> None:
        before = self._selection.followed
        self._selection.follow(self._time(), peer)
        if self._selection.followed != before:
            log.info("store_followed", watcher=self._selection.followed)
        if self._selection.followed:
            self._on_contact()

    def _update_duty(self) -> None:
        is_due = self._selection.is_elected or not self._selection.has_contact(
            self._time()
        )
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
