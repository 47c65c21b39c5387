"""What a sidecar remembers of calls that were cancelled."""

from collections import OrderedDict

from amaranthtally.wire import CallId

__all__ = ["Tombstones"]


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
