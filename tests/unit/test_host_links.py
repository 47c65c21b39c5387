"""Settings links of sidecar processes that serve several endpoints."""

from amaranthtally.daemon.settings_links import choose_links
from amaranthtally.daemon.settings_sync import SIDECAR_LINKS

HOSTS = 12
ENDPOINTS_PER_HOST = 15


def test_every_host_is_linked_from_another_host():
    """
    Guards against a host that keeps outdated settings after a restart. If each process
    chose its ring links by the first of its endpoints only, no process might have a
    link to any endpoint of that host.
    """
    hosts = {
        host: [f"e{host}-{number}" for number in range(ENDPOINTS_PER_HOST)]
        for host in range(HOSTS)
    }
    tree = {
        f"endpoint.{name}": {"region": "cluj", "address": name}
        for names in hosts.values()
        for name in names
    }
    linked = set()
    for host, (first, *rest) in hosts.items():
        links = choose_links(tree, first, SIDECAR_LINKS, rest)
        assert not set(links) & set(hosts[host])
        linked |= {name for name in links if is_ring_link(tree, first, rest, name)}
    assert {host for host, names in hosts.items() if linked & set(names)} == set(hosts)


def is_ring_link(tree, first, rest, name):
    """Return whether a link belongs to the ring and was not chosen at random."""
    ring = SIDECAR_LINKS.__class__(SIDECAR_LINKS.ring, 0)
    return name in choose_links(tree, first, ring, rest)
