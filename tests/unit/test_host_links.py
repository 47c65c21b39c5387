"""Links of processes that stand before several endpoints."""

from amaranthtally.daemon.settings_links import choose_links
from amaranthtally.daemon.settings_sync import SIDECAR_LINKS

HOSTS = 12
EACH = 15


def test_somebody_tells_every_host():
    """
    A restarted host answers with the settings of last week: no process thinks that
    it has to tell any of its endpoints, since each looks only at its own first one.
    """
    hosts = {
        host: [f"e{host}-{number}" for number in range(EACH)] for host in range(HOSTS)
    }
    tree = {
        f"endpoint.{name}": {"region": "cluj", "address": name}
        for names in hosts.values()
        for name in names
    }
    told = set()
    for host, (first, *rest) in hosts.items():
        links = choose_links(tree, first, SIDECAR_LINKS, rest)
        assert not set(links) & set(hosts[host])
        told |= {name for name in links if choose_ring(tree, first, rest, name)}
    assert {host for host, names in hosts.items() if told & set(names)} == set(hosts)


def choose_ring(tree, first, rest, name):
    """Whether a link is one of the ring, and not drawn by chance."""
    ring = SIDECAR_LINKS.__class__(SIDECAR_LINKS.ring, 0)
    return name in choose_links(tree, first, ring, rest)
