"""Distributes settings between processes: those behind fetch from those ahead."""

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
from amaranthtally.daemon.supervision import Supervisor
from amaranthtally.settings import Tree
from amaranthtally.wire import (
    SettingsDelta,
    SettingsFetcher,
    SidecarClient,
    WireError,
    connect_sidecar,
)

__all__ = ["ENTRY_LINKS", "SIDECAR_LINKS", "SettingsSync"]

ENTRY_LINKS = LinkPlan(ring=0, hashed=8)
SIDECAR_LINKS = LinkPlan(ring=2, hashed=1)
ROUND_INTERVAL_S = 2.0
ROUND_JITTER = 0.25
PEER_TIMEOUT_S = 1.0
FETCH_TIMEOUT_S = 5.0
# Seconds after which a second fetch is started while the first hangs. There is never
# a third: on a slow link they would share the bandwidth, and none would complete.
SECOND_FETCH_AFTER_S = 0.5
MAX_FETCHES = 2
MAX_SOURCES = 16

log = get_logger()


@dataclass(frozen=True, slots=True)
class _FetchTarget:
    """A peer's revision and the function that fetches settings from the peer."""

    revision: int
    fetch: SettingsFetcher


class SettingsSync:
    """
    Announces each new revision to some sidecars and fetches missing settings.

    Announcements are repeated in rounds of about two seconds, so that a lost message,
    a restart or a network partition can delay a change but never lose it.
    """

    def __init__(
        self,
        name: str,
        state: SettingsState,
        plan: LinkPlan,
        supervisor: Supervisor,
        other_endpoints: Sequence[str] = (),
    ) -> None:
        self._name = name
        self._other_endpoints = other_endpoints
        self._state = state
        self._plan = plan
        self._supervisor = supervisor
        self._endpoints: dict[str, Any] = {}
        self._addresses: tuple[str, ...] = ()
        self._clients: dict[str, SidecarClient] = {}
        self._peer_revisions: dict[str, int] = {}
        self._sources: dict[str, SettingsFetcher] = {}
        self._next_target: _FetchTarget | None = None
        self._fetches: dict[asyncio.Task[None], float] = {}
        self._announcing: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._changed = asyncio.Event()
        state.add_listener(self._on_change)

    @property
    def revision(self) -> int:
        """Revision of the settings in force here."""
        return self._state.revision

    def changes_since(self, revision: int) -> SettingsDelta:
        """Return the settings that a peer at ``revision`` is missing."""
        return self._state.changes_since(revision)

    # Fetching from peers

    def add_source(self, name: str, revision: int, fetch: SettingsFetcher) -> None:
        """Register a connected peer as a source of settings and note its revision."""
        self._sources.pop(name, None)
        self._sources[name] = fetch
        if len(self._sources) > MAX_SOURCES:
            del self._sources[next(iter(self._sources))]
        self.note_revision(revision, fetch)

    def note_revision(
        self, revision: int, fetch: SettingsFetcher | None = None
    ) -> None:
        """Start a background fetch if a peer's revision is newer than the local one."""
        if revision <= self._state.revision:
            return
        if fetch is None and self._sources:
            fetch = next(reversed(self._sources.values()))
        if fetch is None:
            return
        self._next_target = _FetchTarget(revision, fetch)
        # One fetch at a time, unless it hangs because its peer is paused.
        now = asyncio.get_running_loop().time()
        if len(self._fetches) >= MAX_FETCHES:
            return
        if all(
            now - started > SECOND_FETCH_AFTER_S for started in self._fetches.values()
        ):
            self._fetches[self._spawn(self._fetch_targets())] = now

    async def _fetch_targets(self) -> None:
        while (target := self._next_target) is not None:
            self._next_target = None
            if target.revision > self._state.revision:
                await self._fetch(target)

    async def _fetch(self, target: _FetchTarget) -> None:
        try:
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                delta = await target.fetch(self._state.revision)
        except (WireError, TimeoutError) as error:
            # The next announcement, call or round starts another fetch.
            log.debug("settings_fetch_failed", cause=str(error) or "timeout")
            return
        self._state.apply_delta(delta, "peer")

    # Announcing to peers

    async def run(self) -> None:
        """Announce the revision on each change and in each round; never returns."""
        while True:
            self._announce_to_all()
            await self._next_round()

    def announce_anew(self) -> None:
        """Forget what peers have answered, so that all are told the revision again."""
        self._peer_revisions.clear()

    async def close(self) -> None:
        """Close the connections and cancel the running tasks."""
        for client in self._clients.values():
            client.close()
        for task in list(self._tasks):
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task

    async def _next_round(self) -> None:
        wait = ROUND_INTERVAL_S * uniform(1 - ROUND_JITTER, 1 + ROUND_JITTER)
        with suppress(TimeoutError):
            async with asyncio.timeout(wait):
                await self._changed.wait()
                self._changed.clear()
                return
        # No change during a whole round: announce to all peers again, because one may
        # have restarted or lost a message.
        self._peer_revisions.clear()

    def _on_change(self, tree: Tree) -> None:
        endpoints = endpoint_registrations(tree)
        # Sorting all endpoints on every change, such as that of a limit, would cost too
        # much; links depend on the registrations only.
        if endpoints != self._endpoints:
            self._endpoints = endpoints
            self._addresses = choose_links(
                endpoints, self._name, self._plan, self._other_endpoints
            )
            for address in set(self._clients) - set(self._addresses):
                self._clients.pop(address).close()
        self._changed.set()

    def _announce_to_all(self) -> None:
        for address in self._addresses:
            is_behind = self._peer_revisions.get(address, -1) < self._state.revision
            # Each announcement runs in its own task, so that a peer that does not
            # answer does not delay the others.
            if is_behind and address not in self._announcing:
                self._announcing.add(address)
                self._spawn(self._announce(address))

    async def _announce(self, address: str) -> None:
        revision = self._state.revision
        try:
            async with asyncio.timeout(PEER_TIMEOUT_S):
                client = await self._client(address)
                peer_revision = await client.announce_revision(revision, self._state)
        except (WireError, TimeoutError):
            self._drop(address)
            return
        finally:
            self._announcing.discard(address)
        # A peer that is behind fetches the announced revision. If its fetch fails, the
        # next round announces the revision again.
        self._peer_revisions[address] = max(peer_revision, revision)
        self.note_revision(peer_revision, client.changes_since)

    async def _client(self, address: str) -> SidecarClient:
        client = self._clients.get(address)
        if client is None:
            host, port = split_address(address)
            client = await connect_sidecar(host, port, PEER_TIMEOUT_S)
            self._clients[address] = client
        return client

    def _drop(self, address: str) -> None:
        client = self._clients.pop(address, None)
        if client is not None:
            client.close()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self._supervisor.spawn_call(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._fetches.pop(task, None)
