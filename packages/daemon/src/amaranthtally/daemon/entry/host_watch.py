"""Polls the platform's list of hosts and probes unavailable endpoints."""

import asyncio
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass
from random import uniform
from typing import Any

from result import Err

from amaranthtally.daemon.entry.membership import Membership
from amaranthtally.daemon.entry.sidecar_connections import SidecarConnections
from amaranthtally.daemon.logs import get_logger
from amaranthtally.platform import HostList
from amaranthtally.policy import Endpoint
from amaranthtally.wire import PeerLostError

__all__ = ["poll_hosts", "probe_endpoints"]

# Each entry polls the list itself, 0.2 calls a second. The jitter keeps entries that
# were started together from polling together. The list lags behind in any case, and
# sidecars usually report earlier that they are leaving.
POLL_S = 5.0
JITTER = 0.25
PROBE_INTERVAL_S = 0.1
MIN_PROBE_PAUSE_S = 0.25
MAX_PROBE_PAUSE_S = 5.0
BACKOFF_FACTOR = 2.0
# Limits the probes that each entry sends when a whole region is unreachable.
MAX_CONCURRENT_PROBES = 8

log = get_logger()


async def poll_hosts(hosts: HostList, membership: Membership) -> None:
    """Poll the list until cancelled; a failed read leaves the known hosts unchanged."""
    while True:
        listing = await hosts.read_leaving()
        if isinstance(listing, Err):
            log.warning("hosts_unread", cause=str(listing.err_value))
        else:
            membership.set_listed_hosts(listing.ok_value)
        await asyncio.sleep(POLL_S * uniform(1 - JITTER, 1 + JITTER))


@dataclass(slots=True)
class _Probe:
    """The time of an endpoint's next probe, and the pause after it, in seconds."""

    due_at: float
    pause_s: float


async def probe_endpoints(
    membership: Membership,
    connections: SidecarConnections,
    endpoints: Callable[[], Mapping[str, Endpoint]],
    spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]],
) -> None:
    """
    Probe unavailable endpoints until cancelled, at increasing intervals.

    Endpoints on a host that drains or is listed as leaving are not probed.
    """
    probes: dict[str, _Probe] = {}
    while True:
        await asyncio.sleep(PROBE_INTERVAL_S)
        candidates = membership.endpoints_to_probe()
        for restored in probes.keys() - set(candidates):
            del probes[restored]
        now = asyncio.get_running_loop().time()
        due = [e for e in candidates if _is_due(probes, e, now)]
        registered = endpoints()
        probed = [registered[e] for e in due[:MAX_CONCURRENT_PROBES] if e in registered]
        for endpoint in probed:
            _schedule_next(probes[endpoint.id], now)
        # One that fails in an unexpected way is reported, and the others are probed.
        if probed:
            await asyncio.wait([spawn(_probe(connections, e)) for e in probed])


async def _probe(connections: SidecarConnections, endpoint: Endpoint) -> None:
    try:
        await connections.poll_load(endpoint)
    except PeerLostError as error:
        log.debug("load_poll_failed", endpoint=endpoint.id, cause=str(error))


def _is_due(probes: dict[str, _Probe], endpoint: str, now: float) -> bool:
    if endpoint not in probes:
        probes[endpoint] = _Probe(now + MIN_PROBE_PAUSE_S, MIN_PROBE_PAUSE_S)
    return probes[endpoint].due_at <= now


def _schedule_next(probe: _Probe, now: float) -> None:
    probe.due_at = now + probe.pause_s * uniform(1 - JITTER, 1 + JITTER)
    probe.pause_s = min(MAX_PROBE_PAUSE_S, probe.pause_s * BACKOFF_FACTOR)
