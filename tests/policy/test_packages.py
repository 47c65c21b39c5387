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
}


def imports_of(path):
    return set(IMPORT.findall(path.read_text("utf-8")))


@pytest.mark.parametrize("package", BELOW)
def test_a_package_imports_only_what_is_below_it(package):
    """Guards against a cycle through what decides and what the decision is for."""
    for path in (POLICY / package).glob("*.py"):
        outer = {i for i in imports_of(path) if not i.startswith(f"{package}.")}
        assert outer <= BELOW[package], path.name


@pytest.mark.parametrize("package", BELOW)
@pytest.mark.parametrize("path", sorted(POLICY.glob("*.py")), ids=lambda p: p.stem)
def test_other_modules_use_what_a_package_exports(path, package):
    """Guards against a send that asks one restriction and passes the others by."""
    assert not [i for i in imports_of(path) if i.startswith(f"{package}.")]
