"""Where callers' streams began; a stream goes on only at endpoints of its origin."""

from typing import NamedTuple

__all__ = ["OriginEntry", "StreamOrigin", "StreamOrigins"]

# Most entries that are held. The oldest are dropped first.
MAX_ENTRIES = 20_000
# Interval between removals of expired entries, in seconds.
SWEEP_INTERVAL_S = 5.0


class StreamOrigin(NamedTuple):
    """
    The pool and the software version of the endpoint that sent a stream's first event.

    Endpoints do not check what another version of their software has written. If one
    went on with such a stream, its caller would get an answer whose parts do not fit
    together, and could not tell.
    """

    pool: str
    version: str


class OriginEntry(NamedTuple):
    """The origin of the stream that a request began, kept until a time stamp."""

    request_id: str
    origin: StreamOrigin
    expires_at: float


class StreamOrigins:
    """
    Origins by the id of the request that brought the first event; times in seconds.

    An origin never changes, so that any holder of an entry may answer for all of them.
    """

    def __init__(self) -> None:
        self._entries: dict[str, OriginEntry] = {}
        self._sweep_at = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def put(self, now: float, entry: OriginEntry) -> None:
        """Add an entry, or extend the one that is held for its request."""
        if now >= self._sweep_at:
            self._sweep(now)
        held = self._entries.pop(entry.request_id, None)
        if held is not None and held.expires_at > now:
            until = max(held.expires_at, entry.expires_at)
            entry = held._replace(expires_at=until)
        self._entries[entry.request_id] = entry
        if len(self._entries) > MAX_ENTRIES:
            del self._entries[next(iter(self._entries))]

    def find(self, now: float, request_id: str) -> OriginEntry | None:
        """Return the entry of a request, or ``None`` if none is held."""
        entry = self._entries.get(request_id)
        return entry if entry is not None and entry.expires_at > now else None

    def entries(self, now: float) -> tuple[OriginEntry, ...]:
        """Return all entries that have not expired."""
        return tuple(e for e in self._entries.values() if e.expires_at > now)

    def _sweep(self, now: float) -> None:
        self._entries = {entry.request_id: entry for entry in self.entries(now)}
        self._sweep_at = now + SWEEP_INTERVAL_S
