"""Planned stops while a service hangs in a call that may not be repeated."""

import asyncio
import signal

from tests.at_most_once.support import (
    ORDER,
    PIPELINE,
    effects,
    effects_deployment,
    restart_sidecar,
    set_dispatch,
    token,
    wait_for,
    wait_for_call,
    wait_for_effects,
)
from tests.at_most_once.test_handover import greet
from tests.lifecycle.support import log_lines
from tests.support import run_async

QUICK_STOP = {"abandoned_wait": 0.2}
HUNG = {"to": "field 8"}


async def place(deployment, key, order=ORDER, **body):
    """Send an order; return its status and outcome, or its order."""
    response = await deployment.call(PIPELINE, order, key=key, **body)
    document = await response.json()
    if response.status == 200:
        return 200, document["output"]["order"]
    return response.status, document["outcome"]


async def hang_one_order(deployment, key):
    """Have every service hang, and leave one order hanging; return its endpoint."""
    await set_dispatch(deployment, stuck_after=True)
    assert (await place(deployment, key, HUNG, deadline_ms=1000))[1] == "unknown"
    await set_dispatch(deployment, stuck_after=False)
    return await last_called(deployment)


async def last_called(deployment):
    """Return the endpoint whose service has the order that is not yet answered."""
    for pair in deployment.pool("dispatch"):
        records = await deployment.records(pair.service)
        if any(record["input"] == HUNG for record in records):
            return pair
    raise AssertionError("no service has the order")


def test_a_stop_ends_although_a_service_hangs_for_good():
    """
    A service orders a truck and never answers; its caller has long gone. The host
    is restarted: its sidecar waits for the answer until it is killed, and takes
    the results of all other orders along. Their repeats hear unknown.
    """

    async def scenario():
        async with effects_deployment(
            servers=3, sidecar_overrides=QUICK_STOP
        ) as deployment:
            await greet(deployment)
            keys = [await token(deployment) for _ in range(6)]
            placed = {key: await place(deployment, key) for key in keys}
            unused = [await token(deployment) for _ in range(3)]
            hung = await token(deployment)
            pair = await hang_one_order(deployment, hung)
            assert await pair.sidecar.stop() == 0
            await restart_sidecar(deployment, pair)
            await greet(deployment)
            assert {key: await place(deployment, key) for key in keys} == placed
            assert (await place(deployment, hung, HUNG))[1] == "unknown"
            for key in unused:
                status, told = await place(deployment, key)
                assert status == 200 or (status, told) == (410, "not_run")
            recorded = await effects(deployment)
            assert len({record["key"] for record in recorded}) == len(recorded)

    run_async(scenario())


def test_a_stop_cuts_no_call_that_a_caller_waits_for():
    """
    A slow service answers an order after its sidecar was told to stop, later than
    the sidecar waits for calls that nobody waits for. Its caller must hear it.
    """

    async def scenario():
        async with effects_deployment(
            servers=2, sidecar_overrides={"abandoned_wait": 0.01, "drain_wait": 0.0}
        ) as deployment:
            await greet(deployment)
            await set_dispatch(deployment, slow=1.5)
            order = asyncio.create_task(place(deployment, "order-1"))
            pair = await wait_for_call(deployment)
            assert await pair.sidecar.stop() == 0
            assert (await order)[0] == 200
            assert len(await effects(deployment)) == 1

    run_async(scenario())


def test_a_kill_in_a_stop_loses_no_result_of_an_ended_call():
    """
    A platform kills a host that does not stop in time, here since a caller still
    waits for a slow order. The results of the orders that ended before had been
    handed over; the one that ran may have its effect, and says unknown for ever.
    """

    async def scenario():
        async with effects_deployment(servers=2) as deployment:
            await greet(deployment)
            keys = [await token(deployment) for _ in range(4)]
            placed = {key: await place(deployment, key) for key in keys}
            hung = await token(deployment)
            await set_dispatch(deployment, stuck_after=True)
            order = asyncio.create_task(
                place(deployment, hung, HUNG, deadline_ms=60_000)
            )
            await wait_for_effects(deployment, len(keys) + 1)
            pair = await last_called(deployment)
            pair.sidecar.send(signal.SIGTERM)

            async def handed_over():
                return bool(log_lines(pair.sidecar, "records_handed_over"))

            await wait_for(handed_over)
            await pair.sidecar.kill()
            await set_dispatch(deployment, stuck_after=False)
            assert (await order)[1] == "unknown"
            await restart_sidecar(deployment, pair)
            await greet(deployment)
            assert {key: await place(deployment, key) for key in keys} == placed
            assert (await place(deployment, hung, HUNG))[1] == "unknown"
            assert len(await effects(deployment)) == len(keys) + 1

    run_async(scenario())
