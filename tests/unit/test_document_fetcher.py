"""Copies from peers: how many at once, and whether the store goes first."""

import asyncio
import random

from amaranthtally.daemon.gateway.document_fetcher import DocumentFetcher
from amaranthtally.daemon.gateway.version_gossip import VersionGossip
from amaranthtally.wire import PeerLostError
from amaranthtally.wire.documents import Document, DocumentSnapshots
from amaranthtally.wire.gateway_codec import Greeting, Versions
from tests.support import run_async

CONTENT = random.Random(7).randbytes(100_000)
NEWER = Versions(configuration=5, records=50)


class FakeStore:
    def __init__(self, is_connected=True):
        self.is_connected = is_connected
        self.is_receiving = False


class FakeHolder:
    def __init__(self):
        self.versions = Versions(configuration=4, records=40)
        self.taken = []

    def note_peer_versions(self, peer, versions):
        pass

    def apply_document(self, peer, document, version, content):
        self.taken.append((peer, document, version, content))
        is_configuration = document is Document.CONFIGURATION
        changed = {"configuration" if is_configuration else "records": version}
        self.versions = self.versions._replace(**changed)


class FakeConnections:
    """Peers that all have the same documents; some fail after a few parts."""

    def __init__(self, fails_after=None):
        self.snapshots = {document: DocumentSnapshots() for document in Document}
        self.snapshots[Document.CONFIGURATION].put(5, CONTENT)
        self.snapshots[Document.RECORDS].put(50, CONTENT)
        self.fails_after = fails_after or {}
        self.reads = []
        self.at_once = 0
        self.most_at_once = 0

    async def read_part(self, peer, request):
        self.reads.append((peer, request))
        if len([1 for p, _ in self.reads if p == peer]) > self.fails_after.get(
            peer, 99
        ):
            raise PeerLostError(peer, "no answer in time")
        self.at_once += 1
        self.most_at_once = max(self.most_at_once, self.at_once)
        await asyncio.sleep(0.001)
        self.at_once -= 1
        return self.snapshots[request.document].part(request)


def test_one_copy_runs_at_a_time_however_many_peers_have_news():
    """Guards against copies from many peers that fill a thin link together."""

    async def check():
        connections, holder = FakeConnections(), FakeHolder()
        copy = DocumentFetcher(connections, holder, FakeStore())
        await asyncio.gather(*(copy.fetch_newer(f"peer-{n}", NEWER) for n in range(8)))
        assert connections.most_at_once == 1
        assert len({peer for peer, _ in connections.reads}) == 1
        assert [taken[1:] for taken in holder.taken] == [
            (Document.CONFIGURATION, 5, CONTENT)
        ]

    run_async(check())


def test_what_has_come_is_kept_when_its_peer_fails():
    """Guards against copies that are begun anew whenever a peer fails."""

    async def check():
        connections, holder = FakeConnections({"first": 3}), FakeHolder()
        copy = DocumentFetcher(connections, holder, FakeStore(is_connected=False))
        await copy.fetch_newer("first", NEWER._replace(records=40))
        assert not holder.taken
        before = len(connections.reads)
        await copy.fetch_newer("second", NEWER._replace(records=40))
        assert connections.reads[before][1].offset > 0
        assert holder.taken[0][3] == CONTENT

    run_async(check())


def test_nothing_is_copied_that_the_store_is_sending():
    """Guards against copies that fill the link which the store's answer needs."""

    async def check():
        connections, holder, store = FakeConnections(), FakeHolder(), FakeStore()
        store.is_receiving = True
        copy = DocumentFetcher(connections, holder, store)
        bringing = asyncio.create_task(copy.fetch_newer("peer", NEWER))
        await asyncio.sleep(0.6)
        holder.versions = Versions(configuration=5, records=50)
        await bringing
        assert not connections.reads

    run_async(check())


def test_a_store_that_sends_nothing_is_not_waited_for():
    """Guards against a watch that has gone silent and hides a newer configuration."""

    async def check():
        connections, holder = FakeConnections(), FakeHolder()
        async with asyncio.timeout(1.0):
            await DocumentFetcher(connections, holder, FakeStore()).fetch_newer(
                "peer", NEWER
            )
        assert [taken[1] for taken in holder.taken] == [Document.CONFIGURATION]

    run_async(check())


def test_records_are_copied_only_while_the_store_does_not_answer():
    async def check():
        connections, holder = FakeConnections(), FakeHolder()
        copy = DocumentFetcher(connections, holder, FakeStore(is_connected=False))
        await copy.fetch_newer("peer", NEWER)
        assert [taken[1] for taken in holder.taken] == list(Document)

    run_async(check())


def test_a_peer_that_has_nothing_ends_the_copy():
    async def check():
        connections, holder = FakeConnections(), FakeHolder()
        connections.snapshots[Document.CONFIGURATION] = DocumentSnapshots()
        async with asyncio.timeout(1.0):
            await DocumentFetcher(connections, holder, FakeStore()).fetch_newer(
                "peer", NEWER
            )
        assert not holder.taken

    run_async(check())


def test_a_store_that_trickles_is_not_waited_for_without_end():
    """Guards against an answer that never ends and hides a newer configuration."""

    async def check():
        connections, holder, store = FakeConnections(), FakeHolder(), FakeStore()
        store.is_receiving = True
        async with asyncio.timeout(4.0):
            await DocumentFetcher(connections, holder, store).fetch_newer("peer", NEWER)
        assert [taken[1] for taken in holder.taken] == [Document.CONFIGURATION]

    run_async(check())


def test_greetings_go_on_while_something_is_copied():
    """Guards against a gateway that falls silent for as long as it copies."""

    class FakeGossipConnections:
        greeted = 0

        async def exchange_versions(self, peer, versions):
            self.greeted += 1
            return Greeting(NEWER)

    async def check():
        connections, holder, brought = FakeGossipConnections(), FakeHolder(), []
        exchange = VersionGossip(
            connections,
            holder,
            lambda peer, theirs: brought.append((peer, theirs)),
            FakeStore(is_connected=False),
            lambda: ["one"],
            random.Random(1),
        )
        running = asyncio.create_task(exchange.run())
        while connections.greeted < 3:
            await asyncio.sleep(0.01)
        running.cancel()
        assert brought[:2] == [("one", NEWER)] * 2

    run_async(check())
