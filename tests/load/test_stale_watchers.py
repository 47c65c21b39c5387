"""Gateways that no longer hear of changes, in a fleet on virtual time."""

import asyncio
from math import inf

import pytest

from amaranthtally.daemon.gateway.prefix_watcher import MAX_WATCHER_AGE_S
from amaranthtally.daemon.gateway.state_freshness import StateKind
from amaranthtally.daemon.gateway.store_follower import (
    CONTACT_LIMIT_S,
    MAX_AGE_S,
    SPREAD_S,
)
from amaranthtally.wire.gateway_codec import Versions
from tests.load.fleet import run_with_fleet

SIZE = 30
# A follower asks its watcher each second.
NOTICED_S = MAX_WATCHER_AGE_S + 2.0
POLL_S = 0.05


def end_loops(member, *names):
    # A supervisor starts what failed again, but not what is cancelled.
    ended = [t for t in member._supervisor.running if t.get_name() in names]
    assert len(ended) == len(names)
    for task in ended:
        task.cancel()


def test_a_gateway_whose_loops_have_ended_is_not_in_touch():
    """Guards against a watcher without its loop, and a follower that asks nobody."""

    async def check(fleet):
        members = fleet.members.values()
        selections = {m: m.coordination._selection for m in members}
        follower = next(m for m, s in selections.items() if s.followed)
        watcher = fleet.members[selections[follower].followed]
        end_loops(watcher, "store_watcher")
        end_loops(follower, "store_follower", "store_contact_clock", "version_gossip")
        await asyncio.sleep(NOTICED_S)
        assert not watcher.coordination.store.can_be_followed
        followed = {s.followed for m, s in selections.items() if m is not follower}
        assert watcher.name not in followed
        await asyncio.sleep(MAX_AGE_S - NOTICED_S + POLL_S)
        assert not follower.coordination.store.is_connected

    run_with_fleet(SIZE, check)


def test_a_follower_that_asks_nobody_watches_the_store_itself():
    """Guards against a bound on the age of its state that the calls have to keep."""

    async def check(fleet):
        selections = {m: m.coordination._selection for m in fleet.members.values()}
        follower = next(m for m, s in selections.items() if s.followed)
        end_loops(follower, "store_follower", "version_gossip")
        await asyncio.sleep(CONTACT_LIMIT_S + SPREAD_S)
        assert follower.is_watching
        fleet.configure()
        await fleet.time_until_known(0.5, {follower.name})
        await asyncio.sleep(2 * MAX_AGE_S)
        assert follower.coordination.store.is_connected

    run_with_fleet(SIZE, check)


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

    run_with_fleet(SIZE, check)


def test_a_configuration_that_is_held_and_not_in_force_refuses_nothing_for_good():
    """Guards against 404 for a route whose table a listener failed to put in force."""

    async def check(fleet):
        member = next(iter(fleet.members.values()))
        put_in_force, member.routing_state.apply_table = (
            member.routing_state.apply_table,
            None,
        )
        fleet.configure()
        await asyncio.sleep(2.0)
        assert member.version == 2
        assert not member.coordination.is_configuration_confirmed
        member.routing_state.apply_table = put_in_force
        await asyncio.sleep(5.0)
        assert member.coordination.is_configuration_confirmed

    run_with_fleet(SIZE, check)


def test_a_gateway_whose_listener_failed_is_not_followed():
    """Guards against followers that refuse for good what their watcher failed on."""

    async def check(fleet):
        watcher = fleet.members[next(iter(fleet.watchers()))]
        put_in_force = watcher.routing_state.apply_table
        watcher.routing_state.apply_table = None
        fleet.configure()
        await asyncio.sleep(3.0)
        told = watcher.coordination.exchange_status("other", Versions(), False)
        assert not told.watches
        assert told.versions.configuration_age_s == inf
        watcher.routing_state.apply_table = put_in_force
        await asyncio.sleep(9.0)
        told = watcher.coordination.exchange_status("other", Versions(), False)
        assert told.watches
        assert told.versions.configuration_age_s < inf

    run_with_fleet(SIZE, check)


def test_only_a_data_centre_that_is_cut_off_refuses_nothing_for_good():
    """Guards against 404 for hours by gateways that only confirm each other."""

    async def check(fleet):
        members = fleet.members
        parted = {n for n, m in members.items() if m.data_centre == "a1"}
        assert 1 < len(parted) < SIZE / 2
        fleet.store.is_down = True
        await asyncio.sleep(60.0)
        # Without a cut, an outage of the store leaves refusals as they are.
        coordinations = {n: m.coordination for n, m in members.items()}
        assert all(c.is_configuration_confirmed for c in coordinations.values())
        fleet.parted = (parted,)
        await asyncio.sleep(60.0)
        confirmed = {
            n for n, c in coordinations.items() if c.is_configuration_confirmed
        }
        assert confirmed == set(members) - parted

    run_with_fleet(SIZE, check)
