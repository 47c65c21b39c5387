"""Fetching of documents from peers: concurrency, and precedence of the store."""

import asyncio
import random

import pytest

from amaranthtally.daemon.gateway.document_fetcher import DocumentFetcher
from amaranthtally.daemon.gateway.state_freshness import StateFreshness
from amaranthtally.daemon.gateway.version_gossip import VersionGossip
from amaranthtally.wire import PeerLostError
from amaranthtally.wire.documents import Document, DocumentSnapshots
from amaranthtally.wire.gateway_codec import GatewayStatus, Versions
from tests.support import run_async

CONTENT = random.Random(7).randbytes(100_000)
NEWER = Versions(configuration=5, records=50)


class FakeStore:
    def __init__(self, is_connected=True, is_watching=True):
        self.is_connected = is_connected
        self.is_watching = is_watching
        self.is_receiving = False
        self.answers = True
        self.reads = 0

    async def read_configuration(self):
        self.reads += 1
        return self.answers


class FakeHolder:
    def __init__(self):
        self.versions = Versions(configuration=4, records=40)
        self.applied = []

    def note_peer_versions(self, peer, versions):
        pass

    def apply_document(self, peer, document, version, content):
        self.applied.append((peer, document, version, content))
        is_configuration = document is Document.CONFIGURATION
        changed = {"configuration" if is_configuration else "records": version}
        self.versions = self.versions._replace(**changed)


class FakeConnections:
    """Peers that all hold the same documents; some fail after a few parts."""

    def __init__(self, fails_after=None):
        self.snapshots = {document: DocumentSnapshots() for document in Document}
        self.snapshots[Document.CONFIGURATION].put(5, CONTENT)
        self.snapshots[Document.RECORDS].put(50, CONTENT)
        self.fails_after = fails_after or {}
        self.reads = []
        self.concurrent = 0
        self.max_concurrent = 0

    async def read_part(self, peer, request):
        self.reads.append((peer, request))
        if len([1 for p, _ in self.reads if p == peer]) > self.fails_after.get(
            peer, 99
        ):
            raise PeerLostError(peer, "no answer in time")
        self.concurrent += 1
        self.max_concurrent = max(self.max_concurrent, self.concurrent)
        await asyncio.sleep(0.001)
        self.concurrent -= 1
        return self.snapshots[request.document].read_part(request)


def test_one_fetch_runs_at_a_time_however_many_peers_have_newer_documents():
    """Guards against concurrent fetches from many peers that saturate a slow link."""

    async def check():
        connections, holder = FakeConnections(), FakeHolder()
        fetcher = DocumentFetcher(connections, holder, FakeStore())
        await asyncio.gather(
            *(fetcher.fetch_newer(f"peer-{n}", NEWER) for n in range(8))
        )
        assert connections.max_concurrent == 1
        assert len({peer for peer, _ in connections.reads}) == 1
        assert [call[1:] for call in holder.applied] == [
            (Document.CONFIGURATION, 5, CONTENT)
        ]

    run_async(check())


def test_received_parts_are_kept_when_the_peer_fails():
    """Guards against fetches that start over whenever a peer fails."""

    async def check():
        connections, holder = FakeConnections({"first": 3}), FakeHolder()
        fetcher = DocumentFetcher(connections, holder, FakeStore(is_connected=False))
        await fetcher.fetch_newer("first", NEWER._replace(records=40))
        assert not holder.applied
        before = len(connections.reads)
        await fetcher.fetch_newer("second", NEWER._replace(records=40))
        assert connections.reads[before][1].offset > 0
        assert holder.applied[0][3] == CONTENT

    run_async(check())


def test_a_document_that_the_store_is_sending_is_not_fetched_from_a_peer():
    """Guards against fetches that compete with the store's response for the link."""

    async def check():
        connections, holder, store = FakeConnections(), FakeHolder(), FakeStore()
        store.is_receiving = True
        fetcher = DocumentFetcher(connections, holder, store)
        fetching = asyncio.create_task(fetcher.fetch_newer("peer", NEWER))
        await asyncio.sleep(0.6)
        holder.versions = Versions(configuration=5, records=50)
        await fetching
        assert not connections.reads

    run_async(check())


@pytest.mark.parametrize("answers", [True, False])
def test_a_follower_reads_a_large_configuration_from_the_store(answers):
    """Guards against a watcher whose link is filled by what all followers read."""

    async def check():
        connections, holder = FakeConnections(), FakeHolder()
        store = FakeStore(is_watching=False)
        store.answers = answers
        await DocumentFetcher(connections, holder, store).fetch_newer("peer", NEWER)
        if answers:
            assert (store.reads, len(connections.reads)) == (1, 1)
            assert not holder.applied
        else:
            assert [call[3] for call in holder.applied] == [CONTENT]

    run_async(check())


def test_a_follower_reads_a_small_configuration_from_its_watcher():
    async def check():
        connections, holder = FakeConnections(), FakeHolder()
        connections.snapshots[Document.CONFIGURATION].put(6, CONTENT[:10_000])
        store = FakeStore(is_watching=False)
        await DocumentFetcher(connections, holder, store).fetch_newer("peer", NEWER)
        assert store.reads == 0
        assert [call[3] for call in holder.applied] == [CONTENT[:10_000]]

    run_async(check())


def test_a_document_is_fetched_from_a_peer_if_the_store_sends_nothing():
    """Guards against a watch without events that hides a newer configuration."""

    async def check():
        connections, holder = FakeConnections(), FakeHolder()
        async with asyncio.timeout(1.0):
            await DocumentFetcher(connections, holder, FakeStore()).fetch_newer(
                "peer", NEWER
            )
        assert [call[1] for call in holder.applied] == [Document.CONFIGURATION]

    run_async(check())


def test_records_are_fetched_only_while_the_store_does_not_answer():
    async def check():
        connections, holder = FakeConnections(), FakeHolder()
        fetcher = DocumentFetcher(connections, holder, FakeStore(is_connected=False))
        await fetcher.fetch_newer("peer", NEWER)
        assert [call[1] for call in holder.applied] == list(Document)

    run_async(check())


def test_a_peer_without_documents_ends_the_fetch():
    async def check():
        connections, holder = FakeConnections(), FakeHolder()
        connections.snapshots[Document.CONFIGURATION] = DocumentSnapshots()
        async with asyncio.timeout(1.0):
            await DocumentFetcher(connections, holder, FakeStore()).fetch_newer(
                "peer", NEWER
            )
        assert not holder.applied

    run_async(check())


def test_the_wait_for_a_store_that_keeps_sending_is_limited():
    """Guards against a response that never ends and hides a newer configuration."""

    async def check():
        connections, holder, store = FakeConnections(), FakeHolder(), FakeStore()
        store.is_receiving = True
        async with asyncio.timeout(4.0):
            await DocumentFetcher(connections, holder, store).fetch_newer("peer", NEWER)
        assert [call[1] for call in holder.applied] == [Document.CONFIGURATION]

    run_async(check())


def test_gossip_continues_during_a_fetch():
    """Guards against a gateway that stops its gossip rounds while it fetches."""

    class FakeGossipConnections:
        exchanges = 0

        async def exchange_status(self, peer, versions):
            self.exchanges += 1
            return GatewayStatus(NEWER)

    async def check():
        connections, holder, fetched = FakeGossipConnections(), FakeHolder(), []
        gossip = VersionGossip(
            connections,
            holder,
            lambda peer, peer_versions: fetched.append((peer, peer_versions)),
            FakeStore(is_connected=False),
            lambda: ["one"],
            random.Random(1),
            StateFreshness(lambda kind: 0),
        )
        running = asyncio.create_task(gossip.run())
        while connections.exchanges < 3:
            await asyncio.sleep(0.01)
        running.cancel()
        assert fetched[:2] == [("one", NEWER)] * 2

    run_async(check())
