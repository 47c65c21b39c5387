"""Planned stops of a sidecar whose service hangs in an at-most-once call."""

import asyncio
import signal

from tests.at_most_once.support import (
    ORDER,
    PIPELINE,
    effects,
    effects_deployment,
    new_token,
    restart_sidecar,
    set_dispatch_knobs,
    wait_for,
    wait_for_call,
    wait_for_effects,
)
from tests.at_most_once.test_handover import connect_all
from tests.lifecycle.support import log_lines
from tests.support import run_async

SHORT_ABANDONED_WAIT = {"abandoned_wait": 0.2}
HUNG = {"to": "field 8"}


async def send_order(deployment, key, order=ORDER, **body):
    """Send an order; return its status, and its order number or its outcome."""
    response = await deployment.call(PIPELINE, order, key=key, **body)
    document = await response.json()
    if response.status == 200:
        return 200, document["output"]["order"]
    return response.status, document["outcome"]


async def hang_one_order(deployment, key):
    """Send an order that hangs after its effect; return its endpoint."""
    await set_dispatch_knobs(deployment, stuck_after=True)
    assert (await send_order(deployment, key, HUNG, deadline_ms=1000))[1] == "unknown"
    await set_dispatch_knobs(deployment, stuck_after=False)
    return await endpoint_of_hung_order(deployment)


async def endpoint_of_hung_order(deployment):
    """Return the endpoint whose service has recorded the hung order."""
    for pair in deployment.pool("dispatch"):
        records = await deployment.records(pair.service)
        if any(record["input"] == HUNG for record in records):
            return pair
    raise AssertionError("no service has recorded the hung order")


def test_a_stop_ends_although_a_service_hangs_for_good():
    """
    Guards against lost results. A service hangs after an effect and its caller has
    disconnected. If the sidecar waited for the service at a restart, it would be
    killed, and the results of all other calls would be lost with it.
    """

    async def scenario():
        async with effects_deployment(
            servers=3, sidecar_overrides=SHORT_ABANDONED_WAIT
        ) as deployment:
            await connect_all(deployment)
            keys = [await new_token(deployment) for _ in range(6)]
            placed = {key: await send_order(deployment, key) for key in keys}
            unused = [await new_token(deployment) for _ in range(3)]
            hung = await new_token(deployment)
            pair = await hang_one_order(deployment, hung)
            assert await pair.sidecar.stop() == 0
            await restart_sidecar(deployment, pair)
            await connect_all(deployment)
            assert {key: await send_order(deployment, key) for key in keys} == placed
            assert (await send_order(deployment, hung, HUNG))[1] == "unknown"
            for key in unused:
                status, outcome = await send_order(deployment, key)
                assert status == 200 or (status, outcome) == (410, "not_run")
            recorded = await effects(deployment)
            assert len({record["key"] for record in recorded}) == len(recorded)

    run_async(scenario())


def test_a_stop_cuts_no_call_that_a_caller_awaits():
    """
    Guards against aborted calls. A slow service replies after its sidecar got the stop
    signal, later than the sidecar's wait for abandoned calls. The caller still waits
    and must get the result.
    """

    async def scenario():
        async with effects_deployment(
            servers=2, sidecar_overrides={"abandoned_wait": 0.01, "drain_wait": 0.0}
        ) as deployment:
            await connect_all(deployment)
            await set_dispatch_knobs(deployment, slow=1.5)
            order = asyncio.create_task(send_order(deployment, "order-1"))
            pair = await wait_for_call(deployment)
            assert await pair.sidecar.stop() == 0
            assert (await order)[0] == 200
            assert len(await effects(deployment)) == 1

    run_async(scenario())


def test_a_kill_in_a_stop_loses_no_result_of_an_ended_call():
    """
    Guards against lost results when a sidecar is killed because its stop takes too
    long, here because of a hung call that a caller awaits. The results of ended calls
    must have been handed over before; the outcome of the hung call stays unknown.
    """

    async def scenario():
        async with effects_deployment(servers=2) as deployment:
            await connect_all(deployment)
            keys = [await new_token(deployment) for _ in range(4)]
            placed = {key: await send_order(deployment, key) for key in keys}
            hung = await new_token(deployment)
            await set_dispatch_knobs(deployment, stuck_after=True)
            order = asyncio.create_task(
                send_order(deployment, hung, HUNG, deadline_ms=60_000)
            )
            await wait_for_effects(deployment, len(keys) + 1)
            pair = await endpoint_of_hung_order(deployment)
            pair.sidecar.send(signal.SIGTERM)

            async def handed_over():
                return bool(log_lines(pair.sidecar, "records_handed_over"))

            await wait_for(handed_over)
            await pair.sidecar.kill()
            await set_dispatch_knobs(deployment, stuck_after=False)
            assert (await order)[1] == "unknown"
            await restart_sidecar(deployment, pair)
            await connect_all(deployment)
            assert {key: await send_order(deployment, key) for key in keys} == placed
            assert (await send_order(deployment, hung, HUNG))[1] == "unknown"
            assert len(await effects(deployment)) == len(keys) + 1

    run_async(scenario())
