"""Marks the tests of KNOWN-RED.txt as expected to fail, strictly."""

import pytest

from tests.known_red import known_red_by_test


def pytest_collection_modifyitems(items):
    lines = known_red_by_test()
    for item in items:
        line = lines.get(item.nodeid)
        if line is not None:
            item.add_marker(pytest.mark.xfail(reason=line, strict=True))
