"""Listeners for the store's items, by the prefix of their keys."""

from collections.abc import Callable, Mapping
from functools import partial
from typing import Protocol

from amaranthtally.adapter.store import StoreItem
from amaranthtally.daemon.gateway.listener_guard import ListenerGuard

__all__ = ["BatchListener", "PrefixDispatcher", "PrefixListener"]


class PrefixListener(Protocol):
    """Receives the items under a prefix and the changes to them."""

    def replace(self, items: tuple[StoreItem, ...]) -> None:
        """Replace all known items by a complete listing of the prefix."""

    def apply_change(self, item: StoreItem) -> None:
        """Apply one changed or removed item."""


class BatchListener(PrefixListener, Protocol):
    """Is told as well when all changes that arrived together have been applied."""

    def changes_applied(self) -> None:
        """Note the end of a batch of changes."""


class PrefixDispatcher:
    """
    Passes each item to the listener of its key's prefix.

    One that raises keeps no other from its items; it gets all ``records`` later.
    ``on_batch`` holds what is called after each batch with changes under a prefix.
    """

    def __init__(
        self,
        listeners: Mapping[str, PrefixListener],
        guard: ListenerGuard,
        records: Callable[[], tuple[StoreItem, ...]],
        on_batch: Mapping[str, Callable[[], None]] | None = None,
    ) -> None:
        self._listeners = listeners
        self._guard = guard
        self._records = records
        self._on_batch = on_batch or {}
        # The last revision under each prefix with changes since the last batch.
        self._changed: dict[str, int] = {}

    def replace(self, items: tuple[StoreItem, ...]) -> None:
        """Give each listener all items under its prefix."""
        revision = max((item.revision for item in items), default=0)
        for prefix, listener in self._listeners.items():
            work = partial(listener.replace, _under(prefix, items))
            self._guard.apply_all(prefix, revision, work, self._retry(prefix))

    def apply_change(self, item: StoreItem) -> None:
        """Pass on one change; ignore keys that no listener's prefix matches."""
        for prefix, listener in self._listeners.items():
            if item.key.startswith(prefix):
                work = partial(listener.apply_change, item)
                self._guard.apply(prefix, item.revision, work, self._retry(prefix))
                self._changed[prefix] = item.revision

    def changes_applied(self) -> None:
        """Tell what takes changes in batches that one has ended."""
        changed, self._changed = self._changed, {}
        for prefix, work in self._on_batch.items():
            if prefix in changed:
                self._guard.apply(prefix, changed[prefix], work, self._retry(prefix))

    def _retry(self, prefix: str) -> Callable[[], None]:
        """Return what gives a listener the records that are held by then."""
        listener = self._listeners[prefix]
        return lambda: listener.replace(_under(prefix, self._records()))


def _under(prefix: str, items: tuple[StoreItem, ...]) -> tuple[StoreItem, ...]:
    return tuple(item for item in items if item.key.startswith(prefix))
