"""Look-ups for the daemon in a settings tree: accounts, endpoints and values."""

from hashlib import sha256
from typing import Any

from amaranthtally.settings.catalogue import (
    ACCOUNT_KEY,
    DRAIN_PREFIX,
    ENDPOINT_PREFIX,
    EVACUATION_PREFIX,
    NEXT_ACCOUNT_KEY,
)
from amaranthtally.settings.keys import find_key
from amaranthtally.settings.tree import Scope, Tree

__all__ = ["SettingsView", "hash_key"]


def hash_key(key: str) -> str:
    """Return the digest by which the tree stores a client account's key."""
    return sha256(key.encode()).hexdigest()


class SettingsView:
    """Look-ups in one tree, with indexes built at construction."""

    def __init__(self, tree: Tree) -> None:
        self._tree = tree
        self._accounts: dict[str, str] = {}
        self._endpoints: dict[str, dict[str, Any]] = {}
        drained: set[str] = set()
        evacuated: set[str] = set()
        for scope, key, value in tree.items():
            if key in (ACCOUNT_KEY, NEXT_ACCOUNT_KEY):
                self._accounts[value] = scope.account
            elif key.startswith(DRAIN_PREFIX) and value:
                drained.add(key.removeprefix(DRAIN_PREFIX))
            elif key.startswith(EVACUATION_PREFIX) and value:
                evacuated.add(key.removeprefix(EVACUATION_PREFIX))
            elif key.startswith(ENDPOINT_PREFIX):
                self._endpoints[key.removeprefix(ENDPOINT_PREFIX)] = value
        self._drained = frozenset(drained)
        self._evacuated = frozenset(evacuated)

    @property
    def drained_hosts(self) -> frozenset[str]:
        """Hosts that operators have drained."""
        return self._drained

    @property
    def evacuated_data_centres(self) -> frozenset[str]:
        """Data centres that operators have evacuated."""
        return self._evacuated

    @property
    def tree(self) -> Tree:
        """The tree on which the view is based."""
        return self._tree

    @property
    def revision(self) -> int:
        """Revision of the tree."""
        return self._tree.revision

    @property
    def endpoints(self) -> dict[str, dict[str, Any]]:
        """Registrations of endpoints by endpoint id."""
        return self._endpoints

    @property
    def account_names(self) -> list[str]:
        """Names of the client accounts."""
        return list(dict.fromkeys(self._accounts.values()))

    def account_of(self, key: str) -> str | None:
        """Return the name of the client account with this bearer key, or ``None``."""
        return self._accounts.get(hash_key(key))

    def value(self, scope: Scope, key: str) -> Any:
        """Return the effective value at ``scope``, or else the default of the key."""
        set_value = self._tree.resolve(scope, key)
        if set_value is not None:
            return set_value
        registered = find_key(key)
        return registered.default if registered is not None else None
