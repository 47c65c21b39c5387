"""A deployment of the dispatch pipeline, whose calls have effects, and helpers."""

import asyncio
import json
import tomllib
from contextlib import asynccontextmanager

import msgspec

from amaranthtally.standins.deployment import open_deployment
from tests.lifecycle.support import log_lines
from tests.support import plan

PIPELINE = "dispatch-order"
POOLS = ("roster", "dispatch")
ORDER = {"to": "field 7", "note": "combine-stands-in-the-barley"}


@asynccontextmanager
async def effects_deployment(entries=2, servers=2, **overrides):
    """Open a deployment of the dispatch pipeline only."""
    full_plan = plan()
    pools = [pool for pool in full_plan.pools if pool.name in POOLS]
    settings = {f"pipeline:{PIPELINE}": full_plan.settings[f"pipeline:{PIPELINE}"]}
    small_plan = msgspec.structs.replace(full_plan, pools=pools, settings=settings)
    async with open_deployment(small_plan, entries, servers, **overrides) as deployment:
        yield deployment


async def effects(deployment):
    """Return the effects recorded by the dispatch services that are running."""
    recorded = []
    for pair in deployment.pool("dispatch"):
        if pair.service.exit_code is None:
            recorded.extend(await deployment.records(pair.service))
    return recorded


async def all_effects(deployment):
    """Return all recorded effects, including those of services that a knob killed."""
    recorded = await effects(deployment)
    for pair in deployment.pool("dispatch"):
        if pair.service.exit_code is not None:
            await pair.service.wait()
            lines = log_lines(pair.service, "died")
            recorded.extend(json.loads(line.partition(" record=")[2]) for line in lines)
    return recorded


async def set_dispatch_knobs(deployment, **knobs):
    """Set knobs of all dispatch services."""
    for pair in deployment.pool("dispatch"):
        await deployment.set_knobs(pair.service, **knobs)


async def wait_for(condition):
    """Wait until an asynchronous condition holds, limited by the test's time-out."""
    while not await condition():
        await asyncio.sleep(0.01)


async def wait_for_effects(deployment, count):
    """Wait until the services have recorded ``count`` effects."""

    async def reached():
        return len(await effects(deployment)) >= count

    await wait_for(reached)


async def wait_for_call(deployment, pool="dispatch"):
    """Wait for a call to reach an endpoint of a pool; return the endpoint."""
    return await wait_for_calls(deployment, 1, pool)


async def wait_for_calls(deployment, count, pool="dispatch"):
    """Wait for ``count`` calls to reach one endpoint of a pool; return the endpoint."""
    while True:
        for pair in deployment.pool(pool):
            async with deployment.http.get(f"{pair.service_url}/_calls") as response:
                if await response.json() >= count:
                    return pair
        await asyncio.sleep(0.01)


async def wait_for_calls_in_all(deployment, count, pool="dispatch"):
    """Wait until ``count`` calls in total have reached the services of a pool."""

    async def reached():
        calls = 0
        for pair in deployment.pool(pool):
            async with deployment.http.get(f"{pair.service_url}/_calls") as response:
                calls += await response.json()
        return calls >= count

    await wait_for(reached)


async def restart_sidecar(deployment, pair, **overrides):
    """Start a sidecar again at its previous address after it has ended."""
    settings = tomllib.loads(pair.sidecar_file.read_text(encoding="utf-8"))
    deployment.write_settings(pair.id, settings | overrides)
    pair.sidecar = await deployment.start_daemon("sidecar", pair.id, pair.sidecar_file)


async def new_token(deployment, entry=0, account=0):
    """Request a token of a client account and return it."""
    key = deployment.plan.accounts[account].key
    async with deployment.http.post(
        f"{deployment.entry_url(entry)}/v1/pipelines/{PIPELINE}/tokens",
        headers={"Authorization": f"Bearer {key}"},
    ) as response:
        document = await response.json()
        assert response.status == 201, document
        return document["token"]
