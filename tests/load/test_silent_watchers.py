"""A change that follows the loss of all watchers of the store, on virtual time."""

import asyncio

import pytest

from amaranthtally.daemon.gateway.store_follower import (
    CONTACT_LIMIT_S,
    DEPUTY_CONTACT_LIMIT_S,
    SPREAD_S,
)
from amaranthtally.policy import elect_deputies
from tests.gateway.support import configuration, route
from tests.load.fleet import endpoint_record, run_with_fleet
from tests.load.store_model import STORE_S

# The tightest time in which a change of the configuration or of an endpoint must take
# effect, in seconds.
APPLY_S = 2.5
# What a gateway needs to put a change in force that its answer from the store brings,
# beside a connection over a slow link, in seconds.
APPLYING_S = 0.4
# When the watchers are lost within the second between two calls to the followed one,
# and how much later the change comes, in seconds.
PHASES_S = (0.0, 0.15, 0.3, 0.45, 0.6, 0.75, 0.9)
DELAYS_S = (0.0, 0.1, 0.4)
CASES = [(size, p, d) for size in (12, 30) for p in PHASES_S for d in DELAYS_S]
CASES += [(300, 0.0, 0.0), (300, 0.6, 0.4)]


def replace_route_and_key(fleet):
    version = fleet.version + 1
    changed = configuration(version, route("other"), keys=("other-key",))
    fleet.store.put("op/config", changed)
    return lambda member: member.version == version


def start_endpoint(fleet):
    fleet.store.put("servers/new", endpoint_record(fleet.version + 1))
    return lambda member: "new" in member.endpoints


def announce_leave(fleet):
    name = str(fleet.version)
    record = endpoint_record(fleet.version) | {"state": "draining"}
    fleet.store.put(f"servers/{name}", record)
    return lambda m: not m.routing_state.directory.endpoints[name].takes_calls


def end_endpoint(fleet):
    name = str(fleet.version)
    fleet.store.remove(f"servers/{name}")
    return lambda member: name not in member.endpoints


def evacuate(fleet):
    fleet.store.put("op/evacuate/b1", {})
    return lambda member: "b1" in member.routing_state.evacuated


# Changes of one kind of record each. All return a check that a gateway holds them.
KINDS = (replace_route_and_key, start_endpoint, announce_leave, end_endpoint, evacuate)


def freeze(fleet, names):
    """Let calls to gateways, and their own, hang until their time-outs."""
    fleet.store.cut.update(names)
    fleet.parted = (set(names),)


def kill(fleet, names):
    for name in names:
        fleet.kill(name)


@pytest.mark.parametrize("lose", [freeze, kill])
@pytest.mark.parametrize(("size", "phase_s", "delay_s"), CASES)
def test_a_change_is_in_force_in_time_though_all_watchers_are_lost(
    size, phase_s, delay_s, lose
):
    """Guards against old state whose age depends on how many calls hang one by one."""

    async def check(fleet):
        watchers = fleet.watchers()
        others = set(fleet.members) - set(watchers)
        await asyncio.sleep(phase_s)
        lose(fleet, watchers)
        await asyncio.sleep(delay_s)
        fleet.configure()
        assert others
        await fleet.time_until_known(APPLY_S, others)

    run_with_fleet(size, check)


@pytest.mark.parametrize("change", KINDS)
@pytest.mark.parametrize("phase_s", PHASES_S)
def test_a_change_of_each_kind_of_record_is_in_force_in_time(phase_s, change):
    """Guards against a kind of record whose age nothing bounds."""

    async def check(fleet):
        watchers = fleet.watchers()
        others = set(fleet.members) - set(watchers)
        await asyncio.sleep(phase_s)
        freeze(fleet, watchers)
        is_known = change(fleet)
        await asyncio.sleep(APPLY_S)
        assert all(is_known(fleet.members[name]) for name in others)

    run_with_fleet(12, check)


@pytest.mark.parametrize("lose", [freeze, kill])
@pytest.mark.parametrize("size", [30, 300])
def test_the_loss_of_all_watchers_brings_few_gateways_to_the_store(size, lose):
    """Guards against a fleet of which each gateway calls the store at once."""

    async def check(fleet):
        watchers = fleet.watchers()
        places = {name: member.data_centre for name, member in fleet.members.items()}
        fleet.store.readers.clear()
        lose(fleet, watchers)
        await asyncio.sleep(APPLY_S)
        came = {n for n, calls in fleet.store.readers.items() if calls}
        came -= set(watchers)
        assert came <= elect_deputies(places)
        assert len(came) <= len(watchers)

    run_with_fleet(size, check)


def test_the_ages_add_up_to_less_than_a_change_may_take():
    """Guards against limits that are each sound and together too long."""
    assert DEPUTY_CONTACT_LIMIT_S < CONTACT_LIMIT_S
    assert CONTACT_LIMIT_S + SPREAD_S + STORE_S + APPLYING_S < APPLY_S
