"""Origins of streams in the store: what is written, and again after a failure."""

import asyncio

from result import Err, Ok

from amaranthtally.adapter.store import StoreItem
from amaranthtally.daemon.gateway.origin_recorder import OriginRecorder
from amaranthtally.daemon.gateway.record_faults import RecordFaults
from amaranthtally.platform import PlatformUnavailable
from amaranthtally.policy import OriginEntry, StreamOrigin
from tests.support.virtual_time import run_on_virtual_time

FOREVER_S = 1e6
SETTLED_S = 3.0


class Store:
    """A store whose leases a test ends, and which may refuse calls."""

    def __init__(self):
        self.items = {}
        self.leases = set()
        self.serial = 0
        self.calls = 0
        self.refuses = False

    async def grant_lease(self, ttl_s):
        self.calls += 1
        if self.refuses:
            return Err(PlatformUnavailable("status 429"))
        self.serial += 1
        self.leases.add(self.serial)
        return Ok(self.serial)

    async def renew_lease(self, lease):
        self.calls += 1
        return Ok(lease in self.leases)

    async def transact(self, conditions, writes):
        self.calls += 1
        (write,) = writes
        if self.refuses or write.lease not in self.leases:
            return Err(PlatformUnavailable("status 404"))
        self.items[write.key] = write.value
        return Ok(1)

    def end_leases(self):
        self.leases.clear()
        self.items.clear()


class Recorder:
    """A recorder, what is held beside it, and what it has read."""

    def __init__(self, store):
        self.store = store
        self.held = []
        self.read = {}
        self.is_needed = True
        self.recorder = OriginRecorder(
            "g1",
            "cluj-a",
            store,
            lambda own_only: self.held,
            lambda entries: self.read.update((e.request_id, e.origin) for e in entries),
            lambda: self.is_needed,
            lambda: True,
            RecordFaults(),
        )

    def begin(self, request_id, version="v1"):
        origin = StreamOrigin("engines", version)
        self.held.append(OriginEntry(request_id, origin, FOREVER_S))

    def read_all(self):
        """Return what another gateway reads."""
        reader = Recorder(self.store)
        items = [StoreItem(key, value, 1) for key, value in self.store.items.items()]
        reader.recorder.replace(tuple(items))
        return reader.read


def run_with_recorder(check):
    async def run():
        recorder = Recorder(Store())
        writing = asyncio.create_task(recorder.recorder.run())
        await check(recorder)
        writing.cancel()

    run_on_virtual_time(run())


def test_all_that_is_held_can_be_read_by_others():
    async def check(recorder):
        for number in range(40):
            recorder.begin(f"r{number}", f"v{number % 3}")
            await asyncio.sleep(0.3)
        await asyncio.sleep(SETTLED_S)
        read = recorder.read_all()
        assert read == {entry.request_id: entry.origin for entry in recorder.held}
        assert 1 < len(recorder.store.items) < 12

    run_with_recorder(check)


def test_nothing_is_written_while_one_version_serves():
    """Guards against calls of the store for what no caller needs."""

    async def check(recorder):
        recorder.is_needed = False
        recorder.begin("r")
        await asyncio.sleep(SETTLED_S)
        assert not recorder.store.calls
        recorder.is_needed = True
        await asyncio.sleep(SETTLED_S)
        assert recorder.read_all() == {"r": StreamOrigin("engines", "v1")}

    run_with_recorder(check)


def test_what_a_lapsed_lease_took_along_is_written_again():
    """Guards against streams that are forgotten after an outage of the store."""

    async def check(recorder):
        recorder.begin("r1")
        await asyncio.sleep(SETTLED_S)
        recorder.store.end_leases()
        recorder.begin("r2")
        await asyncio.sleep(SETTLED_S)
        assert set(recorder.read_all()) == {"r1", "r2"}

    run_with_recorder(check)


def test_a_store_that_refuses_gets_few_calls():
    """Guards against a call for each interval while the store turns this host away."""

    async def check(recorder):
        recorder.store.refuses = True
        recorder.begin("r")
        await asyncio.sleep(20.0)
        assert 2 < recorder.store.calls <= 20
        recorder.store.refuses = False
        await asyncio.sleep(SETTLED_S)
        assert set(recorder.read_all()) == {"r"}

    run_with_recorder(check)


def test_bytes_that_cannot_be_read_say_nothing():
    async def check(recorder):
        recorder.recorder.replace((StoreItem("origins/7/0", b"{", 1),))
        recorder.recorder.apply_change(StoreItem("origins/7/0", None, 2))
        assert not recorder.read

    run_with_recorder(check)
