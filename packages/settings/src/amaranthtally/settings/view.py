"""What the daemon reads from a tree: accounts, pipelines, endpoints."""

from hashlib import sha256
from typing import Any

from amaranthtally.settings.catalogue import (
    ACCOUNT_KEY,
    DRAIN_PREFIX,
    ENDPOINT_PREFIX,
    NEXT_ACCOUNT_KEY,
)
from amaranthtally.settings.keys import find_key
from amaranthtally.settings.tree import Scope, Tree

__all__ = ["SettingsView", "hash_key"]


def hash_key(key: str) -> str:
    """Return the digest under which a client account's key is kept."""
    return sha256(key.encode()).hexdigest()


class SettingsView:
    """Look-ups in one tree, indexed once."""

    def __init__(self, tree: Tree) -> None:
        self._tree = tree
        self._accounts: dict[str, str] = {}
        self._endpoints: dict[str, dict[str, Any]] = {}
        drained: set[str] = set()
        for scope, key, value in tree.items():
            if key in (ACCOUNT_KEY, NEXT_ACCOUNT_KEY):
                self._accounts[value] = scope.account
            elif key.startswith(DRAIN_PREFIX) and value:
                drained.add(key.removeprefix(DRAIN_PREFIX))
            elif key.startswith(ENDPOINT_PREFIX):
                self._endpoints[key.removeprefix(ENDPOINT_PREFIX)] = value

        self._drained = frozenset(drained)

    @property
    def drained_hosts(self) -> frozenset[str]:
        """Hosts that the operators drain."""
        return self._drained

    @property
    def tree(self) -> Tree:
        """The tree that the view reads."""
        return self._tree

    @property
    def revision(self) -> int:
        """Revision of the tree."""
        return self._tree.revision

    @property
    def endpoints(self) -> dict[str, dict[str, Any]]:
        """Registered endpoints by id."""
        return self._endpoints

    @property
    def account_names(self) -> list[str]:
        """Names of the client accounts."""
        return list(dict.fromkeys(self._accounts.values()))

    def account_of(self, key: str) -> str | None:
        """Return the client account that a bearer key names."""
        return self._accounts.get(hash_key(key))

    def value(self, scope: Scope, key: str) -> Any:
        """Return the value that holds at ``scope``, or the key's own default."""
        found = self._tree.resolve(scope, key)
        if found is not None:
            return found
        known = find_key(key)
        return known.default if known is not None else None
