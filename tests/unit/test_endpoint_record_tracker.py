"""Endpoints whose records become unreadable after they were sound."""

import json

import pytest

from amaranthtally.adapter.store import StoreItem
from amaranthtally.daemon.gateway.endpoint_record_tracker import EndpointRecordTracker
from amaranthtally.daemon.gateway.record_faults import RecordFaults
from amaranthtally.policy import EndpointDirectory
from tests.support import run_async

KEY = "servers/a"
SOUND = {
    "service": "job",
    "address": "10.0.0.1:80",
    "zone": "cluj-a",
    "slots": 2,
    "state": "ready",
}
NESTED = "[" * 4000 + "]" * 4000


def record(**fields):
    return json.dumps(SOUND | fields).encode()


def nested(state):
    return record(state=state)[:-1] + f',"note":{NESTED}}}'.encode()


def with_value(value, is_listed, before=None):
    """Return the endpoint once a sound record was followed by a value."""

    async def run():
        directory, published = EndpointDirectory(), []
        tracker = EndpointRecordTracker(
            directory, {}, lambda: published.append(1), RecordFaults()
        )
        tracker.replace((StoreItem(KEY, before or record(), 1),))
        item = StoreItem(KEY, value, 2)
        if is_listed:
            tracker.replace((item,))
        else:
            tracker.apply_change(item)
            tracker.changes_applied()
        assert len(published) == 2
        return directory.endpoints.get("a")

    return run_async(run())


LISTED = pytest.mark.parametrize("is_listed", [False, True], ids=["change", "listing"])


@LISTED
@pytest.mark.parametrize(
    "value",
    [b"", b"\xff", b"{", nested("ready"), record(slots=-1), record(state=5)],
    ids=["empty", "bytes", "cut", "nested", "range", "state"],
)
def test_a_bad_write_does_not_take_an_endpoint_from_its_pool(value, is_listed):
    """Guards against a pool that one bad write empties."""
    endpoint = with_value(value, is_listed)
    assert (endpoint.address, endpoint.takes_calls) == ("10.0.0.1:80", True)


@LISTED
@pytest.mark.parametrize(
    "value",
    [
        nested("draining"),
        record(state="draining")[:-2],
        record(state="gone"),
        record(state="draining", slots=-1),
    ],
    ids=["nested", "cut", "unknown", "range"],
)
def test_an_unreadable_record_that_says_it_leaves_ends_calls(value, is_listed):
    """Guards against requests to an endpoint after it said that it leaves."""
    assert not with_value(value, is_listed).takes_calls


@LISTED
def test_an_endpoint_that_leaves_takes_no_calls_after_a_bad_write(is_listed):
    """Guards against a bad write that brings a leaving endpoint back."""
    leaving = record(state="draining")
    assert not with_value(nested("ready"), is_listed, leaving).takes_calls


@LISTED
def test_a_removed_record_still_removes_its_endpoint(is_listed):
    async def run():
        directory = EndpointDirectory()
        tracker = EndpointRecordTracker(directory, {}, lambda: None, RecordFaults())
        tracker.replace((StoreItem(KEY, record(), 1),))
        tracker.apply_change(StoreItem(KEY, b"", 2))
        if is_listed:
            tracker.replace(())
        else:
            tracker.apply_change(StoreItem(KEY, None, 3))
        assert not directory.endpoints

    run_async(run())
