"""What a sidecar remembers of calls that may not be repeated."""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field

from amaranthtally.wire import CallId, StageReply

__all__ = ["CallRecord", "CallRecords", "Tombstones"]


@dataclass(slots=True)
class CallRecord:
    """A call received by this incarnation; ``reply`` is done when it ended."""

    key: str
    received: float
    reply: "asyncio.Future[StageReply]" = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class CallRecords:
    """Records by call key, bounded by number and by age in seconds."""

    def __init__(self, capacity: int, ttl: float) -> None:
        self._capacity = capacity
        self._ttl = ttl
        self._records: OrderedDict[str, CallRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def find(self, key: str) -> CallRecord | None:
        """Return the record of a call, or ``None``."""
        return self._records.get(key)

    def open(self, now: float, key: str) -> CallRecord | None:
        """
        Record a new call; ``None`` when there is no room for it.

        Only ended calls make room: forgetting one that runs would let a repeat
        run it again.
        """
        self._expire(now)
        if len(self._records) >= self._capacity:
            return None
        record = CallRecord(key, now)
        self._records[key] = record
        return record

    def discard(self, key: str) -> None:
        """Forget a call that was refused before it started."""
        self._records.pop(key, None)

    def _expire(self, now: float) -> None:
        for key, record in list(self._records.items()):
            if now - record.received < self._ttl:
                return
            if record.reply.done():
                del self._records[key]


class Tombstones:
    """Ids of calls cancelled before they started, the last ``capacity`` of them."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._ids: OrderedDict[CallId, None] = OrderedDict()

    def __contains__(self, call_id: CallId) -> bool:
        return call_id in self._ids

    def add(self, call_id: CallId) -> None:
        """Refuse any copy of this call that arrives later."""
        self._ids[call_id] = None
        while len(self._ids) > self._capacity:
            self._ids.popitem(last=False)
