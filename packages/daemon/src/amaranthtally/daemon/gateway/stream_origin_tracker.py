"""Keeps the origins of streams at several gateways, and finds those of any gateway."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from amaranthtally.daemon.gateway.peer_connections import PeerConnections
from amaranthtally.daemon.logs import get_logger
from amaranthtally.policy import (
    OriginEntry,
    StreamOrigin,
    StreamOrigins,
    lookup_rounds,
    recording_entry,
    replica_holders,
)
from amaranthtally.wire import PeerLostError

__all__ = ["OriginSearch", "StreamOriginTracker"]

# How long copies wait for others to the same peer, in seconds. A gateway that is killed
# loses what it has not yet copied.
BATCH_INTERVAL_S = 0.2
# The same to the gateway that records for all of its data centre, in seconds.
RECORDER_INTERVAL_S = 1.0
# Most entries in one call. With names of usual length, a call takes about 20 KB.
MAX_BATCH = 256
# Pause before copies are sent again to a holder that did not answer, in seconds.
RETRY_DELAY_S = 0.5
# Time for the answers of one round of peers, in seconds: ten round trips to another
# region. The caller waits for it.
ROUND_TIMEOUT_S = 0.25
# Most searches at a time. Each calls many peers, and callers decide how many there are.
MAX_SEARCHES = 128

log = get_logger()


@dataclass(frozen=True, slots=True)
class OriginSearch:
    """What is known of a stream; not all were asked unless it ``is_complete``."""

    entry: OriginEntry | None = None
    is_complete: bool = True


class StreamOriginTracker:
    """
    Holds the origins of this gateway's streams, and copies of other gateways'.

    Callers may take a stream up at any gateway, most often as the one that began it has
    failed. Each origin is therefore copied to two others, and to the one that records
    those of the data centre. All pass on what they hold when they leave.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        connections: PeerConnections,
        spawn: Callable[[Coroutine[Any, Any, None]], object],
    ) -> None:
        self._name = name
        self._data_centre = data_centre
        self._connections = connections
        self._spawn = spawn
        self._origins = StreamOrigins()
        self._data_centres: Mapping[str, str] = {}
        self._holders: tuple[str, ...] = ()
        self._recorder = ""
        # Of these, what this gateway noted itself, and what peers have copied.
        self._noted = StreamOrigins()
        self._copied = StreamOrigins()
        self._queues: dict[str, dict[str, OriginEntry]] = {}
        self._sending: set[str] = set()
        self._searches = 0
        self._time = asyncio.get_running_loop().time

    @property
    def count(self) -> int:
        """Number of origins that are held, copies included."""
        return len(self._origins)

    def note(self, request_id: str, origin: StreamOrigin, expires_at: float) -> None:
        """Hold the origin of a stream until a time stamp, here and at the holders."""
        entry = OriginEntry(request_id, origin, expires_at)
        now = self._time()
        self._origins.put(now, entry)
        self._noted.put(now, entry)
        self._copy([entry], self._holders)

    def copies_received(self, entries: Iterable[OriginEntry]) -> None:
        """Hold copies that a peer has sent."""
        now = self._time()
        for entry in entries:
            self._origins.put(now, entry)
            self._copied.put(now, entry)

    def records_read(self, entries: Iterable[OriginEntry]) -> None:
        """Hold what the store has; it is neither passed on nor written again."""
        now = self._time()
        for entry in entries:
            self._origins.put(now, entry)

    def entries(self, own_only: bool) -> tuple[OriginEntry, ...]:
        """Return what was noted here, and peers' copies unless ``own_only``."""
        now = self._time()
        noted = self._noted.entries(now)
        return noted if own_only else (*noted, *self._copied.entries(now))

    def entries_changed(self, data_centres: Mapping[str, str]) -> None:
        """Copy to new holders after a change of the set of the other live gateways."""
        self._data_centres = data_centres
        before = self._holders
        holders = replica_holders(self._name, self._data_centre, data_centres)
        recorder = recording_entry(self._name, self._data_centre, data_centres)
        self._recorder = "" if recorder in (self._name, *holders) else recorder
        recorders = (self._recorder,) if self._recorder else ()
        self._holders = (*holders, *recorders)
        self._copy_all([name for name in self._holders if name not in before])

    def leave(self) -> None:
        """Copy all that is held, as this gateway is leaving."""
        self._copy_all(self._holders)

    def find_held(self, request_id: str) -> OriginEntry | None:
        """Return the origin of the stream that a request began, if it is held here."""
        return self._origins.find(self._time(), request_id)

    async def find(self, request_id: str) -> OriginSearch:
        """Return the origin of the stream that a request began, here or at a peer."""
        held = self.find_held(request_id)
        if held is not None:
            return OriginSearch(held)
        if self._searches >= MAX_SEARCHES or not self._data_centres:
            return OriginSearch(is_complete=False)
        self._searches += 1
        try:
            return await self._search(request_id)
        finally:
            self._searches -= 1

    async def _search(self, request_id: str) -> OriginSearch:
        is_complete = True
        for peers in lookup_rounds(self._data_centre, self._data_centres):
            search = await self._ask_all(peers, request_id)
            if search.entry is not None:
                self._origins.put(self._time(), search.entry)
                return search
            is_complete = is_complete and search.is_complete
        return OriginSearch(is_complete=is_complete)

    async def _ask_all(self, peers: Sequence[str], request_id: str) -> OriginSearch:
        calls = [asyncio.create_task(self._ask(peer, request_id)) for peer in peers]
        is_complete = True
        try:
            async with asyncio.timeout(ROUND_TIMEOUT_S):
                for next_answer in asyncio.as_completed(calls):
                    answer = await next_answer
                    if answer.entry is not None:
                        return answer
                    is_complete = is_complete and answer.is_complete
        except TimeoutError:
            is_complete = False
        finally:
            for call in calls:
                call.cancel()
        return OriginSearch(is_complete=is_complete)

    async def _ask(self, peer: str, request_id: str) -> OriginSearch:
        try:
            return OriginSearch(await self._connections.find_origin(peer, request_id))
        except PeerLostError as error:
            log.info("origin_not_asked", peer=peer, cause=str(error))
            return OriginSearch(is_complete=False)

    # Copies

    def _copy_all(self, peers: Sequence[str]) -> None:
        entries = self.entries(own_only=False) if peers else ()
        if entries:
            self._copy(entries, peers)

    def _copy(self, entries: Iterable[OriginEntry], peers: Sequence[str]) -> None:
        for peer in peers:
            queue = self._queues.setdefault(peer, {})
            queue.update((entry.request_id, entry) for entry in entries)
            if peer not in self._sending:
                self._sending.add(peer)
                self._spawn(self._send_queue(peer))

    async def _send_queue(self, peer: str) -> None:
        try:
            pause_s = interval_s = self._interval_s(peer)
            while peer in self._queues:
                await asyncio.sleep(pause_s)
                entries = tuple(self._queues.pop(peer).values())
                if peer not in self._holders:
                    return
                is_sent = await self._send(peer, entries)
                pause_s = interval_s if is_sent else RETRY_DELAY_S
                if not is_sent:
                    # It may have restarted, and then holds nothing of what it was sent.
                    held = self.entries(own_only=False)
                    self._queues[peer] = {entry.request_id: entry for entry in held}
        finally:
            self._sending.discard(peer)

    def _interval_s(self, peer: str) -> float:
        return RECORDER_INTERVAL_S if peer == self._recorder else BATCH_INTERVAL_S

    async def _send(self, peer: str, entries: Sequence[OriginEntry]) -> bool:
        try:
            for first in range(0, len(entries), MAX_BATCH):
                batch = entries[first : first + MAX_BATCH]
                await self._connections.copy_origins(peer, batch)
        except PeerLostError as error:
            log.info(
                "origins_not_copied", peer=peer, origins=len(entries), cause=str(error)
            )
            return False
        return True
