"""Which modules of the policy may import which."""

import re
from pathlib import Path

import pytest

import amaranthtally.policy

POLICY = Path(amaranthtally.policy.__file__).parent
IMPORT = re.compile(r"^from amaranthtally\.policy\.([\w.]+) import", re.MULTILINE)
# What the package for sending builds on; the arrow never points back.
BELOW_SENDING = {
    "actions",
    "events",
    "home_regions",
    "limit_messages",
    "model",
    "peer_group",
    "routes",
}
# The same for the package of fair shares.
BELOW_FAIR_SHARES = {
    "actions",
    "budgets",
    "events",
    "model",
    "peer_group",
    "request_key",
    "usage_messages",
}

# What the choice of engines builds on.
BELOW_ENGINE_CHOICE = {
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
}
PACKAGES = {"sending": BELOW_SENDING, "engine_choice": BELOW_ENGINE_CHOICE}


def imports_of(path):
    return set(IMPORT.findall(path.read_text("utf-8")))


@pytest.mark.parametrize("package", PACKAGES)
def test_a_package_imports_only_what_is_below_it(package):
    """Guards against a cycle, as through what decides on sends and what sends."""
    for path in (POLICY / package).glob("*.py"):
        outer = {i for i in imports_of(path) if not i.startswith(f"{package}.")}
        assert outer <= PACKAGES[package], path.name


@pytest.mark.parametrize("path", sorted(POLICY.glob("*.py")), ids=lambda p: p.stem)
def test_other_modules_use_what_packages_export(path):
    """Guards against a send that asks one restriction and passes the others by."""
    inner = tuple(f"{package}." for package in PACKAGES)
    assert not [i for i in imports_of(path) if i.startswith(inner)]
    assert not [i for i in imports_of(path) if i.startswith("sending.")]


def test_the_package_of_fair_shares_imports_only_what_is_below_it():
    """Guards against a cycle through what divides work and what admits it."""
    for path in (POLICY / "fair_shares").glob("*.py"):
        outer = {i for i in imports_of(path) if not i.startswith("fair_shares.")}
        assert outer <= BELOW_FAIR_SHARES, path.name


@pytest.mark.parametrize("path", sorted(POLICY.glob("*.py")), ids=lambda p: p.stem)
def test_other_modules_use_what_the_package_of_fair_shares_exports(path):
    """Guards against admission that depends on how the shares are computed."""
    assert not [i for i in imports_of(path) if i.startswith("fair_shares.")]
