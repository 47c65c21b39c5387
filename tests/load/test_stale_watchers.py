"""Gateways that no longer hear of changes, in a fleet on virtual time."""

import asyncio

import pytest

from amaranthtally.daemon.gateway.prefix_watcher import MAX_WATCHER_AGE_S
from amaranthtally.daemon.gateway.state_freshness import StateKind
from amaranthtally.daemon.gateway.store_follower import MAX_AGE_S
from tests.load.fleet import open_fleet
from tests.support.virtual_time import run_on_virtual_time

SIZE = 30
SETTLED_S = 12.0
# A follower asks its watcher each second.
NOTICED_S = MAX_WATCHER_AGE_S + 2.0
POLL_S = 0.05


def run_with_fleet(check):
    async def run():
        with open_fleet(SIZE) as fleet:
            await asyncio.sleep(SETTLED_S)
            await check(fleet)

    run_on_virtual_time(run())


def followed_by(fleet):
    return {
        name: member.coordination._selection.followed
        for name, member in fleet.members.items()
    }


def end_task(member, name):
    [task] = [t for t in member._tasks if t.get_coro().__qualname__ == name]
    task.cancel()


def test_a_watcher_whose_loop_has_ended_is_followed_no_longer():
    """Guards against gateways that follow one which stopped following the store."""

    async def check(fleet):
        followed = next(name for name in followed_by(fleet).values() if name)
        end_task(fleet.members[followed], "PrefixWatcher.run")
        await asyncio.sleep(NOTICED_S)
        assert not fleet.members[followed].coordination.store.can_be_followed
        assert followed not in followed_by(fleet).values()

    run_with_fleet(check)


def test_a_follower_whose_loop_has_ended_does_not_count_as_connected():
    """Guards against a gateway that asks nobody and goes on as connected."""

    async def check(fleet):
        name = next(name for name, followed in followed_by(fleet).items() if followed)
        member = fleet.members[name]
        end_task(member, "StoreFollower.run")
        end_task(member, "VersionGossip.run")
        await asyncio.sleep(MAX_AGE_S + POLL_S)
        assert not member.coordination.store.is_connected

    run_with_fleet(check)


@pytest.mark.parametrize("loses_answers", [False, True])
def test_no_gateway_counts_as_out_of_date_in_calm(loses_answers):
    """Guards against a bound that a slow or lost answer exceeds without any harm."""

    async def check(fleet):
        oldest = dict.fromkeys(StateKind, 0.0)
        for tick in range(int(60.0 / POLL_S)):
            if loses_answers and tick == 100:
                fleet.store.cut.update(fleet.watchers())
            if tick == 102:
                fleet.store.cut.clear()
            await asyncio.sleep(POLL_S)
            for member in fleet.members.values():
                for kind in StateKind:
                    age_s = member.coordination.freshness.age_s(kind)
                    oldest[kind] = max(oldest[kind], age_s)
                if not loses_answers:
                    assert member.coordination.store.is_connected
                assert member.coordination.is_configuration_confirmed
        assert max(oldest.values()) <= MAX_AGE_S

    run_with_fleet(check)
