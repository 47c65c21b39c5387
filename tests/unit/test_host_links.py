"""Settings links of sidecars that serve several endpoints."""

from amaranthtally.daemon.settings_links import choose_links
from amaranthtally.daemon.settings_sync import SIDECAR_LINKS

HOSTS = 12
ENDPOINTS_PER_HOST = 15


def test_every_host_has_an_incoming_ring_link():
    """
    Guards against hosts without an incoming ring link. If each sidecar followed the
    ring from its first endpoint only, no process would announce revisions to some
    hosts, and such a host would keep outdated settings after a restart.
    """
    hosts = {
        host: [f"e{host}-{number}" for number in range(ENDPOINTS_PER_HOST)]
        for host in range(HOSTS)
    }
    registrations = {
        f"endpoint.{name}": {"region": "cluj", "address": name}
        for names in hosts.values()
        for name in names
    }
    linked = set()
    for host, (first, *rest) in hosts.items():
        links = choose_links(registrations, first, SIDECAR_LINKS, rest)
        assert not set(links) & set(hosts[host])
        linked |= {
            name for name in links if is_ring_link(registrations, first, rest, name)
        }
    assert {host for host, names in hosts.items() if linked & set(names)} == set(hosts)


def is_ring_link(registrations, first, rest, name):
    """Whether a link to ``name`` comes from the ring and is not selected by hash."""
    ring_only = SIDECAR_LINKS.__class__(SIDECAR_LINKS.ring, 0)
    return name in choose_links(registrations, first, ring_only, rest)
