"""Changes that reach a gateway in time although its link is slow."""

import asyncio
import random
import zlib
from contextlib import AsyncExitStack

import msgspec

from amaranthtally.standins.relay import RateLimitedLink, Relay
from amaranthtally.standins.store import open_store_standin
from tests.gateway.support import configuration, respond_with, route, run_with_cluster

# Time within which a change must be in force and a draining endpoint unused, in
# seconds.
IN_FORCE_S = 4.0
# How long one response with the configuration saturates the slow link, in seconds.
TRANSFER_S = 2.2
ROUTES = 1400


def large_configuration(version, *routes):
    """Return a configuration of some hundred kilobytes that compresses badly."""
    generator = random.Random(1)
    names = [f"{generator.getrandbits(512):0128x}" for _ in range(ROUTES)]
    filler = [route(name, service="job") for name in names]
    return configuration(version, *routes, *filler)


def link_for(document):
    """Return a link that a response with this document saturates for ``TRANSFER_S``."""
    base64_size = len(msgspec.json.encode(document)) * 4 / 3
    return RateLimitedLink(base64_size / TRANSFER_S)


async def open_relay(stack, target, link):
    """Open a relay to a target over a link until the stack is closed."""
    relay = Relay(target, link)
    await stack.enter_async_context(relay.serve())
    return relay


def test_a_large_configuration_over_a_slow_link_is_in_force_in_time(tmp_path):
    """Guards against time-outs that cut off a read in progress and restart it."""

    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        document = large_configuration(2, route("job"), route("new", service="job"))
        async with AsyncExitStack() as stack:
            link = link_for(document)
            relay = await open_relay(stack, cluster.store.address, link)
            gateway = await cluster.gateway(store=relay.address)
            # When the change is made, the watch has used up most of its time-out.
            await asyncio.sleep(0.9)
            cluster.store.put("op/config", document)
            async with asyncio.timeout(IN_FORCE_S):
                await gateway.wait_for_event("configuration_in_force", version=2)
            assert (await gateway.call("/new/"))[2] == b"job"

    run_with_cluster(tmp_path, check)


def test_a_draining_endpoint_is_unused_in_time_after_a_large_configuration(tmp_path):
    """Guards against endpoint changes that are delayed by reads that never end."""

    async def check(cluster):
        draining = await cluster.endpoint("one", "job", respond_with(b"one"))
        await cluster.endpoint("two", "job", respond_with(b"two"))
        cluster.configure(1, route("job"))
        document = large_configuration(2, route("job"))
        async with AsyncExitStack() as stack:
            link = link_for(document)
            relay = await open_relay(stack, cluster.store.address, link)
            gateway = await cluster.gateway(store=relay.address)
            cluster.store.put("op/config", document)
            await asyncio.sleep(0.2)
            cluster.store.put("servers/one", draining.record("job", state="draining"))
            async with asyncio.timeout(IN_FORCE_S):
                await gateway.wait_for_event("endpoint_changed", endpoint="one")
            before = len(draining.requests)
            for _ in range(10):
                assert (await gateway.call("/job/"))[2] == b"two"
            assert len(draining.requests) == before

    run_with_cluster(tmp_path, check)


def test_a_large_configuration_is_read_from_peers_over_a_slow_link(tmp_path):
    """Guards against fetches from peers that time out and start over."""

    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        first = await cluster.gateway("first")
        await first.wait_for_event("registered")
        async with AsyncExitStack() as stack:
            failing_store = await stack.enter_async_context(open_store_standin())
            for key, item in cluster.store.items.items():
                failing_store.put(key, item.value)
            document = large_configuration(2, route("job"), route("new", service="job"))
            link = RateLimitedLink(
                len(zlib.compress(msgspec.json.encode(document))) / 1.6
            )
            name = "entries/first"
            record = msgspec.json.decode(cluster.store.items[name].value)
            relay = await open_relay(stack, record["address"], link)
            failing_store.put(name, {**record, "address": relay.address})
            second = await cluster.gateway("second", store=failing_store.address)
            failing_store.faults.unavailable = True
            await second.wait_for_event("store_lost")
            cluster.store.put("op/config", document)
            await first.wait_for_event("configuration_in_force", version=2)
            async with asyncio.timeout(IN_FORCE_S):
                await second.wait_for_event("configuration_in_force", version=2)
            # No other call over the link timed out.
            lost = [line for line in second.process.lines if "peer_lost" in line]
            assert not lost
            assert (await second.call("/new/"))[2] == b"job"

    run_with_cluster(tmp_path, check)


def test_peers_do_not_send_what_the_store_is_sending(tmp_path):
    """Guards against fetches from peers that compete with the store for the link."""

    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        document = large_configuration(2, route("job"))
        others = [await cluster.gateway(f"other-{n}") for n in range(4)]
        for other in others:
            await other.wait_for_event("registered")
        async with AsyncExitStack() as stack:
            link = link_for(document)
            relay = await open_relay(stack, cluster.store.address, link)
            # The only gateway of its data centre watches the store itself.
            gateway = await cluster.gateway("thin", "iasi-a", store=relay.address)
            await gateway.wait_for_event("registered")
            cluster.store.put("op/config", document)
            await gateway.wait_for_event("configuration_in_force", version=2)
            await asyncio.sleep(2.5)
            fetches = [x for x in gateway.process.lines if "beliefs_from_peer" in x]
            assert not fetches
            # The link sent the first, small listing and one large response.
            assert link.sent_bytes < 1.5 * TRANSFER_S * link.bytes_per_s

    run_with_cluster(tmp_path, check)
