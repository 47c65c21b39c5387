"""The bounds on responses, and what the packages of bounds import."""

from pathlib import Path

import pytest

import amaranthtally.policy
from amaranthtally.policy import ResponseKind, build_response_limits
from tests.policy.test_packages import IMPORT, imports_of

POLICY = Path(amaranthtally.policy.__file__).parent
PACKAGES = ("response_limits", "memory_budget")
MIB = 1024 * 1024


@pytest.mark.parametrize("package", PACKAGES)
def test_the_package_imports_nothing_of_the_policy_but_itself(package):
    """Guards against a cycle between bounds and what they bound."""
    for path in (POLICY / package).glob("*.py"):
        assert all(i.startswith(package) for i in imports_of(path)), path.name


@pytest.mark.parametrize("package", PACKAGES)
def test_other_modules_import_the_facade_only(package):
    """Guards against a rule that is passed by through an inner module."""
    for path in POLICY.parents[2].rglob("*.py"):
        if path.parent != POLICY / package:
            inner = [
                i
                for i in IMPORT.findall(path.read_text("utf-8"))
                if i.startswith(f"{package}.")
            ]
            assert not inner, path


@pytest.mark.parametrize("request_bytes", [1, 4 * MIB, 64 * MIB])
def test_bounds_are_far_above_what_requests_may_hold(request_bytes):
    """Guards against a bound that cuts off a response that an endpoint intends."""
    limits = build_response_limits(request_bytes)
    for kind in (ResponseKind.REQUEST, ResponseKind.STREAM):
        assert limits.of(kind).body_bytes >= 4 * max(request_bytes, 4 * MIB)
