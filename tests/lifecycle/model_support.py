"""Helpers for deployments whose models change, and for their engines' records."""

import asyncio
from contextlib import asynccontextmanager

import msgspec

from tests.settings.helpers import get_admin, propose, set_value
from tests.support import plan

OLD_MODEL, NEW_MODEL = "assessment-7b@1", "assessment-7b+claims@2"
SWITCH_KEY = "stage.generate.model"
PIPELINE_SCOPE = "pipeline:assessment"
DEADLINE_MS = 6000
CALLERS = 6
FAST_UNLOAD = {"unload_wait": 0.2}
TOKENS = 60
TOKEN_TIME_S = 0.02


def model_plan(engines, **knobs):
    """Return the plan with engines only and one pipeline, with no model set yet."""
    full_plan = plan()
    pools = [
        msgspec.structs.replace(
            pool, servers=engines, knobs={"token_time": 0.005, "tokens": 12, **knobs}
        )
        for pool in full_plan.pools
        if pool.kind == "engine"
    ]
    pipeline = {
        "stages": ["generate"],
        "deadline_ms": DEADLINE_MS,
        "stage.generate.pool": "assessment",
        "stage.generate.streams": True,
    }
    return msgspec.structs.replace(
        full_plan, pools=pools, settings={PIPELINE_SCOPE: pipeline}
    )


def registrations(deployment, *models, pairs=None, **fields):
    """Return the operations that register models at endpoints."""
    return [
        set_value(
            f"endpoint.{pair.id}",
            {**pair.registration(), "models": list(models), **fields},
        )
        for pair in pairs or deployment.pool("assessment")
    ]


async def commit_change(deployment, *ops):
    """Commit operations, which must be accepted; wait until the entry has them."""
    status, document = await propose(deployment, list(ops))
    assert status == 200, document
    await deployment.wait_revision(document["number"])
    return document["number"]


async def endpoint_rows(deployment):
    return (await get_admin(deployment, "endpoints"))["endpoints"]


async def engine_state(deployment, pair):
    async with deployment.http.get(pair.service_url + "/v1/load") as response:
        return await response.json()


async def wait_until_loaded(deployment, *models, pairs=None):
    """Return once the engines have loaded exactly these models."""
    for pair in pairs or deployment.pool("assessment"):
        while set((await engine_state(deployment, pair))["models"]) != set(models):
            await asyncio.sleep(0.05)


async def wait_until_served(deployment, *models):
    """Return once every sidecar has reported to the entry that it serves ``models``."""
    expected = sorted(models)
    while any(row["served"] != expected for row in await endpoint_rows(deployment)):
        await asyncio.sleep(0.05)


async def start_with_old_model(deployment):
    await commit_change(deployment, *registrations(deployment, OLD_MODEL))
    await wait_until_served(deployment, OLD_MODEL)
    await commit_change(deployment, set_value(SWITCH_KEY, OLD_MODEL, PIPELINE_SCOPE))


async def engine_records(deployment):
    records = []
    for pair in deployment.pool("assessment"):
        records += await deployment.records(pair.service)
    return records


class LoadGenerator:
    """Callers that send requests continuously; all responses are stored."""

    def __init__(self, deployment):
        self._deployment = deployment
        self.responses = []

    async def send_requests(self):
        while True:
            response = await self._deployment.call(
                "assessment", "claim", deadline_ms=DEADLINE_MS
            )
            self.responses.append((response.status, await response.text()))

    async def wait_for_more(self):
        """Return once requests that were sent after this call have ended."""
        target = len(self.responses) + 2 * CALLERS
        while len(self.responses) < target:
            await asyncio.sleep(0.02)


@asynccontextmanager
async def concurrent_callers(deployment):
    load = LoadGenerator(deployment)
    tasks = [asyncio.create_task(load.send_requests()) for _ in range(CALLERS)]
    try:
        yield load
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def calls_by_model(deployment):
    """Return the number of calls that the engines ran, by model."""
    counts = {}
    for record in await engine_records(deployment):
        if "request_id" in record:
            counts[record["model"]] = counts.get(record["model"], 0) + 1
    return counts
