"""Which watchers a gateway calls, and when it watches the store itself."""

import asyncio

import pytest

from amaranthtally.daemon.gateway.state_freshness import StateFreshness
from amaranthtally.daemon.gateway.store_follower import StoreFollower
from amaranthtally.policy import WatcherSelection, elect_watchers
from amaranthtally.wire import PeerLostError
from amaranthtally.wire.gateway_codec import GatewayStatus, Versions
from tests.support.virtual_time import run_on_virtual_time

EVERYONE = {f"entry-{number}": "a1" for number in range(10)}
WATCHERS = sorted(elect_watchers(EVERYONE))
FOLLOWER = next(name for name in EVERYONE if name not in WATCHERS)
OTHERS = {name: dc for name, dc in EVERYONE.items() if name != FOLLOWER}
NEWER = Versions(records=9)


class FakeConnections:
    """Watchers that answer with a status each, or not at all."""

    def __init__(self):
        self.statuses = {name: GatewayStatus(watches=True) for name in WATCHERS}
        self.calls = []

    async def exchange_status(self, peer, versions, follows=False):
        self.calls.append((peer, follows))
        await asyncio.sleep(0.001)
        status = self.statuses.get(peer)
        if status is None:
            raise PeerLostError(peer, "no answer in time")
        return status


class Follower:
    def __init__(self):
        self.connections = FakeConnections()
        self.selection = WatcherSelection(FOLLOWER, "a1", {})
        self.selection.replace_entries(OTHERS)
        self.newer = []
        self.contacts = 0
        self.freshness = StateFreshness(lambda kind: 0, asyncio.get_running_loop().time)
        self.follower = StoreFollower(
            self.connections,
            self.selection,
            Versions,
            lambda peer, versions: self.newer.append((peer, versions)),
            self._note_contact,
            self.freshness,
        )
        self.task = asyncio.create_task(self.follower.run())

    def _note_contact(self):
        self.contacts += 1


def run_with_follower(check):
    async def run():
        follower = Follower()
        assert follower.follower.is_watching
        await asyncio.sleep(0.1)
        try:
            await check(follower)
        finally:
            follower.task.cancel()

    run_on_virtual_time(run())


def test_a_gateway_stops_watching_once_it_follows_a_watcher():
    async def check(follower):
        assert follower.selection.followed in WATCHERS
        assert not follower.follower.is_watching
        assert follower.contacts

    run_with_follower(check)


def test_a_change_that_the_followed_watcher_missed_is_learned_from_another():
    """Guards against followers of a watcher that lost the store without noticing."""

    async def check(follower):
        followed = follower.selection.followed
        for name in WATCHERS:
            if name != followed:
                follower.connections.statuses[name] = GatewayStatus(NEWER, watches=True)
        await asyncio.sleep(1.1)
        sources = {peer for peer, versions in follower.newer if versions == NEWER}
        assert sources
        assert followed not in sources

    run_with_follower(check)


@pytest.mark.parametrize(
    "status",
    [
        None,
        GatewayStatus(watches=False),
        GatewayStatus(leaving=True, watches=True),
    ],
)
def test_another_watcher_is_followed_when_one_is_lost(status):
    """Guards against gateways that follow one that hangs, leaves or lost the store."""

    async def check(follower):
        followed = follower.selection.followed
        follower.connections.statuses[followed] = status
        await asyncio.sleep(1.1)
        assert follower.selection.followed not in ("", followed)
        assert not follower.follower.is_watching

    run_with_follower(check)


def test_a_gateway_watches_the_store_itself_when_no_watcher_is_left():
    async def check(follower):
        follower.connections.statuses.clear()
        await asyncio.sleep(1.2)
        assert follower.follower.is_watching
        follower.connections.statuses = {WATCHERS[1]: GatewayStatus(watches=True)}
        await asyncio.sleep(1.2)
        assert follower.selection.followed == WATCHERS[1]
        assert not follower.follower.is_watching

    run_with_follower(check)


def test_calls_a_second_do_not_depend_on_the_number_of_watchers():
    async def check(follower):
        follower.connections.calls.clear()
        await asyncio.sleep(10.0)
        assert len(follower.connections.calls) <= 21

    run_with_follower(check)
