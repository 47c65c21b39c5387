"""Reads the platform's list of hosts and probes the endpoints that are out."""

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from random import uniform

from result import Err

from amaranthtally.daemon.entry.membership import Membership
from amaranthtally.daemon.entry.sidecar_connections import Peers
from amaranthtally.daemon.logs import get_logger
from amaranthtally.platform import HostList
from amaranthtally.policy import Endpoint

__all__ = ["follow_hosts", "probe_endpoints"]

# Each entry reads the list on its own: one call in five seconds, 0.2 calls a second
# for an entry, spread so that a fleet started at once does not read at once. The
# list lags anyway; the sidecars' own word comes first.
POLL_S = 5.0
SPREAD = 0.25
PROBE_ROUND_S = 0.1
FIRST_PROBE_S = 0.25
LAST_PROBE_S = 5.0
BACKOFF = 2.0
# A region out of reach must not turn every entry into a storm of probes.
PROBES_AT_ONCE = 8

log = get_logger()


async def follow_hosts(hosts: HostList, membership: Membership) -> None:
    """Read the list again and again; never returns. An outage changes nothing."""
    while True:
        found = await hosts.read_leaving()
        if isinstance(found, Err):
            log.warning("hosts_unread", cause=str(found.err_value))
        else:
            membership.hosts_listed(found.ok_value)
        await asyncio.sleep(POLL_S * uniform(1 - SPREAD, 1 + SPREAD))


@dataclass(slots=True)
class _Probe:
    """When to ask an endpoint next, and the wait after that, in seconds."""

    at: float
    wait: float


async def probe_endpoints(
    membership: Membership,
    peers: Peers,
    endpoints: Callable[[], Mapping[str, Endpoint]],
) -> None:
    """
    Ask endpoints that are out whether they are back; never returns.

    Only those that this entry met itself are asked, later and later.
    """
    probes: dict[str, _Probe] = {}
    while True:
        await asyncio.sleep(PROBE_ROUND_S)
        wanted = membership.to_probe()
        for gone in probes.keys() - set(wanted):
            del probes[gone]
        now = asyncio.get_running_loop().time()
        due = [e for e in wanted if _is_due(probes, e, now)]
        known = endpoints()
        asked = [known[e] for e in due[:PROBES_AT_ONCE] if e in known]
        for endpoint in asked:
            _put_off(probes[endpoint.id], now)
        await asyncio.gather(
            *(peers.greet(endpoint) for endpoint in asked), return_exceptions=True
        )


def _is_due(probes: dict[str, _Probe], endpoint: str, now: float) -> bool:
    if endpoint not in probes:
        probes[endpoint] = _Probe(now + FIRST_PROBE_S, FIRST_PROBE_S)
    return probes[endpoint].at <= now


def _put_off(probe: _Probe, now: float) -> None:
    probe.at = now + probe.wait * uniform(1 - SPREAD, 1 + SPREAD)
    probe.wait = min(LAST_PROBE_S, probe.wait * BACKOFF)
