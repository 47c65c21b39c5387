"""Remembers the ids of cancelled calls."""

from collections import OrderedDict

from amaranthtally.wire import CallId

__all__ = ["Tombstones"]


class Tombstones:
    """The ids of the last ``capacity`` calls that were cancelled before starting."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._ids: OrderedDict[CallId, None] = OrderedDict()

    def __contains__(self, call_id: CallId) -> bool:
        return call_id in self._ids

    def add(self, call_id: CallId) -> None:
        """Add a call, so that copies of it that arrive later are rejected."""
        self._ids[call_id] = None
        while len(self._ids) > self._capacity:
            self._ids.popitem(last=False)
