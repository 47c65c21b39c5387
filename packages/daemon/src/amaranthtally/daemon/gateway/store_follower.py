"""Keeps this gateway in contact with the store through a gateway that watches it."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from functools import partial
from math import inf, isfinite
from random import Random
from typing import Any

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

__all__ = [
    "CONTACT_LIMIT_S",
    "DEPUTY_CONTACT_LIMIT_S",
    "MAX_AGE_S",
    "SPREAD_S",
    "StoreFollower",
]

# Interval between calls, in seconds. They go in turn to the followed watcher and to
# another one. If the followed watcher hangs or has lost the store without noticing, a
# change is known from the other one within two intervals.
CALL_INTERVAL_S = 0.5
# The same while no watcher answers and this gateway does not watch yet, in seconds.
SEARCH_INTERVAL_S = 0.1
# How long an answer is awaited before the next watcher is asked beside it, in seconds:
# several round trips to another region.
ANSWER_DELAY_S = 0.2
# The age of the last answer of a watcher, in seconds, from which on deputies are asked:
# a call to the followed watcher and one to another one were not answered.
SEARCH_AGE_S = CALL_INTERVAL_S + ANSWER_DELAY_S - SEARCH_INTERVAL_S
# How many watchers beside the followed one are asked in turn. One that has lost the
# store without noticing is not the only one that is compared with.
OTHERS_ASKED = 2
# The greatest age of the last answer of a watcher, in seconds. Then this gateway
# watches the store itself, however many calls still wait for an answer. With
# ``SPREAD_S`` and a call to the store it is below the 2.5 s in which a change of the
# configuration or of an endpoint must take effect. Deputies watch first, so that the
# others find these and stay away from the store.
DEPUTY_CONTACT_LIMIT_S = 1.2
CONTACT_LIMIT_S = 1.6
# Gateways that find no deputy either come to the store within this time, in seconds.
SPREAD_S = 0.4
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

MS_PER_S = 1000

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
        spawn: Callable[
            [Coroutine[Any, Any, bool]], asyncio.Task[bool]
        ] = asyncio.create_task,
        random: Random | None = None,
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
        self._spawn = spawn
        self._random = random or Random()
        self._spread_s = 0.0
        self._contact_at = -inf
        # Calls that wait for an answer for longer than ``ANSWER_DELAY_S``, by watcher.
        self._unanswered: dict[str, asyncio.Task[bool]] = {}
        self._others_asked = 0

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

    @property
    def _contact_limit_s(self) -> float:
        if self._selection.is_deputy:
            return DEPUTY_CONTACT_LIMIT_S
        return CONTACT_LIMIT_S + self._spread_s

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
            while not await self._follow() and not self.is_watching:
                await asyncio.sleep(SEARCH_INTERVAL_S)
            await asyncio.sleep(CALL_INTERVAL_S)
            if await self._check_other() or self.is_watching:
                await asyncio.sleep(CALL_INTERVAL_S)

    async def run_clock(self) -> None:
        """Watch the store once the last answer is too old, until cancelled."""
        while True:
            left_s = self._contact_limit_s - (self._time() - self._contact_at)
            await asyncio.sleep(max(SEARCH_INTERVAL_S, left_s))
            self._update_duty()

    async def _follow(self) -> bool:
        """Renew the contact with the followed watcher, or find another one."""
        has_answer = False
        if not self._selection.is_elected:
            has_answer = await self._ask(self._next_to_follow(), True)
        self._update_duty()
        return has_answer

    async def _check_other(self) -> bool:
        """
        Compare versions with a watcher that this gateway does not follow, if any.

        Return whether it has answered.
        """
        followed = self._selection.followed
        others = [peer for peer in self._candidates() if peer != followed]
        has_answer = not others
        if others:
            self._others_asked += 1
            number = self._others_asked % min(OTHERS_ASKED, len(others))
            has_answer = await self._ask([others[number]], False)
        self._update_duty()
        return has_answer

    def _next_to_follow(self) -> list[str]:
        """Return some watchers, or one and deputies if several are silent."""
        peers = self._candidates()
        is_searching = self._time() - self._contact_at > SEARCH_AGE_S
        if is_searching and not self.is_watching:
            deputies = [p for p in peers[1:] if p in self._selection.deputies]
            peers = peers[:1] + deputies
        return peers[:MAX_ATTEMPTS]

    def _candidates(self) -> list[str]:
        candidates = self._selection.candidates(self._time())
        return [peer for peer in candidates if peer not in self._unanswered]

    async def _ask(self, peers: Sequence[str], follows: bool) -> bool:
        """
        Ask watchers until one says that the store answers it; return whether one does.

        A call that hangs keeps the next watcher waiting for ``ANSWER_DELAY_S`` only.
        Its answer counts whenever it comes.
        """
        asked: set[asyncio.Task[bool]] = set()
        for peer in peers:
            call = self._spawn(self._call(peer, follows))
            asked.add(call)
            self._unanswered[peer] = call
            call.add_done_callback(partial(self._note_end, peer))
            ended, asked = await asyncio.wait(
                asked, timeout=ANSWER_DELAY_S, return_when=asyncio.FIRST_COMPLETED
            )
            if any(_has_succeeded(call) for call in ended):
                return True
        return False

    def _note_end(self, peer: str, call: asyncio.Task[bool]) -> None:
        del self._unanswered[peer]

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
        self._contact_at = max(self._contact_at, sent_at)
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
        now = self._time()
        selection = self._selection
        is_recent = self._freshness.is_recent(self._contact_at, self._contact_limit_s)
        is_alone = not selection.has_contact(now) and not selection.has_candidates(now)
        has_contact = is_recent and not is_alone and self.is_confirmed
        is_due = selection.is_elected or not has_contact
        if is_due == self._due.is_set():
            return
        if is_due:
            self._due.set()
        else:
            self._due.clear()
            self._spread_s = SPREAD_S * self._random.random()
        log.info(
            "store_watched" if is_due else "store_not_watched",
            elected=self._selection.is_elected,
            followed=self._selection.followed,
            deputy=self._selection.is_deputy,
            contact_ms=round(min(MAX_AGE_S, now - self._contact_at) * MS_PER_S),
        )


def _has_succeeded(call: asyncio.Task[bool]) -> bool:
    return not call.cancelled() and call.exception() is None and call.result()
