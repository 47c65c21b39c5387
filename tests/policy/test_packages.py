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


def imports_of(path):
    return set(IMPORT.findall(path.read_text("utf-8")))


def test_the_package_for_sending_imports_only_what_is_below_it():
    """Guards against a cycle through what decides on sends and what sends."""
    for path in (POLICY / "sending").glob("*.py"):
        outer = {i for i in imports_of(path) if not i.startswith("sending.")}
        assert outer <= BELOW_SENDING, path.name


@pytest.mark.parametrize("path", sorted(POLICY.glob("*.py")), ids=lambda p: p.stem)
def test_other_modules_use_what_the_package_for_sending_exports(path):
    """Guards against a send that asks one restriction and passes the others by."""
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
