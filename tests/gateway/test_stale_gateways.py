"""Gateways that hear nothing of the store, or stood still, and what they refuse."""

import asyncio
import signal

import pytest

from amaranthtally.daemon.gateway.prefix_watcher import MAX_WATCHER_AGE_S
from amaranthtally.daemon.gateway.store_follower import MAX_AGE_S
from amaranthtally.policy import elect_watchers
from tests.gateway.support import respond_with, route, run_with_cluster

# Time after which a gateway that stood still knows what has changed, in seconds: a
# watch that is not answered, and a listing.
CONFIRMED_S = 2.0
NAMES = tuple(f"gateway-{number}" for number in range(5))


async def statuses_until(gateway, path, end):
    statuses = []
    while asyncio.get_running_loop().time() < end:
        statuses.append((await gateway.call(path))[0])
        await asyncio.sleep(0.02)
    return statuses


@pytest.mark.parametrize("seconds", [1.5, 5.0])
def test_a_gateway_that_stood_still_refuses_nothing_for_good(tmp_path, seconds):
    """
    Guards against 404 for a route that was added while a gateway stood still. Its watch
    hears nothing either, and ends only some time after it goes on.
    """

    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        # The next watch begins now.
        cluster.store.put("servers/none", {})
        await asyncio.sleep(0.6)
        cluster.store.faults.unanswered_watches = True
        gateway.process.send(signal.SIGSTOP)
        cluster.configure(2, route("job"), route("new", service="job"))
        waiting = [asyncio.create_task(gateway.call("/new/")) for _ in range(4)]
        await asyncio.sleep(seconds)
        gateway.process.send(signal.SIGCONT)
        end = asyncio.get_running_loop().time() + CONFIRMED_S
        statuses = [(await call)[0] for call in waiting]
        statuses += await statuses_until(gateway, "/new/", end)
        assert set(statuses) <= {200, 503}
        assert statuses[-1] == 200
        assert (await gateway.call("/none/"))[0] == 404

    run_with_cluster(tmp_path, check)


@pytest.mark.parametrize(("count", "unknown_route"), [(1, 503), (2, 404)])
def test_only_a_gateway_without_contact_refuses_for_now(tmp_path, count, unknown_route):
    """
    Guards against 404 and 401 by a gateway that has heard of nobody for long, and
    against callers that retry for ever as the store is down for all gateways.
    """

    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        gateways = [await cluster.gateway(name) for name in NAMES[:count]]
        cluster.store.faults.unavailable = True
        await asyncio.sleep(MAX_AGE_S + 0.5)
        for gateway in gateways:
            status, headers, _ = await gateway.call("/none/")
            assert status == unknown_route
            assert (status == 503) == (float(headers.get("Retry-After", 0)) > 0)
            unknown_key = await gateway.call("/job/", Authorization="Token other")
            assert unknown_key[0] == (503 if status == 503 else 401)
            assert (await gateway.call("/job/"))[0] == 200

    run_with_cluster(tmp_path, check)


def test_watchers_that_hear_nothing_are_followed_no_longer(tmp_path):
    """Guards against watches whose responses begin, never end and bring no change."""

    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        gateways = [await cluster.gateway(name) for name in NAMES]
        watchers = elect_watchers(dict.fromkeys(NAMES, "cluj-a"))
        followers = [g for g in gateways if g.process.name not in watchers]
        for follower in followers:
            await follower.wait_for_event("store_not_watched")
        cluster.store.faults.endless_watches = True
        async with asyncio.timeout(MAX_WATCHER_AGE_S + MAX_AGE_S):
            for follower in followers:
                await follower.wait_for_event("store_watched", elected="false")
        cluster.store.faults.endless_watches = False
        cluster.configure(2, route("job"), route("new", service="job"))
        async with asyncio.timeout(MAX_AGE_S):
            for gateway in gateways:
                await gateway.wait_for_event("configuration_in_force", version=2)

    run_with_cluster(tmp_path, check)
