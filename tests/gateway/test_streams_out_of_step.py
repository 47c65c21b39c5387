"""Streams are not joined of two versions at a gateway that missed a release."""

import asyncio
import json
import signal

import aiohttp
import pytest

from amaranthtally.adapter import headers as names
from amaranthtally.standins.relay import LinkFault
from tests.gateway.support import run_with_cluster
from tests.gateway.test_stream_versions import (
    Caller,
    engine,
    start_engines,
    wait_for_record,
    whole,
)

STREAMS = 6
# What a caller reports whose connection was reset: nothing of its stream went on.
RESET = 0


class CutOffGateway:
    """A gateway whose links to the store and to one peer a test silences."""

    def __init__(self, gateway, peer, relays):
        self.gateway = gateway
        self.peer = peer
        self._relays = relays

    def cut_off(self):
        for relay in self._relays:
            relay.fail(LinkFault.HELD)

    def cut_off_from_store(self):
        self._relays[0].fail(LinkFault.HELD)

    def reconnect(self):
        for relay in self._relays:
            relay.clear_fault()


async def start_cut_off(cluster):
    """Start a gateway behind relays, and a peer that reaches the store directly."""
    store_relay = await cluster.relay(cluster.store.address)
    gateways = [
        await cluster.gateway("g1", store=store_relay.address),
        await cluster.gateway("g2"),
    ]
    relays = [store_relay]
    for gateway in gateways:
        key = f"entries/{gateway.process.name}"
        await gateway.wait_for_event("registered", key=key)
        record = json.loads(cluster.store.items[key].value)
        relay = await cluster.relay(record["address"])
        cluster.store.put(key, {**record, "address": relay.address})
        relays.append(relay)
    for gateway, relay in zip(gateways, reversed(relays[1:]), strict=True):
        await gateway.wait_for_event("peer_connected", address=relay.address)
        await gateway.wait_for_event("versions_known", pool="job")
    return CutOffGateway(*gateways, relays)


async def release(cluster, gateway):
    """Add an endpoint of a second version, and wait until a gateway knows it."""
    await cluster.endpoint("new", "job", engine("v2"), version="v2")
    await gateway.wait_for_event("endpoint_changed", endpoint="new")


async def begin_at_both_versions(gateway):
    """Begin streams until some of them are at the new version."""
    callers = []
    while len(callers) < STREAMS or all(c.version == "v1" for c in callers):
        callers.append(Caller(f"{gateway.process.name}-{len(callers)}"))
        (await callers[-1].begin(gateway)).close()
    return callers


async def take_up(caller, gateway, resumes):
    """Return the status of a stream that is taken up, and its Retry-After."""
    headers = {
        names.LAST_EVENT_ID: "1",
        names.RESUMED_REQUEST: caller.first_id if resumes else "",
    }
    try:
        status, headers, body = await gateway.call("/job/", **headers)
    except aiohttp.ClientError:
        return RESET, None
    if status == 200:
        caller.received += body
        assert caller.received == whole(caller.version)
    return status, headers.get(names.RETRY_AFTER)


async def take_up_all(callers, gateway, resumes):
    calls = [take_up(caller, gateway, resumes) for caller in callers]
    return await asyncio.gather(*calls)


@pytest.mark.parametrize("resumes", [True, False], ids=["named", "unnamed"])
@pytest.mark.parametrize("delay_s", [0.1, 1.0, 2.0])
def test_a_cut_off_gateway_joins_no_versions(tmp_path, delay_s, resumes):
    """Guards against trust in a watch that hears nothing, as if nothing were new."""

    async def check(cluster):
        await start_engines(cluster, "v1")
        cut = await start_cut_off(cluster)
        cut.cut_off()
        await release(cluster, cut.peer)
        callers = await begin_at_both_versions(cut.peer)
        await asyncio.sleep(delay_s)
        for status, retry_after in await take_up_all(callers, cut.gateway, resumes):
            assert status == 503
            assert retry_after
        if resumes:
            cut.reconnect()
            await cut.gateway.wait_for_event("versions_known", versions="v1,v2")
            answers = await take_up_all(callers, cut.gateway, resumes)
            assert [status for status, _ in answers] == [200] * len(callers)

    run_with_cluster(tmp_path, check)


@pytest.mark.parametrize("resumes", [True, False], ids=["named", "unnamed"])
@pytest.mark.parametrize("still_s", [1.5, 5.0])
def test_a_gateway_that_stood_still_joins_no_versions(tmp_path, still_s, resumes):
    """Guards against a decision on what was known before the process stood still."""

    async def check(cluster):
        await start_engines(cluster, "v1")
        first, second = await cluster.gateway("g1"), await cluster.gateway("g2")
        for gateway in (first, second):
            await gateway.wait_for_event("versions_known", pool="job")
        first.process.send(signal.SIGSTOP)
        try:
            await release(cluster, second)
            callers = await begin_at_both_versions(second)
            calls = asyncio.create_task(take_up_all(callers, first, resumes))
            await asyncio.sleep(still_s)
        finally:
            first.process.send(signal.SIGCONT)
        statuses = {status for status, _ in await calls}
        assert statuses <= {200, 503, RESET}

    run_with_cluster(tmp_path, check)


@pytest.mark.parametrize("is_released", [True, False])
def test_peers_say_what_a_silent_store_does_not(tmp_path, is_released):
    """Guards against joined streams, and refused ones, at a gateway without a store."""

    async def check(cluster):
        await start_engines(cluster, "v1")
        cut = await start_cut_off(cluster)
        cut.cut_off_from_store()
        if is_released:
            await release(cluster, cut.peer)
            callers = await begin_at_both_versions(cut.peer)
        else:
            callers = await begin_streams(cut.peer)
        answers = await take_up_all(callers, cut.gateway, resumes=False)
        expected = 503 if is_released else 200
        assert [status for status, _ in answers] == [expected] * len(callers)

    run_with_cluster(tmp_path, check)


def test_streams_go_on_at_a_gateway_whose_peer_is_silent(tmp_path):
    """Guards against refusals of what the store confirms, as one peer hangs."""

    async def check(cluster):
        await start_engines(cluster, "v1")
        first, second = await cluster.gateway("g1"), await cluster.gateway("g2")
        await wait_for_record(cluster)
        await first.wait_for_event("versions_known", pool="job")
        await first.wait_for_event("peer_connected")
        callers = await begin_streams(second)
        second.process.send(signal.SIGSTOP)
        try:
            answers = await take_up_all(callers, first, resumes=False)
            assert [status for status, _ in answers] == [200] * STREAMS
        finally:
            second.process.send(signal.SIGCONT)

    run_with_cluster(tmp_path, check)


async def begin_streams(gateway):
    callers = [Caller(number) for number in range(STREAMS)]
    for caller in callers:
        (await caller.begin(gateway)).close()
    return callers
