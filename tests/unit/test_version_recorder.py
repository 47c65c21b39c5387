"""When the writer of a pool's versions drops one that has no endpoint."""

import asyncio
from dataclasses import replace

import pytest
from result import Ok

from amaranthtally.adapter.store import StoreItem
from amaranthtally.daemon.gateway.record_faults import RecordFaults
from amaranthtally.daemon.gateway.version_recorder import VersionRecorder
from tests.policy.support import endpoints
from tests.support.virtual_time import run_on_virtual_time

POOL = "engine"
RECORD = StoreItem(f"versions/{POOL}", b'["v1","v2"]', 3)
# A version is dropped after 120 s.
MOST_OF_IT_S = 110.0
REST_S = 20.0


class Store:
    def __init__(self):
        self.written = []

    async def transact(self, conditions, writes):
        self.written.append(writes[0].value)
        return Ok(4)


def started_recorder(store):
    listed = endpoints(POOL, 1).items()
    only = {name: replace(endpoint, version="v2") for name, endpoint in listed}
    recorder = VersionRecorder(
        "g1",
        store,
        lambda: frozenset([POOL]),
        lambda: only,
        lambda: True,
        lambda item: recorder.apply_change(item),
        RecordFaults(),
    )
    recorder.replace((RECORD,))
    return recorder, asyncio.create_task(recorder.run())


@pytest.mark.parametrize("gap", ["none", "listing", "stood still"])
def test_an_absence_counts_while_it_is_observed(gap):
    """Guards against a version that came and went while this gateway did not see."""

    async def check():
        store = Store()
        recorder, task = started_recorder(store)
        await asyncio.sleep(MOST_OF_IT_S)
        if gap == "listing":
            recorder.replace((RECORD,))
        elif gap == "stood still":
            loop = asyncio.get_running_loop()
            loop._virtual.now += REST_S
        await asyncio.sleep(REST_S)
        assert store.written == ([b'["v2"]'] if gap == "none" else [])
        task.cancel()

    run_on_virtual_time(check())
