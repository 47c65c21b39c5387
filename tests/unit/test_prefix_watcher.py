"""How often a gateway that watches the store calls it."""

import asyncio
from random import Random

from result import Ok

from amaranthtally.adapter.store import StoreEvents, StoreItem
from amaranthtally.daemon.gateway.prefix_watcher import (
    MIN_WATCH_INTERVAL_S,
    WATCH_TIMEOUT_S,
    PrefixWatcher,
)
from amaranthtally.daemon.gateway.state_freshness import StateFreshness
from amaranthtally.daemon.gateway.store_replica import StoreReplica
from tests.support.virtual_time import run_on_virtual_time
from tests.unit.test_store_replica import Listener

ROUND_TRIP_S = 0.001
RUN_S = 24.0


class Contact:
    def store_unreachable(self):
        pass

    def store_reachable(self):
        pass


class Duty:
    is_elected = True

    async def wait_until_due(self):
        pass


class Client:
    """A store whose watches last for their wait, or end at once."""

    is_receiving = False

    def __init__(self, lasts, changes_at=()):
        self.lasts = lasts
        self.changes_at = list(changes_at)
        self.starts = []

    async def list(self, prefix):
        await asyncio.sleep(ROUND_TRIP_S)
        return Ok(StoreEvents((), 1))

    async def watch(self, prefix, after, wait_s):
        now = asyncio.get_running_loop().time()
        self.starts.append(now)
        ends = now + (max(wait_s, ROUND_TRIP_S) if self.lasts else ROUND_TRIP_S)
        if self.changes_at and self.changes_at[0] < ends:
            await asyncio.sleep(max(ROUND_TRIP_S, self.changes_at.pop(0) - now))
            return Ok(StoreEvents((StoreItem("a", b"1", after + 1),), after + 1))
        await asyncio.sleep(ends - now)
        return Ok(StoreEvents((), after))


def play(client):
    """Watch for a while; return the times at which the replica's revision rose."""
    changed = []

    async def work():
        time = asyncio.get_running_loop().time
        replica = StoreReplica(Listener(), lambda: changed.append(time()))
        freshness = StateFreshness(lambda kind: replica.revision, time)
        watcher = PrefixWatcher(
            client, "", replica, Contact(), Duty(), Random(1), freshness
        )
        task = asyncio.ensure_future(watcher.run())
        await asyncio.sleep(RUN_S)
        task.cancel()

    run_on_virtual_time(work())
    return changed


def test_watches_that_end_at_once_are_not_repeated_at_once():
    """Guards against hundreds of calls in a second, each of which is paid for."""
    client = Client(lasts=False)
    play(client)
    assert len(client.starts) <= 2 + RUN_S / MIN_WATCH_INTERVAL_S


def test_in_calm_a_watch_follows_the_last_one_without_a_pause():
    """Guards against a change that waits for the next watch though none ended early."""
    client = Client(lasts=True, changes_at=[11.0])
    changed = play(client)
    gaps = [b - a for a, b in zip(client.starts, client.starts[1:], strict=False)]
    assert max(gaps) <= WATCH_TIMEOUT_S + 2 * ROUND_TRIP_S
    assert any(abs(at - 11.0) < 2 * ROUND_TRIP_S for at in changed)
