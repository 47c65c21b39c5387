"""Evacuations of data centres, through real gateways."""

import asyncio

from tests.gateway.support import respond_with, route, run_with_cluster

HERE, THERE = "cluj-a", "iasi-a"
KEY = f"op/evacuate/{HERE}"
REQUESTS = 12
# Time in which a change is in force at all gateways, in seconds.
IN_FORCE_WITHIN_S = 4.0


async def open_pool(cluster):
    """Open an endpoint in each data centre; return them by data centre."""
    endpoints = {
        place: await cluster.endpoint(
            f"at-{place}", "job", respond_with(place.encode()), zone=place
        )
        for place in (HERE, THERE)
    }
    cluster.configure(1, route("job"))
    return endpoints


async def check_avoided(gateway, endpoint):
    """Check that requests are served, and none by this endpoint."""
    before = len(endpoint.requests)
    for _ in range(REQUESTS):
        assert (await gateway.call("/job/"))[0] == 200
    assert len(endpoint.requests) == before


def test_an_evacuated_data_centre_gets_no_requests_until_it_is_taken_back(tmp_path):
    """Guards against requests to endpoints that operators are about to switch off."""

    async def check(cluster):
        endpoints = await open_pool(cluster)
        gateways = [await cluster.gateway(name) for name in ("g1", "g2")]
        cluster.store.put(KEY, {})
        async with asyncio.timeout(IN_FORCE_WITHIN_S):
            for gateway in gateways:
                await gateway.wait_for_event("evacuation_in_force", data_centre=HERE)
        for gateway in gateways:
            await check_avoided(gateway, endpoints[HERE])
        cluster.store.remove(KEY)
        for gateway in gateways:
            await gateway.wait_for_event("evacuation_ended", data_centre=HERE)
        cluster.store.put(f"op/evacuate/{THERE}", {})
        for gateway in gateways:
            await gateway.wait_for_event("evacuation_in_force", data_centre=THERE)
            await check_avoided(gateway, endpoints[THERE])

    run_with_cluster(tmp_path, check)


def test_a_gateway_that_starts_learns_of_it_from_a_peer(tmp_path):
    """Guards against a start in an outage, with endpoints but without evacuations."""

    async def check(cluster):
        endpoints = await open_pool(cluster)
        cluster.store.put(KEY, {})
        address = cluster.reserve_address()
        await cluster.gateway("g1", peer_address=address)
        cluster.store.faults.unavailable = True
        second = await cluster.gateway("g2", seeds=[address])
        await check_avoided(second, endpoints[HERE])

    run_with_cluster(tmp_path, check)


def test_a_watch_that_lost_its_history_finds_evacuations_and_their_ends(tmp_path):
    """Guards against changes that happened while the store forgot its history."""

    async def check(cluster):
        endpoints = await open_pool(cluster)
        cluster.store.put(KEY, {})
        gateway = await cluster.gateway()
        cluster.store.faults.unavailable = True
        await gateway.wait_for_event("store_lost")
        cluster.store.remove(KEY)
        cluster.store.put(f"op/evacuate/{THERE}", {})
        cluster.store.compact_history()
        cluster.store.faults.unavailable = False
        await gateway.wait_for_event("evacuation_ended", data_centre=HERE)
        await check_avoided(gateway, endpoints[THERE])

    run_with_cluster(tmp_path, check)


def test_an_unknown_place_is_logged_and_harms_nothing(tmp_path):
    """Guards against a mistyped name that empties the pool, or is not noticed."""

    async def check(cluster):
        await open_pool(cluster)
        regions = {HERE: "cluj", THERE: "iasi"}
        gateway = await cluster.gateway(regions=regions)
        cluster.store.put("op/evacuate/nowhere", b"\xff")
        await gateway.wait_for_event(
            "evacuated_data_centre_unknown", data_centre="nowhere"
        )
        assert (await gateway.call("/job/"))[0] == 200

    run_with_cluster(tmp_path, check)
