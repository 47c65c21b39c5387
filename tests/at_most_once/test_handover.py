"""Handover of the records of at-most-once calls at planned stops."""

import asyncio

from tests.at_most_once.support import (
    ORDER,
    PIPELINE,
    effects,
    effects_deployment,
    new_token,
    restart_sidecar,
)
from tests.support import run_async

ORDERS = 4
OTHER_KEY = "loopback-handover-key-0002"


async def place_orders(deployment):
    """Send orders by key and by token; return the output of each."""
    keys = [f"order-{n}" for n in range(ORDERS)]
    keys += [await new_token(deployment) for _ in range(ORDERS)]
    outputs = {}
    for key in keys:
        response = await deployment.call(PIPELINE, ORDER, key=key)
        assert response.status == 200
        outputs[key] = (await response.json())["output"]
    return outputs


async def restart_pool(deployment):
    """Stop the dispatch sidecars gracefully and restart them, one after the other."""
    for pair in deployment.pool("dispatch"):
        assert await pair.sidecar.stop() == 0
        await restart_sidecar(deployment, pair)
        await connect_all(deployment)


async def connect_all(deployment):
    """Connect all entries to all dispatch sidecars, which learn of their peers."""
    for entry in range(len(deployment.entries)):
        for _ in range(2 * len(deployment.pool("dispatch"))):
            await new_token(deployment, entry)


async def repeat_all(deployment, outputs):
    """Repeat every order through each entry; return the responses that differ."""
    different = []
    for key, output in outputs.items():
        for entry in range(len(deployment.entries)):
            response = await deployment.call(PIPELINE, ORDER, entry=entry, key=key)
            document = await response.json()
            if response.status != 200 or document["output"] != output:
                different.append((response.status, document))
    return different


def test_repeats_get_their_results_after_a_rolling_restart():
    """
    Guards against the outcome unknown for repeats after a rolling restart, which
    happens if each restart discards the sidecar's records.
    """

    async def scenario():
        async with effects_deployment(servers=3) as deployment:
            await connect_all(deployment)
            outputs = await place_orders(deployment)
            await restart_pool(deployment)
            assert await repeat_all(deployment, outputs) == []
            assert len(await effects(deployment)) == len(outputs)

    run_async(scenario())


def test_a_token_of_a_stopped_sidecar_that_never_ran_is_not_run():
    """
    Guards against a needless outcome unknown. A token's sidecar stops before the token
    is used. The handed-over records show that its call was never received, so the
    outcome is not run, and the caller may request a new token.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            await connect_all(deployment)
            unused = [await new_token(deployment, n % 2) for n in range(ORDERS)]
            outputs = await place_orders(deployment)
            for pair in deployment.pool("dispatch"):
                assert await pair.sidecar.stop() == 0
                await restart_sidecar(deployment, pair)
                await connect_all(deployment)
            for key in unused:
                response = await deployment.call(PIPELINE, ORDER, key=key)
                document = await response.json()
                assert (response.status, document["outcome"]) == (410, "not_run")
            assert len(await effects(deployment)) == len(outputs)

    run_async(scenario())


def test_records_signed_by_another_key_are_rejected():
    """
    Guards against forged records, which would make calls that never ran be answered
    with a result. A sidecar accepts only records signed by one of its handover keys.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            await connect_all(deployment)
            outputs = await place_orders(deployment)
            first, second = deployment.pool("dispatch")
            await second.sidecar.stop()
            await restart_sidecar(deployment, second, handover_keys=[OTHER_KEY])
            await connect_all(deployment)
            await first.sidecar.stop()
            await restart_sidecar(deployment, first)
            responses = await asyncio.gather(
                *(deployment.call(PIPELINE, ORDER, key=key) for key in outputs)
            )
            reported = {(await r.json()).get("outcome", "answered") for r in responses}
            assert "unknown" in reported
            assert "not_run" not in reported
            assert len(await effects(deployment)) == len(outputs)

    run_async(scenario())


def test_a_restarted_sidecar_is_bound_to_although_it_is_known_as_leaving():
    """Guards against 503 for a token while the only running sidecar counts as gone."""

    async def scenario():
        async with effects_deployment() as deployment:
            await connect_all(deployment)
            first, second = deployment.pool("dispatch")
            assert await first.sidecar.stop() == 0
            await second.sidecar.kill()
            await restart_sidecar(deployment, first)
            for entry in range(len(deployment.entries)):
                assert await new_token(deployment, entry)

    run_async(scenario())
