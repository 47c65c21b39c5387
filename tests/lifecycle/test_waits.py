"""Calls that wait for a slot at an endpoint, and the responses to their callers."""

import asyncio

import msgspec

from amaranthtally.standins.deployment import open_deployment
from tests.lifecycle.model_support import engine_state, model_plan
from tests.support import run_async

CONCURRENCY = 2
TOKENS = 20
TOKEN_TIME_S = 0.02
# Enough runs for the entry and the sidecar to learn the least duration of a run.
TRAINING_RUNS = 24
LONG_MS, SHORT_MS = 60_000, 3_000


def one_slow_engine():
    """Return a plan with one engine that runs few calls at a time."""
    slow_plan = model_plan(1, token_time=TOKEN_TIME_S, tokens=TOKENS)
    pools = [
        msgspec.structs.replace(p, concurrency=CONCURRENCY) for p in slow_plan.pools
    ]
    return msgspec.structs.replace(slow_plan, pools=pools)


async def train(deployment):
    """Send enough requests for the entry and the sidecar to learn the run time."""
    for _ in range(TRAINING_RUNS // CONCURRENCY):
        calls = [deployment.call("assessment", "claim") for _ in range(CONCURRENCY)]
        assert {response.status for response in await asyncio.gather(*calls)} == {200}


async def occupy_every_slot(deployment, pair):
    """Fill a slow engine with calls that have long deadlines."""
    await deployment.set_knobs(pair.service, token_time=60.0)
    running = [
        asyncio.create_task(deployment.call("assessment", "claim", deadline_ms=LONG_MS))
        for _ in range(CONCURRENCY)
    ]
    while (await engine_state(deployment, pair))["running"] < CONCURRENCY:
        await asyncio.sleep(0.02)
    return running


def test_a_call_that_expires_in_the_queue_is_reported_as_not_run():
    """A caller would wait until its deadline behind stuck calls, and get a 504."""

    async def scenario():
        async with open_deployment(one_slow_engine()) as deployment:
            (pair,) = deployment.pool("assessment")
            await train(deployment)
            running = await occupy_every_slot(deployment, pair)
            response = await deployment.call(
                "assessment", "claim", deadline_ms=SHORT_MS
            )
            problem = await response.json()
            assert (response.status, problem["outcome"]) == (503, "not_run"), problem
            assert int(response.headers["Retry-After"]) > 0
            for task in running:
                task.cancel()

    run_async(scenario())
