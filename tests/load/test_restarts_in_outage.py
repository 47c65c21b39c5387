"""Gateways that start while the store does not answer, in fleets of several sizes."""

import asyncio

import pytest

from tests.load.fleet import run_with_fleet

SIZES = (6, 17, 30)
# From the signal to the end of a gateway that is stopped, and until it runs again, in
# seconds.
STOP_S = 4.6
RESTART_S = 1.1
ROLL_INTERVAL_S = 0.7
# Time within which a gateway that starts must be able to serve, in seconds.
COMPLETE_WITHIN_S = 1.0


def stop_store(fleet, how):
    if how == "silent":
        fleet.store.is_down = True
    else:
        fleet.store.rejected.update(fleet.members)


async def start(fleet, name):
    """Start a gateway; return the time until it can serve callers."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    fleet.start(name)
    while not fleet.members[name].is_complete:
        assert loop.time() - started < COMPLETE_WITHIN_S, name
        await asyncio.sleep(0.01)
    return loop.time() - started


async def restart(fleet, name):
    fleet.members[name].leave()
    await asyncio.sleep(STOP_S)
    fleet.kill(name)
    await asyncio.sleep(RESTART_S)
    await start(fleet, name)


@pytest.mark.parametrize("how", ["silent", "rejecting"])
@pytest.mark.parametrize("size", SIZES)
def test_all_restart_in_turn_while_the_store_is_away(size, how):
    """Guards against a roll after which every gateway waits for the store."""

    async def check(fleet):
        rolls = []
        for number, name in enumerate(sorted(fleet.members)):
            rolls.append(asyncio.create_task(restart(fleet, name)))
            await asyncio.sleep(ROLL_INTERVAL_S)
            if number == 5:
                stop_store(fleet, how)
        await asyncio.gather(*rolls)

    run_with_fleet(size, check)


@pytest.mark.parametrize("size", SIZES)
def test_one_survivor_is_enough_for_all_others(size):
    """Guards against gateways that only the killed ones would have found."""

    async def check(fleet):
        stop_store(fleet, "silent")
        names = sorted(fleet.members)[1:]
        for name in names:
            fleet.kill(name)
            await asyncio.sleep(2.0 / size)
        await asyncio.gather(*(start(fleet, name) for name in names))

    run_with_fleet(size, check)


def test_a_gateway_that_joins_is_told_by_a_seed():
    """Guards against a new gateway that no other one has ever known."""

    async def check(fleet):
        stop_store(fleet, "silent")
        await start(fleet, "entry-17")

    run_with_fleet(17, check)


def test_half_of_the_fleet_restarts_at_once():
    """Guards against peers that are greeted one after the other."""

    async def check(fleet):
        stop_store(fleet, "silent")
        await asyncio.gather(
            *(restart(fleet, name) for name in sorted(fleet.members)[::2])
        )

    run_with_fleet(30, check)


def test_a_gateway_whose_peers_are_new_themselves_is_found():
    """Guards against knowledge that dies out over two rolls in series."""

    async def check(fleet):
        stop_store(fleet, "silent")
        for _ in range(2):
            for name in sorted(fleet.members):
                await restart(fleet, name)

    run_with_fleet(6, check)


def test_a_gateway_that_the_store_turns_away_is_found_after_its_restart():
    """Guards against one that left, and is unknown to all that the store answers."""

    async def check(fleet):
        fleet.store.rejected.add("entry-0")
        await restart(fleet, "entry-0")

    run_with_fleet(17, check)


def test_a_changed_configuration_is_not_older_after_a_restart():
    """Guards against a starting gateway that is told an older state by one leaving."""

    async def check(fleet):
        fleet.configure()
        await asyncio.sleep(1.0)
        stop_store(fleet, "silent")
        for name in sorted(fleet.members):
            await restart(fleet, name)
        assert not fleet.late()

    run_with_fleet(6, check)


def test_departed_gateways_cost_little_while_the_store_answers():
    """Guards against a fleet that calls each removed machine for a minute."""

    async def check(fleet):
        gone = sorted(fleet.members)[:3]
        for name in gone:
            fleet.members[name].leave()
            await asyncio.sleep(STOP_S)
            fleet.kill(name)
        for member in fleet.members.values():
            member.connections.called.clear()
        await asyncio.sleep(10.0)
        callers = [
            name
            for name, member in fleet.members.items()
            if member.connections.called.intersection(gone)
        ]
        assert len(callers) <= 2 * len(gone)

    run_with_fleet(30, check)
