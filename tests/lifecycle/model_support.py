"""Deployments whose models change, and what their engines ran."""

import asyncio
from contextlib import asynccontextmanager

import msgspec

from tests.settings.helpers import get_admin, propose, set_value
from tests.support import plan

OLD, NEW = "assessment-7b@1", "assessment-7b+claims@2"
SWITCH_KEY = "stage.generate.model"
AT_PIPELINE = "pipeline:assessment"
DEADLINE_MS = 6000
CALLERS = 6
FAST = {"unload_wait": 0.2}
TOKENS = 60
TOKEN_TIME_S = 0.02


def model_plan(engines, **knobs):
    """Return the plan with one pipeline that asks for the old version."""
    whole = plan()
    pools = [
        msgspec.structs.replace(
            pool, servers=engines, knobs={"token_time": 0.005, "tokens": 12, **knobs}
        )
        for pool in whole.pools
        if pool.kind == "engine"
    ]
    pipeline = {
        "stages": ["generate"],
        "deadline_ms": DEADLINE_MS,
        "stage.generate.pool": "assessment",
        "stage.generate.streams": True,
    }
    return msgspec.structs.replace(whole, pools=pools, settings={AT_PIPELINE: pipeline})


def registrations(deployment, *models, pairs=None, **fields):
    """Return the ops that register models at endpoints."""
    return [
        set_value(
            f"endpoint.{pair.id}",
            {**pair.registration(), "models": list(models), **fields},
        )
        for pair in pairs or deployment.pool("assessment")
    ]


async def change(deployment, *ops):
    """Commit ops that have to be accepted; wait until the entry has them."""
    status, document = await propose(deployment, list(ops))
    assert status == 200, document
    await deployment.wait_revision(document["number"])
    return document["number"]


async def rows(deployment):
    return (await get_admin(deployment, "endpoints"))["endpoints"]


async def engine_state(deployment, pair):
    async with deployment.http.get(pair.service_url + "/v1/load") as found:
        return await found.json()


async def wait_models(deployment, *models, pairs=None):
    """Return once the engines hold exactly these models."""
    for pair in pairs or deployment.pool("assessment"):
        while set((await engine_state(deployment, pair))["models"]) != set(models):
            await asyncio.sleep(0.05)


async def wait_served(deployment, *models):
    """Return once the entry has heard every sidecar say that it answers these."""
    wanted = sorted(models)
    while any(row["served"] != wanted for row in await rows(deployment)):
        await asyncio.sleep(0.05)


async def start_with_old(deployment):
    await change(deployment, *registrations(deployment, OLD))
    await wait_served(deployment, OLD)
    await change(deployment, set_value(SWITCH_KEY, OLD, AT_PIPELINE))


async def engine_records(deployment):
    found = []
    for pair in deployment.pool("assessment"):
        found += await deployment.records(pair.service)
    return found


class Load:
    """Callers that ask on and on; every answer is kept."""

    def __init__(self, deployment):
        self._deployment = deployment
        self.answers = []

    async def call_on(self):
        while True:
            answer = await self._deployment.call(
                "assessment", "claim", deadline_ms=DEADLINE_MS
            )
            self.answers.append((answer.status, await answer.text()))

    async def some_more(self):
        """Return once some requests that began after this have ended."""
        enough = len(self.answers) + 2 * CALLERS
        while len(self.answers) < enough:
            await asyncio.sleep(0.02)


@asynccontextmanager
async def callers(deployment):
    load = Load(deployment)
    tasks = [asyncio.create_task(load.call_on()) for _ in range(CALLERS)]
    try:
        yield load
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def by_model(deployment):
    """Return the calls that engines answered, by model."""
    counts = {}
    for record in await engine_records(deployment):
        if "request_id" in record:
            counts[record["model"]] = counts.get(record["model"], 0) + 1
    return counts
