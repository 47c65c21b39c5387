"""Tracking of the configuration that a gateway has in force."""

import json

from result import Err

from amaranthtally.adapter.store import StoreItem
from amaranthtally.daemon.gateway import configuration_tracker
from amaranthtally.daemon.gateway.configuration_tracker import ConfigurationTracker
from amaranthtally.daemon.gateway.record_faults import RecordFaults
from tests.gateway.support import configuration, route
from tests.support import run_async


def document(version):
    return json.dumps(configuration(version, route("work"))).encode()


def test_the_document_in_force_is_not_decoded_again(monkeypatch):
    """Guards against an event loop that is blocked by decoding the same document."""
    decoded = []
    original = configuration_tracker.read_configuration

    def counting(value):
        decoded.append(value)
        return original(value)

    monkeypatch.setattr(configuration_tracker, "read_configuration", counting)

    async def check():
        tables = []
        tracker = ConfigurationTracker(tables.append)
        for _ in range(5):
            tracker.apply(document(3), "store")
        assert len(tables) == len(decoded) == 1

    run_async(check())


def test_a_gateway_is_behind_since_the_first_newer_version_became_known():
    async def check():
        tracker = ConfigurationTracker(lambda table: None)
        tracker.apply(document(3), "store")
        assert tracker.behind_s == 0.0
        tracker.note_version(5, "a-peer")
        first_s = tracker.behind_s
        tracker.note_version(7, "a-peer")
        tracker.apply(document(5), "store")
        assert tracker.newest_known == 7
        assert tracker.behind_s >= first_s
        tracker.apply(document(7), "store")
        assert tracker.behind_s == 0.0

    run_async(check())


def test_a_refused_configuration_is_counted_once_and_the_one_before_stays():
    """Guards against an error in the log with each listing, and against an old one."""

    async def check():
        tables, faults = [], RecordFaults()
        tracker = ConfigurationTracker(tables.append, faults)
        tracker.apply(document(3), "store")
        for _ in range(3):
            tracker.apply(b'{"version":-4}', "store")
        assert (tracker.version, len(tables)) == (3, 1)
        assert faults.malformed == {"op/config": 1}
        tracker.apply(document(5), "store")
        assert tracker.version == 5

    run_async(check())


def test_each_malformed_revision_of_a_key_is_counted_once():
    """Guards against a line for each record with each listing."""
    faults = RecordFaults()
    items = [StoreItem("servers/a", b"", 3), StoreItem("servers/b", b"", 3)]
    for item in [*items, *items, StoreItem("servers/a", b"", 4)]:
        assert faults.read("servers/", item, lambda value: Err("cause")) is None
    assert faults.malformed == {"servers/": 3}
