"""What waits for a place at an endpoint, and what its caller is told."""

import asyncio

import msgspec

from amaranthtally.standins.deployment import open_deployment
from tests.lifecycle.model_support import engine_state, model_plan
from tests.support import run_async

CONCURRENCY = 2
TOKENS = 20
TOKEN_TIME_S = 0.02
# Enough runs for entry and sidecar to know what a run takes at least.
RUNS_TO_LEARN = 24
LONG_MS, SHORT_MS = 60_000, 3_000


def one_slow_engine():
    """Return the plan with one engine that runs a few calls at a time."""
    slow = model_plan(1, token_time=TOKEN_TIME_S, tokens=TOKENS)
    pools = [msgspec.structs.replace(p, concurrency=CONCURRENCY) for p in slow.pools]
    return msgspec.structs.replace(slow, pools=pools)


async def learn(deployment):
    """Let entry and sidecar see what a run takes."""
    for _ in range(RUNS_TO_LEARN // CONCURRENCY):
        calls = [deployment.call("assessment", "claim") for _ in range(CONCURRENCY)]
        assert {answer.status for answer in await asyncio.gather(*calls)} == {200}


async def take_every_place(deployment, pair):
    """Let calls with long deadlines run at an engine that has become slow."""
    await deployment.set_knobs(pair.service, token_time=60.0)
    long = [
        asyncio.create_task(deployment.call("assessment", "claim", deadline_ms=LONG_MS))
        for _ in range(CONCURRENCY)
    ]
    while (await engine_state(deployment, pair))["running"] < CONCURRENCY:
        await asyncio.sleep(0.02)
    return long


def test_a_call_whose_time_goes_while_it_waits_is_said_not_to_have_run():
    """A caller is held to its deadline behind stuck calls, and told 504."""

    async def scenario():
        async with open_deployment(one_slow_engine()) as deployment:
            (pair,) = deployment.pool("assessment")
            await learn(deployment)
            long = await take_every_place(deployment, pair)
            answer = await deployment.call("assessment", "claim", deadline_ms=SHORT_MS)
            problem = await answer.json()
            assert (answer.status, problem["outcome"]) == (503, "not_run"), problem
            assert int(answer.headers["Retry-After"]) > 0
            for task in long:
                task.cancel()

    run_async(scenario())
