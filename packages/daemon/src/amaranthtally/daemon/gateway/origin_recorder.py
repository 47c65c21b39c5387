"""Records in the store where streams began, for the case that all gateways fail."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

import msgspec
from result import Err, Result

from amaranthtally.adapter.store import StoreItem, StoreWrite
from amaranthtally.daemon.gateway.record_faults import RecordFaults
from amaranthtally.daemon.logs import get_logger
from amaranthtally.decoding import decode_json
from amaranthtally.platform import StoreClient
from amaranthtally.policy import (
    OriginEntry,
    StreamOrigin,
    recording_entry,
    records_alone,
)

__all__ = ["ORIGINS_PREFIX", "OriginRecorder"]

ORIGINS_PREFIX = "origins/"
# Interval between writes, in seconds: a stream whose first event comes later than that
# before all gateways fail is known to nobody.
WRITE_INTERVAL_S = 0.25
# Most writes per second of all gateways together.
MAX_WRITES_PER_S = 24.0
# Each item holds the streams that became known in this time, in seconds. This many
# items are kept, so that the oldest holds no stream that may still be taken up.
SEGMENT_S = 4.0
SEGMENTS = 12
# A larger item is closed early, in bytes.
MAX_SEGMENT_BYTES = 65_536
# How long the items outlive their writer, in seconds, and when their lease is renewed.
LEASE_TTL_S = 60.0
RENEW_INTERVAL_S = 15.0
# Pause after a call that the store refused or did not answer, in seconds.
RETRY_DELAY_S = 1.0
# How long an origin that was read may be used, in seconds.
KEPT_S = SEGMENT_S * SEGMENTS

log = get_logger()


class _Group(msgspec.Struct, frozen=True):
    """Requests whose streams have one origin."""

    pool: str
    version: str
    requests: list[str]


@dataclass(slots=True)
class _Segment:
    """The item that is being written, and since when, a time stamp in seconds."""

    number: int
    opened_at: float
    entries: dict[str, StreamOrigin] = field(default_factory=dict)
    size: int = 0


class OriginRecorder:
    """
    Writes the origins that this gateway holds while a pool has several versions.

    Gateways hold the origins of streams and copies of others', but all of them may fail
    at once. In a small fleet each writes those that it began; in a larger one, one of
    each data centre writes all that it holds, and the others copy to it. Origins are
    facts and never change: what is read from the store may be old but is never wrong.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        client: StoreClient,
        held: Callable[[bool], Iterable[OriginEntry]],
        note: Callable[[Iterable[OriginEntry]], None],
        is_needed: Callable[[], bool],
        is_connected: Callable[[], bool],
        faults: RecordFaults,
    ) -> None:
        """
        Create it; ``note`` holds what is read.

        ``held`` returns what is held here, or only what this gateway has noted itself.
        ``is_needed`` says whether a pool has had several versions lately.
        """
        self._name = name
        self._faults = faults
        self._data_centre = data_centre
        self._client = client
        self._held = held
        self._note = note
        self._is_needed = is_needed
        self._is_connected = is_connected
        self._is_writer = True
        self._writes_own_only = True
        self._interval_s = WRITE_INTERVAL_S
        self._written: frozenset[str] = frozenset()
        self._segment = _Segment(0, 0.0)
        self._lease = 0
        self._renew_at = 0.0
        self._time = asyncio.get_running_loop().time

    def entries_changed(self, data_centres: Mapping[str, str]) -> None:
        """Choose the writer of this data centre among the live gateways."""
        writer = recording_entry(self._name, self._data_centre, data_centres)
        self._is_writer = writer == self._name
        self._writes_own_only = records_alone(data_centres)
        if self._writes_own_only:
            writers = 1 + len(data_centres)
        else:
            writers = len({self._data_centre, *data_centres.values()})
        self._interval_s = max(WRITE_INTERVAL_S, writers / MAX_WRITES_PER_S)

    def write_anew(self) -> None:
        """Write everything again under a new lease; the old one ends by itself."""
        self._lose_lease()

    async def run(self) -> None:
        """Write what is due until cancelled."""
        while True:
            await asyncio.sleep(self._interval_s)
            if not (self._is_writer and self._is_needed() and self._is_connected()):
                continue
            if not await self._write_due():
                await asyncio.sleep(RETRY_DELAY_S)

    # Items of the store

    def replace(self, items: tuple[StoreItem, ...]) -> None:
        """Hold the origins of a complete listing."""
        for item in items:
            self.apply_change(item)

    def apply_change(self, item: StoreItem) -> None:
        """Hold the origins of a written item; a removed one says nothing."""
        if item.value is None or item.key.startswith(self._own_prefix):
            return
        groups = self._faults.read(ORIGINS_PREFIX, item, _read_groups)
        if groups is None:
            return
        expires_at = self._time() + KEPT_S
        self._note(
            OriginEntry(request, StreamOrigin(group.pool, group.version), expires_at)
            for group in groups
            for request in group.requests
        )

    # Writing

    @property
    def _own_prefix(self) -> str:
        return f"{ORIGINS_PREFIX}{self._lease}/"

    async def _write_due(self) -> bool:
        """Write what is due; false if the store refused it or did not answer."""
        entries = self._held(self._writes_own_only)
        held = {entry.request_id: entry.origin for entry in entries}
        if not held and not self._lease:
            return True
        if not await self._hold_lease():
            return False
        # Only now: a new lease has none of what was written under the one before.
        due = {r: origin for r, origin in held.items() if r not in self._written}
        if not due:
            return True
        segment = self._current_segment()
        key = f"{self._own_prefix}{segment.number}"
        value = _encode(segment.entries | due)
        written = await self._client.transact([], [StoreWrite(key, value, self._lease)])
        if isinstance(written, Err):
            log.info("origins_not_recorded", cause=str(written.err_value))
            # The lease may have ended: the next try asks.
            self._renew_at = 0.0
            return False
        segment.entries |= due
        segment.size = len(value)
        self._written = frozenset(held)
        log.debug("origins_recorded", key=key, origins=len(due), bytes=len(value))
        return True

    def _current_segment(self) -> _Segment:
        now, segment = self._time(), self._segment
        is_over = now - segment.opened_at >= SEGMENT_S
        if segment.entries and (is_over or segment.size > MAX_SEGMENT_BYTES):
            segment = _Segment((segment.number + 1) % SEGMENTS, now)
            self._segment = segment
        elif not segment.entries:
            segment.opened_at = now
        return segment

    async def _hold_lease(self) -> bool:
        now = self._time()
        if self._lease and now < self._renew_at:
            return True
        if self._lease:
            renewed = await self._client.renew_lease(self._lease)
            if isinstance(renewed, Err):
                return False
            if not renewed.ok_value:
                self._lose_lease()
        if not self._lease:
            granted = await self._client.grant_lease(LEASE_TTL_S)
            if isinstance(granted, Err):
                return False
            self._lease = granted.ok_value
        self._renew_at = now + RENEW_INTERVAL_S
        return True

    def _lose_lease(self) -> None:
        self._lease = 0
        self._written = frozenset()
        self._segment = _Segment(0, self._time())


def _read_groups(value: bytes) -> Result[list[_Group], str]:
    return decode_json(value, list[_Group]).map_err(str)


def _encode(entries: Mapping[str, StreamOrigin]) -> bytes:
    groups: dict[StreamOrigin, list[str]] = {}
    for request, origin in entries.items():
        groups.setdefault(origin, []).append(request)
    return msgspec.json.encode(
        [_Group(*origin, requests) for origin, requests in groups.items()]
    )
