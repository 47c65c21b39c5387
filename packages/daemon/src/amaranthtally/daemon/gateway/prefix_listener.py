"""Listeners for the store's items, by the prefix of their keys."""

from collections.abc import Mapping
from typing import Protocol

from amaranthtally.adapter.store import StoreItem

__all__ = ["PrefixDispatcher", "PrefixListener"]


class PrefixListener(Protocol):
    """Receives the items under a prefix and the changes to them."""

    def replace(self, items: tuple[StoreItem, ...]) -> None:
        """Replace all known items by a complete listing of the prefix."""

    def apply_change(self, item: StoreItem) -> None:
        """Apply one changed or removed item."""


class PrefixDispatcher:
    """Passes each item to the listener of its key's prefix."""

    def __init__(self, listeners: Mapping[str, PrefixListener]) -> None:
        self._listeners = listeners

    def replace(self, items: tuple[StoreItem, ...]) -> None:
        """Give each listener all items under its prefix."""
        for prefix, listener in self._listeners.items():
            listener.replace(tuple(i for i in items if i.key.startswith(prefix)))

    def apply_change(self, item: StoreItem) -> None:
        """Pass on one change; ignore keys that no listener's prefix matches."""
        for prefix, listener in self._listeners.items():
            if item.key.startswith(prefix):
                listener.apply_change(item)
