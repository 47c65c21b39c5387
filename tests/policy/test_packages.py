"""Which modules of the policy may import which."""

import re
from pathlib import Path

import pytest

import amaranthtally.policy

POLICY = Path(amaranthtally.policy.__file__).parent
IMPORT = re.compile(r"^from amaranthtally\.policy\.([\w.]+) import", re.MULTILINE)
# What each package builds on; the arrow never points back.
BELOW = {
    "sending": {
        "actions",
        "events",
        "home_regions",
        "limit_messages",
        "model",
        "peer_group",
        "routes",
    },
    "result_memory": {
        "call_filling",
        "model",
        "piece_graph",
        "piece_messages",
        "piece_queue",
        "piece_servers",
        "routes",
    },
    "piece_moves": {"piece_graph"},
    "fair_shares": {
        "actions",
        "budgets",
        "events",
        "model",
        "peer_group",
        "request_key",
        "usage_messages",
    },
    "engine_choice": {
        "affinity",
        "ejection",
        "engine_views",
        "groups",
        "loads",
        "model",
        "prefixes",
        "quantiles",
        "regression",
        "rendezvous",
        "routing",
        "scoring",
        "stage_times",
    },
    "load_view": {
        "actions",
        "events",
        "load_messages",
        "model",
        "peer_group",
        "pool_sites",
        "rendezvous",
    },
    "memory_budget": set(),
    "response_limits": set(),
}


def imports_of(path):
    return set(IMPORT.findall(path.read_text("utf-8")))


@pytest.mark.parametrize("package", BELOW)
def test_a_package_imports_only_what_is_below_it(package):
    """Guards against a cycle through what decides and what the decision is for."""
    paths = list((POLICY / package).glob("*.py"))
    assert paths
    for path in paths:
        outer = {i for i in imports_of(path) if not i.startswith(f"{package}.")}
        assert outer <= BELOW[package], path.name


def test_every_package_states_what_it_builds_on():
    """Guards against a package whose imports nobody checks."""
    packages = {path.parent.name for path in POLICY.glob("*/__init__.py")}
    assert packages == set(BELOW)


@pytest.mark.parametrize("package", BELOW)
@pytest.mark.parametrize("path", sorted(POLICY.glob("*.py")), ids=lambda p: p.stem)
def test_other_modules_use_what_a_package_exports(path, package):
    """Guards against a send that asks one restriction and passes the others by."""
    assert not [i for i in imports_of(path) if i.startswith(f"{package}.")]
