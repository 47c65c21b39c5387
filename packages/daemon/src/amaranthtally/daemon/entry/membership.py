"""Determines which endpoints take new calls, from four sources."""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from typing import Protocol

from amaranthtally.daemon.logs import get_logger
from amaranthtally.wire import Load

__all__ = ["Membership", "MembershipListener"]

log = get_logger()


class MembershipListener(Protocol):
    """Receives changes of endpoints' availability; implemented by the executor."""

    def load_changed(self, endpoint: str, load: Load) -> None:
        """Apply an endpoint's load; it takes new calls unless ``load.leaving``."""

    def endpoint_leaving(self, endpoint: str) -> None:
        """Stop sending new calls to an endpoint."""

    def endpoint_restored(self, endpoint: str) -> None:
        """Resume sending calls to an endpoint."""


class Membership:
    """
    Combines four sources on whether an endpoint takes new calls.

    These are the load that the sidecar reports, the hosts that operators drain, the
    platform's list of leaving hosts, and failed connections. An endpoint is available
    only if none of them excludes it: a sidecar on a draining host may still report
    that it takes calls, and a host may disappear without notice.
    """

    def __init__(self, listener: MembershipListener) -> None:
        self._listener = listener
        self._hosts: Mapping[str, str] = {}
        self._drained_hosts: frozenset[str] = frozenset()
        self._listed_hosts: frozenset[str] = frozenset()
        self._loads: dict[str, Load] = {}
        self._unreachable: set[str] = set()
        self._unavailable: set[str] = set()

    @property
    def unavailable(self) -> frozenset[str]:
        """Endpoints that get no new calls."""
        return frozenset(self._unavailable)

    # Sources

    def settings_changed(
        self, hosts: Mapping[str, str], drained_hosts: frozenset[str]
    ) -> None:
        """Set the host of each registered endpoint, and the hosts being drained."""
        for endpoint in self._hosts.keys() - hosts.keys():
            self._remove(endpoint)
        self._hosts = hosts
        self._update_hosts(
            self._drained_hosts ^ drained_hosts, drained_hosts, self._listed_hosts
        )

    def set_listed_hosts(self, leaving: frozenset[str]) -> None:
        """Set the hosts that the platform lists as leaving."""
        self._update_hosts(self._listed_hosts ^ leaving, self._drained_hosts, leaving)

    def apply_load(self, endpoint: str, load: Load) -> None:
        """Apply the load that a sidecar reported."""
        self._loads[endpoint] = load
        self._unreachable.discard(endpoint)
        self._refresh(endpoint)

    def note_unreachable(self, endpoint: str) -> None:
        """Record that no connection to an endpoint could be opened."""
        if endpoint in self._hosts:
            self._unreachable.add(endpoint)
            self._refresh(endpoint)

    def endpoints_to_probe(self) -> list[str]:
        """Return the unavailable endpoints that a sidecar's reply would restore."""
        return [e for e in self._unavailable if not self._is_host_leaving(e)]

    # Decision

    def _update_hosts(
        self,
        changed: Iterable[str],
        drained_hosts: frozenset[str],
        listed_hosts: frozenset[str],
    ) -> None:
        self._drained_hosts, self._listed_hosts = drained_hosts, listed_hosts
        changed = frozenset(changed)
        if not changed:
            return
        for endpoint, host in self._hosts.items():
            if host in changed:
                self._refresh(endpoint)

    def _is_host_leaving(self, endpoint: str) -> bool:
        host = self._hosts.get(endpoint)
        return host in self._drained_hosts or host in self._listed_hosts

    def _refresh(self, endpoint: str) -> None:
        load = self._loads.get(endpoint)
        is_unavailable = self._is_unavailable(endpoint, load)
        changed = is_unavailable != (endpoint in self._unavailable)
        if changed:
            self._mark(endpoint, is_unavailable)
        if load is not None:
            adjusted_load = (
                load
                if load.leaving == is_unavailable
                else replace(load, leaving=is_unavailable)
            )
            self._listener.load_changed(endpoint, adjusted_load)
        if changed and is_unavailable:
            self._listener.endpoint_leaving(endpoint)
        elif changed:
            self._listener.endpoint_restored(endpoint)

    def _is_unavailable(self, endpoint: str, load: Load | None) -> bool:
        if self._is_host_leaving(endpoint) or endpoint in self._unreachable:
            return True
        if load is None:
            # An unavailable endpoint that has not reported any load stays unavailable
            # until its sidecar replies.
            return endpoint in self._unavailable
        return load.leaving

    def _mark(self, endpoint: str, is_unavailable: bool) -> None:
        if is_unavailable:
            self._unavailable.add(endpoint)
        else:
            self._unavailable.discard(endpoint)
        log.info(
            "endpoint_out" if is_unavailable else "endpoint_back", endpoint=endpoint
        )

    def _remove(self, endpoint: str) -> None:
        self._loads.pop(endpoint, None)
        self._unreachable.discard(endpoint)
        self._unavailable.discard(endpoint)
