"""The replica of the store's records, and the changes that gateways pass on."""

import pytest
from hypothesis import given, strategies as st

from amaranthtally.adapter.store import StoreItem
from amaranthtally.daemon.gateway import store_replica
from amaranthtally.daemon.gateway.store_replica import StoreReplica
from amaranthtally.wire.changes import (
    MAX_CHANGES,
    ChangeBatch,
    MalformedChangesError,
    RecordChange,
    first_batch,
)

CONFIGURATION = StoreItem("op/config", b"routes", 4)


class Listener:
    def __init__(self):
        self.items = {}

    def replace(self, items):
        self.items = {item.key: item.value for item in items}

    def apply_change(self, item):
        if item.value is None:
            self.items.pop(item.key, None)
        else:
            self.items[item.key] = item.value

    def changes_applied(self):
        pass


@pytest.fixture
def listener():
    return Listener()


@pytest.fixture
def replica(listener):
    replica = StoreReplica(listener)
    replica.replace((StoreItem("servers/a", b"1", 3), CONFIGURATION), 5)
    return replica


def test_a_late_change_does_not_bring_back_a_removed_record(replica, listener):
    """Guards against requests to an endpoint that left before a late answer came."""
    replica.apply((StoreItem("servers/b", b"1", 6), StoreItem("servers/b", None, 8)), 8)
    replica.apply((StoreItem("servers/b", b"1", 6),), 7)
    assert "servers/b" not in listener.items
    assert replica.revision == 8


def test_an_older_listing_changes_nothing(replica, listener):
    replica.apply((StoreItem("servers/b", b"1", 6),), 6)
    replica.replace((), 5)
    assert set(listener.items) == {"servers/a", "servers/b", "op/config"}


def test_a_follower_gets_every_change_after_its_revision(replica):
    replica.apply((StoreItem("servers/b", b"1", 6),), 6)
    replica.apply((StoreItem("servers/a", None, 7),), 9)
    batch = replica.changes_after(6)
    assert batch == ChangeBatch(6, 9, (RecordChange("servers/a", None, 7),))
    assert replica.changes_after(9) == ChangeBatch(9, 9)
    assert replica.changes_after(4) is None
    assert replica.changes_after(10) is None


def test_a_listing_after_a_gap_is_passed_on_as_changes(replica):
    """Guards against followers that keep what was removed while their watcher erred."""
    replica.replace((StoreItem("servers/c", b"2", 8), CONFIGURATION), 9)
    batch = replica.changes_after(5)
    assert batch is not None
    batch.check()
    assert batch.changes == (
        RecordChange("servers/c", b"2", 8),
        RecordChange("servers/a", None, 9),
    )


def test_the_configuration_is_not_passed_on_as_a_change(replica):
    replica.apply((CONFIGURATION._replace(value=b"more", revision=6),), 6)
    assert replica.changes_after(5) == ChangeBatch(5, 6)
    assert [item.key for item in replica.items] == ["servers/a"]


def test_a_configuration_is_read_although_a_peer_sent_its_revision_first(
    replica, listener
):
    """Guards against a configuration that a watcher drops as a known change."""
    replica.apply((), 8)
    replica.apply((CONFIGURATION._replace(value=b"more", revision=7),), 7)
    assert listener.items["op/config"] == b"more"


def test_the_number_of_kept_changes_is_bounded(replica, monkeypatch):
    monkeypatch.setattr(store_replica, "MAX_CHANGES_KEPT", 3)
    for revision in range(6, 12):
        replica.apply((StoreItem(f"servers/{revision}", b"1", revision),), revision)
    assert replica.changes_after(7) is None
    batch = replica.changes_after(8)
    assert [change.revision for change in batch.changes] == [9, 10, 11]


def test_many_changes_are_passed_on_in_batches_that_miss_none():
    changes = [RecordChange(f"k{n}", b"", 10 + n // 7) for n in range(500)]
    revision, received = 9, []
    while revision < 90:
        later = [change for change in changes if change.revision > revision]
        batch = first_batch(revision, 90, later)
        batch.check()
        received += batch.changes
        assert batch.revision > revision
        assert len(batch.changes) <= MAX_CHANGES
        revision = batch.revision
    assert received == changes


def test_changes_of_one_revision_stay_together():
    """Guards against followers that skip the rest of a large transaction."""
    changes = [RecordChange(f"k{n}", None, 10) for n in range(3 * MAX_CHANGES)]
    batch = first_batch(9, 12, changes)
    assert len(batch.changes) == len(changes)
    assert batch.revision == 10


@pytest.mark.parametrize(
    "batch",
    [
        ChangeBatch(9, 8),
        ChangeBatch(5, 9, (RecordChange("a", b"", 10),)),
        ChangeBatch(5, 9, (RecordChange("a", b"", 4),)),
        ChangeBatch(5, 9, (RecordChange("a", b"", 8), RecordChange("b", b"", 7))),
        ChangeBatch(5, 9, (RecordChange("", b"", 7),)),
    ],
)
def test_batches_that_contradict_themselves_are_refused(batch):
    with pytest.raises(MalformedChangesError):
        batch.check()


def test_a_record_written_here_is_passed_on_though_the_store_goes_away(
    replica, listener
):
    """Guards against a record that its writer alone knows in an outage."""
    replica.note_written(StoreItem("versions/job", b"1", 6))
    assert listener.items["versions/job"] == b"1"
    assert replica.changes_after(5).changes == (RecordChange("versions/job", b"1", 6),)
    assert StoreItem("versions/job", b"1", 6) in replica.items


def test_a_record_written_here_hides_no_change_before_it(replica, listener):
    """Guards against a write that counts as all that has happened up to it."""
    replica.note_written(StoreItem("versions/job", b"1", 7))
    assert listener.items["versions/job"] == b"1"
    assert replica.revision == 5
    replica.apply((StoreItem("servers/b", b"1", 6),), 6)
    assert "servers/b" in listener.items


def test_a_listing_with_items_newer_than_itself_is_passed_on(replica):
    """Guards against followers that refuse all changes after a listing of two pages."""
    items = (StoreItem("servers/b", b"1", 7), StoreItem("servers/c", b"1", 12))
    replica.replace(items, 9)
    batch = replica.changes_after(5)
    batch.check()
    assert [change.key for change in batch.changes] == ["servers/b", "servers/a"]
    # The watch goes on at the listing's revision, and returns the newer item again.
    replica.apply((items[1],), 12)
    batch = replica.changes_after(9)
    batch.check()
    assert [change.key for change in batch.changes] == ["servers/c"]


class _Store:
    """A store with pages, for the property test; its state is a dict by key."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.events = []

    def write(self, key, value):
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = StoreItem(key, value, self.revision)
        self.events.append(StoreItem(key, value, self.revision))

    def page(self, after, size):
        keys = sorted(key for key in self.items if key > after)
        return [self.items[key] for key in keys[:size]], len(keys) > size


KEYS = st.sampled_from([f"servers/{name}" for name in "abcdef"])
WRITES = st.lists(st.tuples(KEYS, st.sampled_from([b"1", b"2", None])), max_size=4)
STEPS = st.lists(
    st.tuples(st.sampled_from(["list", "watch", "follow"]), st.lists(WRITES)),
    max_size=12,
)


@given(STEPS)
def test_pages_writes_and_watches_in_any_order_end_in_equal_states(steps):
    """Guards against a watcher or follower that stays behind, whatever came between."""
    store, watcher, follower = _Store(), StoreReplica(Listener()), Listener()
    copy = StoreReplica(follower)

    def write(batches):
        for key, value in batches.pop(0) if batches else ():
            store.write(key, value)

    def read_pages(batches):
        revision, items, after, has_more = store.revision, [], "", True
        while has_more:
            page, has_more = store.page(after, 2)
            items += page
            after = page[-1].key if page else ""
            write(batches)
        watcher.replace(tuple(items), revision)

    def watch(batches):
        events = [e for e in store.events if e.revision > watcher.revision]
        watcher.apply(tuple(events), store.revision)
        write(batches)

    def follow(batches):
        while copy.revision < watcher.revision:
            batch = watcher.changes_after(copy.revision)
            if batch is None or not copy.revision:
                copy.replace(watcher.items, watcher.revision)
                break
            batch.check()
            items = [StoreItem(c.key, c.value, c.revision) for c in batch.changes]
            copy.apply(tuple(items), batch.revision)
        write(batches)

    read_pages([])
    for name, batches in steps:
        {"list": read_pages, "watch": watch, "follow": follow}[name](list(batches))
    watch([])
    follow([])
    values = {item.key: item.value for item in store.items.values()}
    assert {item.key: item.value for item in watcher.items} == values
    assert {item.key: item.value for item in copy.items} == values


def test_a_record_without_a_key_keeps_no_change_from_followers(replica, listener):
    """Guards against batches that every follower refuses."""
    replica.apply((StoreItem("", b"1", 6), StoreItem("servers/b", b"1", 7)), 7)
    replica.replace((StoreItem("", b"1", 6), StoreItem("servers/b", b"1", 7)), 8)
    batch = replica.changes_after(5)
    batch.check()
    assert {change.key for change in batch.changes} == {"servers/a", "servers/b"}
