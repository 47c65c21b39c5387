"""Changes from peers: whose are applied, and which are read when some are missing."""

import asyncio

from amaranthtally.adapter.store import StoreItem
from amaranthtally.daemon.gateway import change_receiver
from amaranthtally.daemon.gateway.change_receiver import ChangeReceiver
from amaranthtally.daemon.gateway.store_replica import StoreReplica
from amaranthtally.wire import PeerLostError
from amaranthtally.wire.changes import ChangeBatch, RecordChange
from amaranthtally.wire.gateway_codec import Versions
from tests.support import run_async
from tests.unit.test_store_replica import Listener

WATCHER = "watcher"


class FakeStore:
    is_connected = True
    is_watching = False
    settling_s = 0.0

    def note_settling(self, seconds):
        self.settling_s = seconds


class FakeFetcher:
    def __init__(self):
        self.newer = []
        self.records = []

    async def fetch_newer(self, peer, versions):
        self.newer.append(peer)

    async def fetch_records(self, peer, versions):
        self.records.append(peer)


class FakeConnections:
    """Peers that keep the given changes, or fail."""

    def __init__(self, batches=(), fails=False):
        self.batches = list(batches)
        self.fails = fails
        self.reads = []

    async def read_changes(self, peer, after):
        self.reads.append((peer, after))
        await asyncio.sleep(0)
        if self.fails:
            raise PeerLostError(peer, "no answer in time")
        return self.batches.pop(0) if self.batches else None


class Receiver:
    """A receiver at revision 5 that follows one watcher."""

    def __init__(self, connections):
        self.listener = Listener()
        self.replica = StoreReplica(self.listener)
        self.replica.replace((StoreItem("servers/a", b"1", 3),), 5)
        self.store = FakeStore()
        self.fetcher = FakeFetcher()
        self.tasks = []
        self.noted = []
        self.receiver = ChangeReceiver(
            connections,
            self.replica,
            self.fetcher,
            self.store,
            lambda: WATCHER,
            lambda peer, versions: self.noted.append((peer, versions)),
            lambda work: self.tasks.append(asyncio.create_task(work)),
        )

    def push(self, *changes, peer=WATCHER, after=5, revision=9):
        batch = ChangeBatch(after, revision, changes)
        versions = Versions(configuration=1, records=revision)
        return self.receiver.push_received(peer, batch, versions)

    async def finish(self):
        while self.tasks:
            await self.tasks.pop()


def run_with_receiver(check, connections=None):
    async def run():
        receiver = Receiver(connections or FakeConnections())
        await check(receiver)
        await receiver.finish()

    run_async(run())


def test_a_push_of_the_followed_watcher_is_applied():
    async def check(receiver):
        assert receiver.push(RecordChange("servers/b", b"1", 7))
        assert set(receiver.listener.items) == {"servers/a", "servers/b"}
        assert receiver.replica.revision == 9

    run_with_receiver(check)


def test_a_push_of_another_gateway_changes_nothing():
    """Guards against endpoints that a gateway outside the fleet adds."""

    async def check(receiver):
        assert not receiver.push(RecordChange("servers/b", b"1", 7), peer="stranger")
        assert not receiver.noted
        assert set(receiver.listener.items) == {"servers/a"}
        assert receiver.replica.revision == 5

    run_with_receiver(check)


def test_an_older_push_changes_nothing():
    async def check(receiver):
        receiver.push(RecordChange("servers/b", None, 7))
        receiver.push(RecordChange("servers/b", b"1", 6), revision=6)
        assert set(receiver.listener.items) == {"servers/a"}
        assert receiver.replica.revision == 9

    run_with_receiver(check)


def test_a_malformed_push_changes_nothing_and_is_logged_once(monkeypatch):
    """Guards against a faulty peer that fills the log."""
    logged = []

    class Log:
        def warning(self, event, **fields):
            logged.append((event, fields["peer"]))

        def info(self, *_, **__):
            pass

    monkeypatch.setattr(change_receiver, "log", Log())

    async def check(receiver):
        for _ in range(3):
            assert not receiver.push(RecordChange("servers/b", b"1", 99))
        assert set(receiver.listener.items) == {"servers/a"}
        assert logged == [("changes_refused", WATCHER)]

    run_with_receiver(check)


def test_missing_changes_are_read_after_a_push_that_leaves_a_gap():
    """Guards against a lost push after which a removed endpoint is used for ever."""
    connections = FakeConnections(
        [
            ChangeBatch(5, 6, (RecordChange("servers/a", None, 6),)),
            ChangeBatch(6, 9, (RecordChange("servers/c", b"1", 9),)),
        ]
    )

    async def check(receiver):
        assert receiver.push(RecordChange("servers/c", b"1", 9), after=7)
        assert receiver.replica.revision == 5
        await receiver.finish()
        assert set(receiver.listener.items) == {"servers/c"}
        assert connections.reads == [(WATCHER, 5), (WATCHER, 6)]

    run_with_receiver(check, connections)


def test_all_records_are_read_if_the_changes_are_not_kept():
    async def check(receiver):
        receiver.receiver.catch_up(WATCHER, Versions(records=9))
        await receiver.finish()
        assert receiver.fetcher.records == [WATCHER]

    run_with_receiver(check)


def test_an_answer_that_makes_no_progress_ends_the_read():
    """Guards against a gateway that asks a faulty peer without end."""
    connections = FakeConnections([ChangeBatch(5, 5)] * 3)

    async def check(receiver):
        receiver.receiver.catch_up(WATCHER, Versions(records=9))
        await receiver.finish()
        assert len(connections.reads) == 1

    run_with_receiver(check, connections)


def test_changes_are_read_again_after_a_peer_failed():
    connections = FakeConnections(fails=True)

    async def check(receiver):
        for _ in range(2):
            receiver.receiver.catch_up(WATCHER, Versions(records=9))
            await receiver.finish()
        assert len(connections.reads) == 2

    run_with_receiver(check, connections)


def test_a_watcher_waits_for_its_own_watch_first():
    """Guards against two copies of each change at the gateways that watch."""
    connections = FakeConnections([ChangeBatch(5, 9)])

    async def check(receiver):
        receiver.store.is_watching = True
        receiver.receiver.catch_up(WATCHER, Versions(records=9))
        await asyncio.sleep(0.05)
        receiver.replica.apply((StoreItem("servers/b", b"1", 9),), 9)
        await receiver.finish()
        assert not connections.reads

    run_with_receiver(check, connections)


def test_a_follower_that_cannot_apply_a_batch_reads_all_records():
    """Guards against requests to endpoints whose leaving a follower never hears of."""

    async def check(receiver):
        for _ in range(3):
            assert not receiver.push(RecordChange("servers/b", b"1", 12), revision=9)
            await asyncio.sleep(0)
        assert receiver.fetcher.records == [WATCHER]
        assert receiver.receiver.refused == 3

    run_with_receiver(check)


def test_a_follower_that_reads_a_batch_it_cannot_apply_reads_all_records():
    """Guards against the same, where the batch was asked for."""
    batch = ChangeBatch(5, 9, (RecordChange("servers/b", b"1", 12),))

    async def check(receiver):
        receiver.receiver.catch_up(WATCHER, Versions(configuration=1, records=9))
        await receiver.finish()
        assert receiver.fetcher.records == [WATCHER]

    run_with_receiver(check, FakeConnections([batch]))
