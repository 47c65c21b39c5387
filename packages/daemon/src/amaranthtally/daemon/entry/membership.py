"""Which endpoints take new work, by every word that an entry hears of them."""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Protocol

from amaranthtally.daemon.logs import get_logger
from amaranthtally.wire import Load

__all__ = ["Membership", "MembershipListener"]

log = get_logger()


class MembershipListener(Protocol):
    """Whoever sends work to endpoints."""

    def load_changed(self, endpoint: str, load: Load) -> None:
        """Take an endpoint's load; it takes work unless ``load.leaving``."""

    def endpoint_leaving(self, endpoint: str) -> None:
        """Send an endpoint nothing new."""

    def endpoint_restored(self, endpoint: str) -> None:
        """Send an endpoint work again."""


class Membership:
    """
    Joins four words: the sidecar's own, the operators', the platform's, silence.

    An endpoint takes new work only while none of them speaks against it. A sidecar
    on a host that drains may still say that it takes work, and a host may vanish
    without a word: so no word alone brings an endpoint back.
    """

    def __init__(self, listener: MembershipListener) -> None:
        self._listener = listener
        self._hosts: Mapping[str, str] = {}
        self._drained: frozenset[str] = frozenset()
        self._listed: frozenset[str] = frozenset()
        self._loads: dict[str, Load] = {}
        self._unreachable: set[str] = set()
        self._out: set[str] = set()

    @property
    def out(self) -> frozenset[str]:
        """Endpoints that get nothing new."""
        return frozenset(self._out)

    # Words

    def settings_changed(
        self, hosts: Mapping[str, str], drained: frozenset[str]
    ) -> None:
        """Take the host of each registered endpoint, and the hosts that drain."""
        for endpoint in self._hosts.keys() - hosts.keys():
            self._forget(endpoint)
        self._hosts = hosts
        self._change_hosts(self._drained ^ drained, drained, self._listed)

    def hosts_listed(self, leaving: frozenset[str]) -> None:
        """Take the hosts that the platform lists as leaving."""
        self._change_hosts(self._listed ^ leaving, self._drained, leaving)

    def load_heard(self, endpoint: str, load: Load) -> None:
        """Take a sidecar's own word."""
        self._loads[endpoint] = load
        self._unreachable.discard(endpoint)
        self._refresh(endpoint)

    def unreachable(self, endpoint: str) -> None:
        """Note that no connection could be made."""
        if endpoint in self._hosts:
            self._unreachable.add(endpoint)
            self._refresh(endpoint)

    def to_probe(self) -> list[str]:
        """Return the endpoints that only their own word can bring back."""
        return [e for e in self._out if not self._host_leaves(e)]

    # Decision

    def _change_hosts(
        self,
        changed: Iterable[str],
        drained: frozenset[str],
        listed: frozenset[str],
    ) -> None:
        self._drained, self._listed = drained, listed
        changed = frozenset(changed)
        if not changed:
            return
        for endpoint, host in self._hosts.items():
            if host in changed:
                self._refresh(endpoint)

    def _host_leaves(self, endpoint: str) -> bool:
        host = self._hosts.get(endpoint)
        return host in self._drained or host in self._listed

    def _refresh(self, endpoint: str) -> None:
        load = self._loads.get(endpoint)
        leaves = self._leaves(endpoint, load)
        changed = leaves != (endpoint in self._out)
        if changed:
            self._mark(endpoint, leaves)
        if load is not None:
            told = load if load.leaving == leaves else replace(load, leaving=leaves)
            self._listener.load_changed(endpoint, told)
        if changed and leaves:
            self._listener.endpoint_leaving(endpoint)
        elif changed:
            self._listener.endpoint_restored(endpoint)

    def _leaves(self, endpoint: str, load: Load | None) -> bool:
        if self._host_leaves(endpoint) or endpoint in self._unreachable:
            return True
        if load is None:
            # Out, and never greeted: its own word has to bring it back.
            return endpoint in self._out
        return load.leaving

    def _mark(self, endpoint: str, leaves: bool) -> None:
        if leaves:
            self._out.add(endpoint)
        else:
            self._out.discard(endpoint)
        log.info("endpoint_out" if leaves else "endpoint_back", endpoint=endpoint)

    def _forget(self, endpoint: str) -> None:
        self._loads.pop(endpoint, None)
        self._unreachable.discard(endpoint)
        self._out.discard(endpoint)
