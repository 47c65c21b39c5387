"""Listeners that fail on the store's changes, beside others, and their retries."""

import asyncio
import json

import pytest

from amaranthtally.adapter.configuration import CONFIGURATION_KEY
from amaranthtally.adapter.store import StoreItem
from amaranthtally.daemon.gateway import configuration_tracker
from amaranthtally.daemon.gateway.configuration_tracker import ConfigurationTracker
from amaranthtally.daemon.gateway.evacuation_tracker import EvacuationTracker
from amaranthtally.daemon.gateway.listener_guard import ListenerGuard
from amaranthtally.daemon.gateway.prefix_listener import PrefixDispatcher
from amaranthtally.daemon.gateway.record_faults import RecordFaults
from amaranthtally.daemon.gateway.store_replica import StoreReplica
from tests.gateway.support import configuration
from tests.support.virtual_time import run_on_virtual_time
from tests.unit.test_store_replica import Listener

FIRST = (StoreItem("a/1", b"1", 1), StoreItem("b/1", b"1", 2))


class FailingListener(Listener):
    """Raises so many times, at first after it has taken a part."""

    def __init__(self, failures=0):
        super().__init__()
        self.failures = failures
        self.calls = []

    def replace(self, items):
        self._call()
        super().replace(items)

    def apply_change(self, item):
        self._call()
        super().apply_change(item)

    def _call(self):
        self.calls.append(asyncio.get_running_loop().time())
        if self.failures:
            self.failures -= 1
            raise LookupError("nobody expected this")


class Fleet:
    """A replica with two listeners under ``a/`` and ``b/``."""

    def __init__(self):
        self.faults = RecordFaults()
        self.guard = ListenerGuard(self.faults, asyncio.ensure_future)
        self.a, self.b = FailingListener(), FailingListener()
        dispatcher = PrefixDispatcher(
            {"a/": self.a, "b/": self.b}, self.guard, lambda: self.replica.items
        )
        self.advanced = []
        self.replica = StoreReplica(
            dispatcher, lambda: self.advanced.append(self.replica.revision)
        )
        self.replica.replace(FIRST, 2)


@pytest.fixture
def run_with_fleet():
    def run(check):
        async def work():
            await check(Fleet())

        run_on_virtual_time(work())

    return run


def test_a_listener_that_fails_keeps_no_other_from_its_items(run_with_fleet):
    """Guards against endpoints that stay in use as another record raised first."""

    async def check(fleet):
        fleet.a.failures = 1
        changes = (StoreItem("a/2", b"1", 3), StoreItem("b/2", b"1", 4))
        fleet.replica.apply(changes, 4)
        assert set(fleet.b.items) == {"b/1", "b/2"}
        assert fleet.guard.needs_listing
        assert fleet.faults.failed == {"a/": 1}
        # Followers are not held back.
        assert fleet.advanced == [2, 4]
        assert len(fleet.replica.changes_after(2).changes) == 2

    run_with_fleet(check)


def test_a_listener_that_failed_gets_all_records_again(run_with_fleet):
    """Guards against a change that is lost as its revision is known already."""

    async def check(fleet):
        fleet.a.failures = 1
        fleet.replica.apply((StoreItem("a/1", None, 3), StoreItem("a/2", b"1", 3)), 3)
        # The next ones are passed on meanwhile.
        fleet.replica.apply((StoreItem("a/3", b"1", 4),), 4)
        assert set(fleet.a.items) == {"a/1", "a/2", "a/3"}
        await asyncio.sleep(0.6)
        assert set(fleet.a.items) == {"a/2", "a/3"}
        assert not fleet.guard.needs_listing

    run_with_fleet(check)


def test_retries_come_after_growing_pauses_until_one_succeeds(run_with_fleet):
    """Guards against a listing again and again, and against one that is given up."""

    async def check(fleet):
        fleet.a.failures = 8
        fleet.replica.apply((StoreItem("a/2", b"1", 3),), 3)
        await asyncio.sleep(60.0)
        starts = [at for at in fleet.a.calls if at > 0.0]
        assert starts == [0.5, 1.5, 3.5, 7.5, 15.5, 23.5, 31.5, 39.5]
        assert set(fleet.a.items) == {"a/1", "a/2"}
        assert not fleet.guard.needs_listing
        # A later failure starts with the first pause again.
        fleet.a.failures = 1
        fleet.replica.apply((StoreItem("a/3", b"1", 4),), 4)
        await asyncio.sleep(0.6)
        assert set(fleet.a.items) == {"a/1", "a/2", "a/3"}

    run_with_fleet(check)


def test_a_listing_that_comes_first_makes_a_retry_needless(run_with_fleet):
    async def check(fleet):
        fleet.a.failures = 1
        fleet.replica.replace((StoreItem("a/9", b"1", 9),), 9)
        fleet.replica.replace((StoreItem("a/9", b"1", 9),), 9)
        calls = len(fleet.a.calls)
        assert not fleet.guard.needs_listing
        await asyncio.sleep(60.0)
        assert len(fleet.a.calls) == calls
        assert set(fleet.a.items) == {"a/9"}

    run_with_fleet(check)


def test_an_evacuation_that_was_not_published_is_published_by_the_retry():
    """Guards against requests to an evacuated data centre after a failure."""
    published = []

    def publish(names):
        published.append(names)
        if len(published) == 1:
            raise LookupError("nobody expected this")

    tracker = EvacuationTracker({"x": "r"}, publish)
    items = (StoreItem("op/evacuate/x", b"", 3),)
    with pytest.raises(LookupError):
        tracker.replace(items)
    tracker.replace(items)
    tracker.replace(items)
    assert published == [frozenset({"x"})] * 2


def test_a_configuration_whose_listener_failed_is_applied_by_the_retry(monkeypatch):
    """Guards against a configuration reported as recovered that is never in force."""
    read, failures = configuration_tracker.read_configuration, [1, 1]

    def fail_first(value):
        if failures:
            failures.pop()
            raise LookupError("nobody expected this")
        return read(value)

    monkeypatch.setattr(configuration_tracker, "read_configuration", fail_first)

    async def check():
        guard = ListenerGuard(RecordFaults(), asyncio.ensure_future)
        tables = []
        tracker = ConfigurationTracker(tables.append)
        dispatcher = PrefixDispatcher(
            {CONFIGURATION_KEY: tracker}, guard, lambda: replica.items
        )
        replica = StoreReplica(dispatcher)
        value = json.dumps(configuration(7)).encode()
        replica.apply((StoreItem(CONFIGURATION_KEY, value, 3),), 3)
        assert guard.needs_listing
        # The first retry fails too.
        await asyncio.sleep(0.6)
        assert guard.needs_listing
        await asyncio.sleep(1.1)
        assert not guard.needs_listing
        assert [table.version for table in tables] == [7]

    run_on_virtual_time(check())


def test_a_reader_that_raises_makes_its_record_malformed():
    """Guards against one record that keeps all others from their listener."""
    faults = RecordFaults()

    def read(value):
        raise LookupError("nobody expected this")

    assert faults.read("a/", StoreItem("a/1", b"1", 1), read) is None
    assert faults.malformed == {"a/": 1}
