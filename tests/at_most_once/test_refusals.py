"""Refusals before start, through real processes: not run is true, and final."""

import asyncio

from tests.at_most_once.support import (
    ORDER,
    PIPELINE,
    effects,
    effects_deployment,
    set_dispatch,
    token,
    wait_for,
    wait_for_calls,
)
from tests.at_most_once.test_handover import greet
from tests.lifecycle.support import log_lines
from tests.support import run_async

LONG_MS = 60_000


async def place(deployment, key, entry=0):
    """Send an order with time enough; return its status and outcome."""
    response = await deployment.call(
        PIPELINE, ORDER, entry=entry, key=key, deadline_ms=LONG_MS
    )
    document = await response.json()
    return response.status, document.get("outcome", "answered")


def refused_before_start(deployment, cause):
    """Whether a sidecar refused an attempt for a cause, by the entries' logs."""
    return any(
        cause in line
        for entry in deployment.entries
        for line in log_lines(entry, "attempt_ended")
    )


def test_a_sidecar_whose_records_are_full_runs_nothing():
    """
    More orders come than a sidecar may keep on record. One that ran without a
    record would run again when it is repeated; its caller must hear not run, and
    the order that is on record keeps its result.
    """

    async def scenario():
        overrides = {"record_capacity": 1}
        async with effects_deployment(
            servers=1, sidecar_overrides=overrides
        ) as deployment:
            keys = ["order-1", await token(deployment), "order-3"]
            assert await place(deployment, keys[0]) == (200, "answered")
            assert (await place(deployment, keys[1]))[1] == "not_run"
            # Its seal is the only one that there is room for.
            assert (await place(deployment, keys[2]))[1] == "unknown"
            assert (await place(deployment, keys[1]))[1] == "not_run"
            assert refused_before_start(deployment, "too many recent calls")
            assert await place(deployment, keys[0], 1) == (200, "answered")
            assert len(await effects(deployment)) == 1

    run_async(scenario())


def test_a_full_queue_refuses_what_it_never_runs():
    """
    The service is stuck, one order waits for it, and more come. They must hear not
    run, and never start: their callers phone for a truck.
    """

    async def scenario():
        overrides = {"concurrency": 1, "queue_capacity": 1}
        async with effects_deployment(
            servers=1, sidecar_overrides=overrides
        ) as deployment:
            refused = [await token(deployment) for _ in range(2)]
            await set_dispatch(deployment, stuck=True)
            held = [asyncio.create_task(place(deployment, "order-1"))]
            pair = await wait_for_calls(deployment, 1)
            held.append(asyncio.create_task(place(deployment, "order-2")))
            url = f"http://127.0.0.1:{pair.sidecar.ports['http']}/metrics"

            async def queued():
                async with deployment.http.get(url) as response:
                    return "amaranthtally_calls_queued 1" in await response.text()

            await wait_for(queued)
            for key in refused:
                assert (await place(deployment, key))[1] == "not_run"
            assert refused_before_start(deployment, "queue full")
            assert await effects(deployment) == []
            for task in held:
                task.cancel()
            await asyncio.gather(*held, return_exceptions=True)

    run_async(scenario())


def test_a_service_that_refuses_connections_has_run_nothing():
    """
    A service is restarted and its port refuses for a while. The order was not run,
    and the same key runs it once the service is back.
    """

    async def scenario():
        async with effects_deployment(servers=1) as deployment:
            await greet(deployment)
            keys = ["order-1", await token(deployment)]
            (pair,) = deployment.pool("dispatch")
            port = pair.service.ports["port"]
            await pair.service.kill()
            for key in keys:
                assert (await place(deployment, key))[1] == "not_run"
            assert refused_before_start(deployment, "endpoint unreachable")
            pair.service = await deployment.start_standin_at(pair.id, "plain", port, {})

            for key in keys:

                async def answered(key=key):
                    return (await place(deployment, key, 1))[1] == "answered"

                await wait_for(answered)
            assert len(await effects(deployment)) == len(keys)

    run_async(scenario())
