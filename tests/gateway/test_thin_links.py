"""What a host hears in time whose link is thin for what is sent to it."""

import asyncio
import random
import zlib
from contextlib import AsyncExitStack

import msgspec

from amaranthtally.standins.relay import Relay, ThinLink
from amaranthtally.standins.store import open_store_standin
from tests.gateway.support import configuration, respond_with, route, run_with_cluster

# In which a change is to be in force, and an endpoint that leaves to be left alone.
IN_FORCE_S = 4.0
# For how long the thin link is full with one answer that holds the configuration.
TRANSFER_S = 2.2
ROUTES = 1400


def large(version, *routes):
    """Return a configuration of some hundred kilobytes, with little that repeats."""
    draw = random.Random(1)
    names = [f"{draw.getrandbits(512):0128x}" for _ in range(ROUTES)]
    others = [route(name, service="job") for name in names]
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

    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        document = large(2, route("job"), route("new", service="job"))
        async with AsyncExitStack() as stack:
            link = link_for(document)
            relay = await open_relay(stack, cluster.store.address, link)
            gateway = await cluster.gateway(store=relay.address)
            # The watch that hears of the change has waited for most of its time.
            await asyncio.sleep(0.9)
            cluster.store.put("op/config", document)
            async with asyncio.timeout(IN_FORCE_S):
                await gateway.wait_for_event("configuration_in_force", version=2)
            assert (await gateway.call("/new/"))[2] == b"job"

    run_with_cluster(tmp_path, check)


def test_an_endpoint_that_leaves_behind_a_large_configuration_is_left_in_time(tmp_path):
    """Guards against changes of endpoints that wait behind reads that never end."""

    async def check(cluster):
        one = await cluster.endpoint("one", "job", respond_with(b"one"))
        await cluster.endpoint("two", "job", respond_with(b"two"))
        cluster.configure(1, route("job"))
        document = large(2, route("job"))
        async with AsyncExitStack() as stack:
            link = link_for(document)
            relay = await open_relay(stack, cluster.store.address, link)
            gateway = await cluster.gateway(store=relay.address)
            cluster.store.put("op/config", document)
            await asyncio.sleep(0.2)
            cluster.store.put("servers/one", one.record("job", state="draining"))
            async with asyncio.timeout(IN_FORCE_S):
                await gateway.wait_for_event("endpoint_changed", endpoint="one")
            before = len(one.seen)
            for _ in range(10):
                assert (await gateway.call("/job/"))[2] == b"two"
            assert len(one.seen) == before

    run_with_cluster(tmp_path, check)


def test_a_large_configuration_is_read_from_peers_over_a_thin_link(tmp_path):
    """Guards against copies from peers that are cut as a whole, and begun anew."""

    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        first = await cluster.gateway("first")
        await first.wait_for_event("registered")
        async with AsyncExitStack() as stack:
            turning_away = await stack.enter_async_context(open_store_standin())
            for key, item in cluster.store.items.items():
                turning_away.put(key, item.value)
            document = large(2, route("job"), route("new", service="job"))
            link = ThinLink(len(zlib.compress(msgspec.json.encode(document))) / 1.6)
            name = "entries/first"
            record = msgspec.json.decode(cluster.store.items[name].value)
            relay = await open_relay(stack, record["address"], link)
            turning_away.put(name, {**record, "address": relay.address})
            second = await cluster.gateway("second", store=turning_away.address)
            turning_away.outage.down = True
            await second.wait_for_event("store_lost")
            cluster.store.put("op/config", document)
            await first.wait_for_event("configuration_in_force", version=2)
            async with asyncio.timeout(IN_FORCE_S):
                await second.wait_for_event("configuration_in_force", version=2)
            # Nothing else over that link was held up for longer than a call may take.
            lost = [line for line in second.process.lines if "peer_lost" in line]
            assert not lost
            assert (await second.call("/new/"))[2] == b"job"

    run_with_cluster(tmp_path, check)


def test_a_store_that_sends_is_not_raced_by_peers(tmp_path):
    """Guards against copies from peers that fill the link that the store's needs."""

    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        document = large(2, route("job"))
        others = [await cluster.gateway(f"other-{n}") for n in range(4)]
        for other in others:
            await other.wait_for_event("registered")
        async with AsyncExitStack() as stack:
            link = link_for(document)
            relay = await open_relay(stack, cluster.store.address, link)
            thin = await cluster.gateway("thin", store=relay.address)
            await thin.wait_for_event("registered")
            cluster.store.put("op/config", document)
            await thin.wait_for_event("configuration_in_force", version=2)
            await asyncio.sleep(2.5)
            copies = [x for x in thin.process.lines if "beliefs_from_peer" in x]
            assert not copies
            # Two whole answers: one for the first read, which holds little, and one.
            assert link.carried < 1.5 * TRANSFER_S * link.bytes_per_s

    run_with_cluster(tmp_path, check)
