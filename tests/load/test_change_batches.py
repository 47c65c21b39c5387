"""Changes of many endpoints that arrive together, at a gateway of a fleet."""

import asyncio
import json

from amaranthtally.adapter.store import StoreItem
from tests.load.fleet import endpoint_record, open_fleet
from tests.support.virtual_time import run_on_virtual_time

COUNT = 50


def run_with_member(check):
    async def run():
        with open_fleet(1) as fleet:
            await asyncio.sleep(12.0)
            await check(next(iter(fleet.members.values())))

    run_on_virtual_time(run())


def item(number, revision, **fields):
    record = endpoint_record(number) | fields
    return StoreItem(f"servers/e{number}", json.dumps(record).encode(), revision)


def published_by(member):
    published = []
    member.routing_state._on_settings = published.append
    return published


def apply(member, *changes):
    replica = member.coordination._replica
    first = replica.revision + 1
    items = [c._replace(revision=first + n) for n, c in enumerate(changes)]
    replica.apply(tuple(items), items[-1].revision)


def test_endpoints_that_change_together_are_published_once():
    """Guards against a gateway that stands still for seconds in a burst of changes."""

    async def check(member):
        published = published_by(member)
        apply(member, *(item(n, 0) for n in range(1, COUNT + 1)))
        assert len(published) == 1
        assert {f"e{n}" for n in range(1, COUNT + 1)} <= set(published[0].endpoints)

    run_with_member(check)


def test_an_evacuation_in_the_same_batch_is_published_no_later():
    """Guards against requests to an endpoint where an evacuation is in force."""

    async def check(member):
        published = published_by(member)
        apply(member, item(1, 0), StoreItem("op/evacuate/x", b"{}", 0))
        assert all("x" in p.evacuated for p in published if "e1" in p.endpoints)

    run_with_member(check)


def test_a_version_that_comes_and_goes_within_a_batch_is_seen():
    """Guards against streams of a version that nobody has on record."""

    async def check(member):
        apply(member, item(1, 0))
        endpoint = member.routing_state.directory.endpoints["e1"]
        versions = member.coordination.versions
        assert not versions.has_had_several(endpoint.pool)
        newer = item(1, 0, version="v-new")
        apply(member, newer, item(1, 0))
        assert member.routing_state.directory.endpoints["e1"].version != "v-new"
        assert versions.has_had_several(endpoint.pool)

    run_with_member(check)
