"""Coordination of gateways: what it costs a fleet of any size, and who hears late."""

import asyncio

import pytest

from amaranthtally.wire.changes import ChangeBatch
from amaranthtally.wire.gateway_codec import Versions
from tests.load.fleet import SETTLED_S, run_with_fleet

# Time within which a change must be in force everywhere, in seconds.
IN_FORCE_S = 4.0
# The same where users ask for the most, in seconds.
STRICT_IN_FORCE_S = 2.5
# Time after which gateways that lost the store or their peers must be up to date, in
# seconds: the users allow 4 s to be in touch again, and then 4 s for the change.
IN_TOUCH_S = 4.0
SIZES = (30, 100, 300)
# Highest price of a gateway's calls to the store in a second without changes, in calls.
MAX_CALLS_PER_S = 0.3
# Most peers that a gateway calls while nothing changes.
MAX_PEERS = 8


@pytest.mark.parametrize("size", SIZES)
def test_few_gateways_watch_and_calls_do_not_grow_with_the_fleet(size):
    """Guards against a store that every gateway of a growing fleet watches."""

    async def check(fleet):
        assert len(fleet.watchers()) <= max(6, size / 6)
        before = fleet.store.price()
        await asyncio.sleep(30.0)
        assert (fleet.store.price() - before) / 30.0 / size < MAX_CALLS_PER_S

    run_with_fleet(size, check)


@pytest.mark.parametrize("size", SIZES)
def test_a_gateway_calls_few_peers_however_many_there_are(size):
    """Guards against connections between all gateways."""

    async def check(fleet):
        for member in fleet.members.values():
            member.connections.called.clear()
        await asyncio.sleep(30.0)
        called = [len(member.connections.called) for member in fleet.members.values()]
        assert max(called) <= MAX_PEERS

    run_with_fleet(size, check)


@pytest.mark.parametrize("size", SIZES)
def test_a_change_is_known_everywhere(size):
    async def check(fleet):
        for _ in range(5):
            fleet.configure()
            await fleet.time_until_known(IN_FORCE_S)
            await asyncio.sleep(0.7)

    run_with_fleet(size, check)


def watcher_of(fleet, number=0):
    return sorted(fleet.watchers())[number]


def kill_watcher(fleet):
    fleet.kill(watcher_of(fleet))


def freeze_watcher(fleet):
    fleet.freeze(watcher_of(fleet))


def cut_watcher_from_store(fleet):
    fleet.store.cut.add(watcher_of(fleet))


def reject_watcher(fleet):
    fleet.store.rejected.add(watcher_of(fleet))


def silence_watch(fleet):
    fleet.store.silent.add(watcher_of(fleet))


def break_watcher(fleet):
    fleet.store.faulty.add(watcher_of(fleet))


def lose_pushes(fleet):
    fleet.push_losers = set(fleet.members)


def compact_history(fleet):
    fleet.store.compact_history()


@pytest.mark.parametrize(
    "fail",
    [
        kill_watcher,
        freeze_watcher,
        cut_watcher_from_store,
        reject_watcher,
        silence_watch,
        break_watcher,
        lose_pushes,
        compact_history,
    ],
)
@pytest.mark.parametrize("lead_s", [0.0, 0.3, 2.0])
@pytest.mark.parametrize("size", [6, 30])
def test_a_change_is_known_in_time_although_a_watcher_fails(fail, lead_s, size):
    """
    Guards against followers that wait for a watcher which is gone, hangs, has lost the
    store without noticing, fails at its answers, or sends nothing; the store answers
    all others.
    """

    async def check(fleet):
        names = set(fleet.members)
        fail(fleet)
        store = fleet.store
        for failed in (store.cut, store.rejected, store.silent, store.faulty):
            names -= failed
        names &= set(fleet.members)
        await asyncio.sleep(lead_s)
        fleet.configure()
        await fleet.time_until_known(STRICT_IN_FORCE_S, names)

    run_with_fleet(size, check)


def test_a_watcher_that_failed_once_is_up_to_date_in_time():
    """Guards against a loop that an exception ends, in all watchers at once."""

    async def check(fleet):
        watchers = fleet.watchers()
        fleet.store.faulty.update(watchers)
        fleet.configure()
        await asyncio.sleep(1.0)
        # The others watch the store themselves, or follow one that does.
        await fleet.time_until_known(IN_FORCE_S, set(fleet.members) - set(watchers))
        fleet.store.faulty.clear()
        await fleet.time_until_known(IN_TOUCH_S + IN_FORCE_S)
        fleet.configure()
        await fleet.time_until_known(IN_FORCE_S)

    run_with_fleet(30, check)


def test_a_change_is_known_in_time_although_all_watchers_are_rejected():
    """Guards against followers that take the watchers' word that the store is away."""

    async def check(fleet):
        fleet.store.rejected.update(fleet.watchers())
        await asyncio.sleep(1.0)
        fleet.configure()
        await fleet.time_until_known(IN_FORCE_S)

    run_with_fleet(30, check)


def test_rejected_gateways_get_changes_from_the_others():
    """Guards against a revoked key that works wherever the store answers nobody."""

    async def check(fleet):
        fleet.store.rejected.update(list(fleet.members)[:20])
        await asyncio.sleep(3.0)
        fleet.configure()
        await fleet.time_until_known(IN_FORCE_S)

    run_with_fleet(30, check)


def test_all_watches_that_go_silent_are_noticed_before_the_users_count_on_them():
    """Guards against long watches that all end minutes after their connections."""

    async def check(fleet):
        fleet.store.silent.update(fleet.members)
        await asyncio.sleep(0.1)
        fleet.configure()
        await asyncio.sleep(IN_TOUCH_S)
        fleet.store.silent.clear()
        assert not fleet.late()

    run_with_fleet(30, check)


def test_all_gateways_restart_at_once():
    async def check(fleet):
        names = list(fleet.members)
        for name in names:
            fleet.kill(name)
        fleet.configure()
        for name in names:
            fleet.start(name)
        await fleet.time_until_known(IN_FORCE_S)
        await asyncio.sleep(SETTLED_S)
        fleet.configure()
        await fleet.time_until_known(IN_FORCE_S)

    run_with_fleet(30, check)


def test_half_of_all_gateways_join_at_once():
    """Guards against joining gateways without a configuration, and others that wait."""

    async def check(fleet):
        fleet.add(34)
        await asyncio.sleep(0.2)
        fleet.configure()
        await fleet.time_until_known(IN_FORCE_S)
        await asyncio.sleep(SETTLED_S)
        assert len(fleet.watchers()) <= 12
        fleet.configure()
        await fleet.time_until_known(IN_FORCE_S)

    run_with_fleet(34, check)


def test_parted_data_centres_follow_the_store_where_it_answers():
    """Guards against gateways without changes beside others that the store answers."""

    async def check(fleet):
        parted = {n for n, m in fleet.members.items() if m.data_centre == "a1"}
        fleet.parted = (parted,)
        await asyncio.sleep(1.0)
        fleet.configure()
        await fleet.time_until_known(IN_FORCE_S)

    run_with_fleet(30, check)


def test_calls_to_a_silent_store_are_few():
    """Guards against a fleet that asks a store that is away from every gateway."""

    async def check(fleet):
        fleet.store.is_down = True
        await asyncio.sleep(5.0)
        before = fleet.store.calls["list"] + fleet.store.calls["watch"]
        await asyncio.sleep(20.0)
        asked = fleet.store.calls["list"] + fleet.store.calls["watch"] - before
        assert asked / 20.0 / len(fleet.members) < 0.4
        fleet.store.is_down = False
        fleet.configure()
        await fleet.time_until_known(IN_FORCE_S)

    run_with_fleet(100, check)


def test_endpoints_are_kept_everywhere_while_they_register_again():
    """Guards against followers that drop endpoints whose records an outage expired."""

    async def check(fleet):
        before = dict(fleet.store.items)
        expected = {key.rpartition("/")[2] for key in before if "servers/" in key}
        fleet.store.is_down = True
        await asyncio.sleep(3.7)
        for key in before:
            if key.startswith("servers/"):
                fleet.store.remove(key)
        fleet.store.is_down = False
        for _ in range(15):
            await asyncio.sleep(0.1)
            assert all(m.endpoints == expected for m in fleet.members.values())
        for key, item in before.items():
            if key.startswith("servers/"):
                fleet.store.put(key, item.value)
        await asyncio.sleep(3.0)
        assert all(m.endpoints == expected for m in fleet.members.values())

    run_with_fleet(30, check)


def test_a_push_of_a_gateway_that_is_not_followed_changes_no_version():
    """Guards against an alert for a configuration that nobody but a stranger has."""

    async def check(fleet):
        member = next(iter(fleet.members.values()))
        batch = ChangeBatch(1, 10_000)
        versions = Versions(configuration=10_000, records=10_000)
        assert not member.coordination.push_received("stranger", batch, versions)
        assert member.coordination.configuration.newest_known == member.version

    run_with_fleet(6, check)
