"""Work for a request stops at the request's deadline."""

import asyncio

import pytest

from amaranthtally.standins.deployment import open_deployment
from tests.lifecycle.model_support import engine_state, model_plan
from tests.support import parse_events, run_async

# Together longer than a test may take, so the test fails if the engine continues.
TOKENS, TOKEN_TIME_S = 10_000, 0.05
DEADLINE_MS = 1_000


@pytest.mark.parametrize("stream", [False, True])
def test_an_engine_stops_at_the_deadline_of_its_request(stream):
    """Engines would stay busy with work for callers that have been refused."""

    async def scenario():
        slow_plan = model_plan(1, token_time=TOKEN_TIME_S, tokens=TOKENS)
        async with open_deployment(slow_plan) as deployment:
            (pair,) = deployment.pool("assessment")
            response = await deployment.call(
                "assessment", "claim", stream=stream, deadline_ms=DEADLINE_MS
            )
            problem = (
                parse_events(await response.text())[-1][1]
                if stream
                else await response.json()
            )
            assert problem["status"] == 504, problem
            while (await engine_state(deployment, pair))["running"]:
                await asyncio.sleep(0.05)

    run_async(scenario())
