"""Spreads settings between processes: the one behind fetches from the one ahead."""

import asyncio
from collections.abc import Coroutine, Sequence
from contextlib import suppress
from dataclasses import dataclass
from random import uniform
from typing import Any

from amaranthtally.daemon.lifecycle import split_address
from amaranthtally.daemon.logs import get_logger
from amaranthtally.daemon.settings_links import (
    LinkPlan,
    choose_links,
    endpoint_registrations,
)
from amaranthtally.daemon.settings_state import SettingsState
from amaranthtally.settings import Tree
from amaranthtally.wire import (
    SettingsDelta,
    SettingsFetcher,
    SidecarClient,
    WireError,
    connect_sidecar,
)

__all__ = ["ENTRY_LINKS", "SIDECAR_LINKS", "SettingsSync"]

ENTRY_LINKS = LinkPlan(ring=0, drawn=8)
SIDECAR_LINKS = LinkPlan(ring=2, drawn=1)
ROUND_S = 2.0
ROUND_SPREAD = 0.25
PEER_TIMEOUT_S = 1.0
FETCH_TIMEOUT_S = 5.0
# After which a second fetch begins beside one that hangs, in seconds; never a third:
# over a thin link they would share it, and none would end.
HEDGE_S = 0.5
MOST_FETCHES = 2
KEPT_SOURCES = 16

log = get_logger()


@dataclass(frozen=True, slots=True)
class _News:
    """A revision that a peer has, and how to read it."""

    revision: int
    fetch: SettingsFetcher


class SettingsSync:
    """
    Tells a few sidecars each newer revision and fetches what this process lacks.

    A round every two seconds or so repeats it, so that a lost message, a restart
    or a parted network delays a change and never loses it.
    """

    def __init__(
        self,
        name: str,
        state: SettingsState,
        plan: LinkPlan,
        beside: Sequence[str] = (),
    ) -> None:
        self._name = name
        self._beside = beside
        self._state = state
        self._plan = plan
        self._endpoints: dict[str, Any] = {}
        self._addresses: tuple[str, ...] = ()
        self._clients: dict[str, SidecarClient] = {}
        self._known: dict[str, int] = {}
        self._sources: dict[str, SettingsFetcher] = {}
        self._news: _News | None = None
        self._fetches: dict[asyncio.Task[None], float] = {}
        self._telling: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._changed = asyncio.Event()
        state.add_listener(self._on_change)

    @property
    def revision(self) -> int:
        """Revision of the settings in force here."""
        return self._state.revision

    def changes_since(self, revision: int) -> SettingsDelta:
        """Return what a peer at ``revision`` lacks."""
        return self._state.changes_since(revision)

    # Hearing

    def add_source(self, name: str, revision: int, fetch: SettingsFetcher) -> None:
        """Keep a peer that greeted us as one to fetch from."""
        self._sources.pop(name, None)
        self._sources[name] = fetch
        if len(self._sources) > KEPT_SOURCES:
            del self._sources[next(iter(self._sources))]
        self.note_revision(revision, fetch)

    def note_revision(
        self, revision: int, fetch: SettingsFetcher | None = None
    ) -> None:
        """Take note of a peer's revision; fetch what is lacking, in the background."""
        if revision <= self._state.revision:
            return
        if fetch is None and self._sources:
            fetch = next(reversed(self._sources.values()))
        if fetch is None:
            return
        self._news = _News(revision, fetch)
        # One fetch at a time, unless it hangs: its peer may be paused.
        now = asyncio.get_running_loop().time()
        if len(self._fetches) >= MOST_FETCHES:
            return
        if all(now - started > HEDGE_S for started in self._fetches.values()):
            self._fetches[self._spawn(self._fetch_news())] = now

    async def _fetch_news(self) -> None:
        while (news := self._news) is not None:
            self._news = None
            if news.revision > self._state.revision:
                await self._fetch(news)

    async def _fetch(self, news: _News) -> None:
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                gap = await news.fetch(self._state.revision)
        except (WireError, TimeoutError) as error:
            # The next announcement, call or round tries again.
            log.debug("settings_fetch_failed", cause=str(error) or "timeout")
            return
        self._state.apply_delta(gap, "peer")

    # Telling

    async def run(self) -> None:
        """Tell the linked sidecars of each change, and every round; never returns."""
        while True:
            self._tell_all()
            await self._next_round()

    async def close(self) -> None:
        """Close the connections and end what is in flight."""
        for client in self._clients.values():
            client.close()
        for task in list(self._tasks):
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task

    async def _next_round(self) -> None:
        wait = ROUND_S * uniform(1 - ROUND_SPREAD, 1 + ROUND_SPREAD)
        with suppress(TimeoutError):
            async with asyncio.timeout(wait):
                await self._changed.wait()
                self._changed.clear()
                return
        # A whole round has passed without news: ask everyone again.
        self._known.clear()

    def _on_change(self, tree: Tree) -> None:
        endpoints = endpoint_registrations(tree)
        # Sorting all endpoints at each change of a limit would cost too much.
        if endpoints != self._endpoints:
            self._endpoints = endpoints
            self._addresses = choose_links(
                endpoints, self._name, self._plan, self._beside
            )
            for address in set(self._clients) - set(self._addresses):
                self._clients.pop(address).close()
        self._changed.set()

    def _tell_all(self) -> None:
        for address in self._addresses:
            behind = self._known.get(address, -1) < self._state.revision
            # A peer that does not answer must not hold up the others.
            if behind and address not in self._telling:
                self._telling.add(address)
                self._spawn(self._tell(address))

    async def _tell(self, address: str) -> None:
        revision = self._state.revision
        try:
            async with asyncio.timeout(PEER_TIMEOUT_S):
                client = await self._client(address)
                known = await client.announce_revision(revision, self._state)
        except (WireError, TimeoutError):
            self._drop(address)
            return
        finally:
            self._telling.discard(address)
        # A peer that is behind fetches what was announced, or asks at the next round.
        self._known[address] = max(known, revision)
        self.note_revision(known, client.changes_since)

    async def _client(self, address: str) -> SidecarClient:
        found = self._clients.get(address)
        if found is None:
            host, port = split_address(address)
            found = await connect_sidecar(host, port, PEER_TIMEOUT_S)
            self._clients[address] = found
        return found

    def _drop(self, address: str) -> None:
        client = self._clients.pop(address, None)
        if client is not None:
            client.close()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        return task

    def _forget(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._fetches.pop(task, None)
