"""A deployment of effects only, and what its services recorded."""

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
    """Open a deployment of the dispatch pipeline alone."""
    whole = plan()
    pools = [pool for pool in whole.pools if pool.name in POOLS]
    settings = {f"pipeline:{PIPELINE}": whole.settings[f"pipeline:{PIPELINE}"]}
    small = msgspec.structs.replace(whole, pools=pools, settings=settings)
    async with open_deployment(small, entries, servers, **overrides) as deployment:
        yield deployment


async def effects(deployment):
    """Return every effect that a dispatch service that still runs recorded."""
    found = []
    for pair in deployment.pool("dispatch"):
        if pair.service.exit_code is None:
            found.extend(await deployment.records(pair.service))
    return found


async def all_effects(deployment):
    """Return every effect on record, also of services that died by a knob."""
    found = await effects(deployment)
    for pair in deployment.pool("dispatch"):
        if pair.service.exit_code is not None:
            await pair.service.wait()
            lines = log_lines(pair.service, "died")
            found.extend(json.loads(line.partition(" record=")[2]) for line in lines)
    return found


async def set_dispatch(deployment, **knobs):
    """Set knobs of every dispatch service."""
    for pair in deployment.pool("dispatch"):
        await deployment.set_knobs(pair.service, **knobs)


async def wait_for(condition):
    """Return once an asynchronous condition holds; the test's bound ends it."""
    while not await condition():
        await asyncio.sleep(0.01)


async def wait_for_effects(deployment, count):
    """Return once the services recorded ``count`` effects."""

    async def reached():
        return len(await effects(deployment)) >= count

    await wait_for(reached)


async def wait_for_call(deployment, pool="dispatch"):
    """Return the endpoint of a pool that a call reached, once one did."""
    return await wait_for_calls(deployment, 1, pool)


async def wait_for_calls(deployment, count, pool="dispatch"):
    """Return the endpoint of a pool that ``count`` calls reached, once they did."""
    while True:
        for pair in deployment.pool(pool):
            async with deployment.http.get(f"{pair.service_url}/_calls") as response:
                if await response.json() >= count:
                    return pair
        await asyncio.sleep(0.01)


async def wait_for_calls_in_all(deployment, count, pool="dispatch"):
    """Return once ``count`` calls have reached a pool's services together."""

    async def reached():
        found = 0
        for pair in deployment.pool(pool):
            async with deployment.http.get(f"{pair.service_url}/_calls") as response:
                found += await response.json()
        return found >= count

    await wait_for(reached)


async def restart_sidecar(deployment, pair, **overrides):
    """Start a sidecar anew at the address of the one that has ended."""
    settings = tomllib.loads(pair.sidecar_file.read_text(encoding="utf-8"))
    deployment.write_settings(pair.id, settings | overrides)
    pair.sidecar = await deployment.start_daemon("sidecar", pair.id, pair.sidecar_file)


async def token(deployment, entry=0, account=0):
    """Return a new token of a client account."""
    key = deployment.plan.accounts[account].key
    async with deployment.http.post(
        f"{deployment.entry_url(entry)}/v1/pipelines/{PIPELINE}/tokens",
        headers={"Authorization": f"Bearer {key}"},
    ) as response:
        document = await response.json()
        assert response.status == 201, document
        return document["token"]
