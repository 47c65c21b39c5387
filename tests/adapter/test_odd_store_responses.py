"""Responses of the store that are well-formed JSON, but hold odd values."""

import json

import pytest

from amaranthtally.adapter.store import read_events, read_page, read_revision

TOO_LARGE = [2**63, 2**64, -1]


@pytest.mark.parametrize("number", TOO_LARGE)
@pytest.mark.parametrize("field", ["at", "revision"])
def test_a_number_that_cannot_be_sent_to_peers_is_malformed(number, field):
    """Guards against gateways that stop serving as a revision cannot be encoded."""
    item = {"key": "a", "value": "", "revision": 1}
    at = number if field == "at" else 1
    if field == "revision":
        item["revision"] = number
    assert read_page(json.dumps({"entries": [item], "at": at}).encode()).is_err()
    assert read_events(json.dumps({"events": [item], "at": at}).encode()).is_err()
    assert read_revision(json.dumps({"revision": number}).encode()).is_err()


@pytest.mark.parametrize("value", [None, 7, ["x"]])
def test_an_odd_value_loses_no_other_item(value):
    """Guards against one item whose value is no string losing its whole page."""
    items = [{"key": "a", "value": value}, {"key": "b", "value": "MQ=="}]
    page = read_page(json.dumps({"entries": items, "at": 1}).encode()).unwrap()
    assert [item.value for item in page.items] == [b"", b"1"]
