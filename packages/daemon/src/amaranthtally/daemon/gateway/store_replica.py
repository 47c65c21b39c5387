"""A copy of the store's records, and the last changes for gateways that follow."""

from collections import deque
from collections.abc import Callable

from amaranthtally.adapter.configuration import CONFIGURATION_KEY
from amaranthtally.adapter.store import StoreItem
from amaranthtally.daemon.gateway.prefix_listener import BatchListener
from amaranthtally.wire.changes import ChangeBatch, RecordChange, first_batch

__all__ = ["StoreReplica"]

# Number of last changes that are kept. A gateway that lacks more reads all records.
MAX_CHANGES_KEPT = 1024


class StoreReplica:
    """
    Holds the store's records up to a revision, and passes changes on in order.

    Changes arrive from the store and from peers, and may arrive twice or late. Applied
    again, an old one would bring back an endpoint that has left since. Changes up to
    the revision that is held are therefore dropped. The configuration is passed on but
    not held, since it has its own version and is read in parts.
    """

    def __init__(
        self, listener: BatchListener, on_advance: Callable[[], None] | None = None
    ) -> None:
        self._listener = listener
        self._on_advance = on_advance or (lambda: None)
        self._revision = 0
        self._items: dict[str, StoreItem] = {}
        self._changes: deque[RecordChange] = deque()
        # All changes after this revision are in ``_changes``.
        self._changes_from = 0

    @property
    def revision(self) -> int:
        """The revision up to which all changes are known; 0 before any listing."""
        return self._revision

    @property
    def items(self) -> tuple[StoreItem, ...]:
        """The records held, encoded as in the store."""
        return tuple(self._items.values())

    def replace(self, items: tuple[StoreItem, ...], revision: int) -> None:
        """Apply a complete listing, unless newer changes are known already."""
        if revision < self._revision:
            return
        held = {item.key: item for item in items if _is_record(item)}
        if self._revision:
            self._keep(self._differences(held, revision))
        else:
            self._changes_from = revision
        self._items = held
        self._revision = revision
        self._listener.replace(items)
        self._on_advance()

    def apply(self, items: tuple[StoreItem, ...], revision: int) -> None:
        """Apply changes in order; there are no others up to ``revision``."""
        # The changes may have come from a peer first, which does not send the
        # configuration with them. It is passed on whatever the revision.
        for item in items:
            if item.key == CONFIGURATION_KEY:
                self._listener.apply_change(item)
                self._listener.changes_applied()
        if revision <= self._revision:
            return
        records = [
            item
            for item in items
            if item.revision > self._revision and _is_record(item)
        ]
        for item in records:
            if item.value is None:
                self._items.pop(item.key, None)
            else:
                self._items[item.key] = item
        self._keep([RecordChange(i.key, i.value, i.revision) for i in records])
        self._revision = revision
        for item in records:
            self._listener.apply_change(item)
        self._listener.changes_applied()
        self._on_advance()

    def note_written(self, item: StoreItem) -> None:
        """
        Apply a record that this gateway has written, before any watch returns it.

        If the store goes away between the write and the watch, no other gateway learns
        of the record from it. They read it from this one, whose revision shows that
        there is news; unless changes before the write are missing here too, as the
        revision would then hide those.
        """
        if item.revision == self._revision + 1:
            self.apply((item,), item.revision)
        elif item.revision > self._revision:
            self._listener.apply_change(item)
            self._listener.changes_applied()

    def clear(self) -> None:
        """Forget all records; the next listing replaces them."""
        self._revision = 0
        self._items = {}
        self._changes.clear()

    def changes_after(self, revision: int) -> ChangeBatch | None:
        """Return the first changes after a revision; ``None`` if they are not kept."""
        if not self._changes_from <= revision <= self._revision:
            return None
        changes = [change for change in self._changes if change.revision > revision]
        return first_batch(revision, self._revision, changes)

    def _differences(
        self, held: dict[str, StoreItem], revision: int
    ) -> list[RecordChange]:
        # Pages of a listing are read one after the other: items of later pages may be
        # newer than its revision, and are returned again by the watch that goes on
        # there. Nor does a listing say at which revision a record was removed. Its own
        # is later than that of each gateway that still has the record.
        changed = [
            RecordChange(item.key, item.value, item.revision)
            for item in held.values()
            if self._revision < item.revision <= revision
        ]
        removed = [
            RecordChange(k, None, revision) for k in self._items if k not in held
        ]
        return sorted(changed, key=lambda change: change.revision) + removed

    def _keep(self, changes: list[RecordChange]) -> None:
        self._changes.extend(changes)
        while len(self._changes) > MAX_CHANGES_KEPT:
            self._changes_from = self._changes.popleft().revision


def _is_record(item: StoreItem) -> bool:
    """Whether an item is held; followers refuse changes with an empty key."""
    return item.key not in ("", CONFIGURATION_KEY)
