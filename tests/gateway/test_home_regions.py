"""Requests of routes and accounts that have home regions, through real gateways."""

import asyncio

from tests.gateway.support import (
    respond_with,
    route,
    run_with_cluster,
)

HOME, ABROAD = "iasi-a", "cluj-a"
REQUESTS = 12


async def open_pool(cluster, **options):
    """Open an endpoint in each region and configure a route with these options."""
    endpoints = {
        place: await cluster.endpoint(
            f"at-{place}", "job", respond_with(place.encode()), zone=place
        )
        for place in (ABROAD, HOME)
    }
    cluster.configure(1, route("job", **options))
    return endpoints


def test_requests_to_any_gateway_reach_endpoints_at_home_only(tmp_path):
    """Guards against a gateway abroad that sends to the endpoint next to it."""

    async def check(cluster):
        endpoints = await open_pool(cluster, allowedRegions=[HOME])
        for place in (ABROAD, HOME):
            gateway = await cluster.gateway(f"g-{place}", data_centre=place)
            for _ in range(REQUESTS):
                status, _, body = await gateway.call("/job/")
                assert (status, body) == (200, HOME.encode())
        assert endpoints[ABROAD].requests == []

    run_with_cluster(tmp_path, check)


def test_an_accounts_homes_bind_too(tmp_path):
    """Guards against the homes of a route that replace those of its caller."""

    async def check(cluster):
        endpoints = await open_pool(cluster, allowedRegions=[HOME, ABROAD])
        gateway = await cluster.gateway()
        body = cluster.configuration(2, route("job", allowedRegions=[HOME, ABROAD]))
        body["tenants"][0]["allowedRegions"] = [HOME]
        cluster.store.put("op/config", body)
        await gateway.wait_for_event("configuration_in_force", version="2")
        for _ in range(REQUESTS):
            assert (await gateway.call("/job/"))[0] == 200
        assert endpoints[ABROAD].requests == []

    run_with_cluster(tmp_path, check)


def test_homes_that_exclude_each_other_are_refused_and_logged(tmp_path):
    """Guards against callers that wait for what two homes forbid."""

    async def check(cluster):
        endpoints = await open_pool(cluster, allowedRegions=[ABROAD])
        gateway = await cluster.gateway()
        body = cluster.configuration(2, route("job", allowedRegions=[ABROAD]))
        body["tenants"][0]["allowedRegions"] = [HOME]
        cluster.store.put("op/config", body)
        await gateway.wait_for_event("homes_exclude_each_other", pairs="job:account")
        async with asyncio.timeout(1.0):
            status, headers, _ = await gateway.call("/job/")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert not any(endpoint.requests for endpoint in endpoints.values())

    run_with_cluster(tmp_path, check)
