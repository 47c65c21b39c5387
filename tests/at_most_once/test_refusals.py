"""Calls rejected before they start: the outcome not run is true and final."""

import asyncio

from tests.at_most_once.support import (
    ORDER,
    PIPELINE,
    effects,
    effects_deployment,
    new_token,
    set_dispatch_knobs,
    wait_for,
    wait_for_calls,
)
from tests.at_most_once.test_handover import connect_all
from tests.lifecycle.support import log_lines
from tests.support import run_async

LONG_DEADLINE_MS = 60_000


async def send_order(deployment, key, entry=0):
    """Send an order with a long deadline; return its status and outcome."""
    response = await deployment.call(
        PIPELINE, ORDER, entry=entry, key=key, deadline_ms=LONG_DEADLINE_MS
    )
    document = await response.json()
    return response.status, document.get("outcome", "answered")


def rejected_before_start(deployment, cause):
    """Return whether the entries have logged a rejected attempt with this cause."""
    return any(
        cause in line
        for entry in deployment.entries
        for line in log_lines(entry, "attempt_ended")
    )


def test_a_sidecar_whose_records_are_full_runs_nothing():
    """
    Guards against a call that runs without a record, and so would run again when it is
    repeated. A sidecar whose record capacity is used up must reject new calls as not
    run and keep the results that it has recorded.
    """

    async def scenario():
        overrides = {"record_capacity": 1}
        async with effects_deployment(
            servers=1, sidecar_overrides=overrides
        ) as deployment:
            keys = ["order-1", await new_token(deployment), "order-3"]
            assert await send_order(deployment, keys[0]) == (200, "answered")
            assert (await send_order(deployment, keys[1]))[1] == "not_run"
            # The withdrawal of keys[1] has filled the capacity for withdrawals.
            assert (await send_order(deployment, keys[2]))[1] == "unknown"
            assert (await send_order(deployment, keys[1]))[1] == "not_run"
            assert rejected_before_start(deployment, "too many recent calls")
            assert await send_order(deployment, keys[0], 1) == (200, "answered")
            assert len(await effects(deployment)) == 1

    run_async(scenario())


def test_a_full_queue_rejects_calls_that_never_run():
    """
    Guards against an outcome not run that becomes false later. The service is stuck and
    the queue is full, so further calls are rejected as not run. They must never start.
    """

    async def scenario():
        overrides = {"concurrency": 1, "queue_capacity": 1}
        async with effects_deployment(
            servers=1, sidecar_overrides=overrides
        ) as deployment:
            rejected_keys = [await new_token(deployment) for _ in range(2)]
            await set_dispatch_knobs(deployment, stuck=True)
            pending = [asyncio.create_task(send_order(deployment, "order-1"))]
            pair = await wait_for_calls(deployment, 1)
            pending.append(asyncio.create_task(send_order(deployment, "order-2")))
            url = f"http://127.0.0.1:{pair.sidecar.ports['http']}/metrics"

            async def queued():
                async with deployment.http.get(url) as response:
                    return "amaranthtally_calls_queued 1" in await response.text()

            await wait_for(queued)
            for key in rejected_keys:
                assert (await send_order(deployment, key))[1] == "not_run"
            assert rejected_before_start(deployment, "queue full")
            assert await effects(deployment) == []
            for task in pending:
                task.cancel()
            await asyncio.gather(*pending, return_exceptions=True)

    run_async(scenario())


def test_a_service_that_refuses_connections_has_run_nothing():
    """
    A service restarts and its port refuses connections for a while. The outcome of
    calls is not run, and a repeat with the same key runs once the service is back.
    """

    async def scenario():
        async with effects_deployment(servers=1) as deployment:
            await connect_all(deployment)
            keys = ["order-1", await new_token(deployment)]
            (pair,) = deployment.pool("dispatch")
            port = pair.service.ports["port"]
            await pair.service.kill()
            for key in keys:
                assert (await send_order(deployment, key))[1] == "not_run"
            assert rejected_before_start(deployment, "endpoint unreachable")
            pair.service = await deployment.start_standin_at(pair.id, "plain", port, {})

            for key in keys:

                async def answered(key=key):
                    return (await send_order(deployment, key, 1))[1] == "answered"

                await wait_for(answered)
            assert len(await effects(deployment)) == len(keys)

    run_async(scenario())
