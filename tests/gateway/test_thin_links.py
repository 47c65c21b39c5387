"""What a host hears in time whose link is thin for what is sent to it."""

import asyncio
from contextlib import AsyncExitStack

import msgspec

from amaranthtally.standins.relay import Relay, ThinLink
from tests.gateway.fake_endpoint import whole
from tests.gateway.support import configuration, in_world, route

# In which a change is to be in force, and an endpoint that leaves to be left alone.
IN_FORCE_S = 4.0
# For how long the thin link is full with one answer that holds the configuration.
TRANSFER_S = 2.2
ROUTES = 1400


def answering(word):
    return lambda request: [whole(request, word)]


def large(version, *routes):
    """Return a configuration of some hundred kilobytes."""
    others = [
        route(f"route-{n:04}-{n * 7919 % 9973}", service="work") for n in range(ROUTES)
    ]
    return configuration(version, *routes, *others)


def link_for(document):
    """Return a link that an answer with this document fills for ``TRANSFER_S``."""
    in_base64 = len(msgspec.json.encode(document)) * 4 / 3
    return ThinLink(in_base64 / TRANSFER_S)


async def open_relay(stack, target, link):
    relay = Relay(target, link)
    await stack.enter_async_context(relay.serve())
    return relay


def test_a_large_configuration_over_a_thin_link_is_in_force_in_time(tmp_path):
    """Guards against reads that are cut while their bytes come, and begun anew."""

    async def check(world):
        await world.endpoint("e", "work", answering(b"work"))
        world.configure(1, route("work"))
        document = large(2, route("work"), route("new", service="work"))
        async with AsyncExitStack() as stack:
            link = link_for(document)
            relay = await open_relay(stack, world.store.address, link)
            gateway = await world.gateway(store=relay.address)
            # The watch that hears of the change has waited for most of its time.
            await asyncio.sleep(0.9)
            world.store.put("op/config", document)
            async with asyncio.timeout(IN_FORCE_S):
                await gateway.until("configuration_in_force", version=2)
            assert (await gateway.call("/new/"))[2] == b"work"

    in_world(tmp_path, check)


def test_an_endpoint_that_leaves_behind_a_large_configuration_is_left_in_time(tmp_path):
    """Guards against changes of endpoints that wait behind reads that never end."""

    async def check(world):
        one = await world.endpoint("one", "work", answering(b"one"))
        await world.endpoint("two", "work", answering(b"two"))
        world.configure(1, route("work"))
        document = large(2, route("work"))
        async with AsyncExitStack() as stack:
            link = link_for(document)
            relay = await open_relay(stack, world.store.address, link)
            gateway = await world.gateway(store=relay.address)
            world.store.put("op/config", document)
            await asyncio.sleep(0.2)
            world.store.put("servers/one", one.record("work", state="draining"))
            async with asyncio.timeout(IN_FORCE_S):
                await gateway.until("endpoint_changed", endpoint="one")
            before = len(one.seen)
            for _ in range(10):
                assert (await gateway.call("/work/"))[2] == b"two"
            assert len(one.seen) == before

    in_world(tmp_path, check)
