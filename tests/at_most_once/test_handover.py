"""Planned stops hand the records of effects on."""

import asyncio

from tests.at_most_once.support import (
    ORDER,
    PIPELINE,
    effects,
    effects_deployment,
    restart_sidecar,
    token,
)
from tests.support import run_async

ORDERS = 4
OTHER_KEY = "loopback-handover-key-0002"


async def place_orders(deployment):
    """Place orders by key and by token; return the output of each."""
    keys = [f"order-{n}" for n in range(ORDERS)]
    keys += [await token(deployment) for _ in range(ORDERS)]
    outputs = {}
    for key in keys:
        response = await deployment.call(PIPELINE, ORDER, key=key)
        assert response.status == 200
        outputs[key] = (await response.json())["output"]
    return outputs


async def restart_pool(deployment):
    """Stop each dispatch sidecar gracefully and start it anew, one by one."""
    for pair in deployment.pool("dispatch"):
        assert await pair.sidecar.stop() == 0
        await restart_sidecar(deployment, pair)
        await greet(deployment)


async def greet(deployment):
    """Have every entry connect to every dispatch sidecar, which learn of peers."""
    for entry in range(len(deployment.entries)):
        for _ in range(2 * len(deployment.pool("dispatch"))):
            await token(deployment, entry)


async def repeat_all(deployment, outputs):
    """Repeat every order through each entry; return the answers that differ."""
    wrong = []
    for key, output in outputs.items():
        for entry in range(len(deployment.entries)):
            response = await deployment.call(PIPELINE, ORDER, entry=entry, key=key)
            document = await response.json()
            if response.status != 200 or document["output"] != output:
                wrong.append((response.status, document))
    return wrong


def test_repeats_get_their_results_after_a_rolling_restart():
    """
    The dispatch sidecars are restarted one after the other, as on any day. A tool
    that lost its connection repeats its orders and hears unknown: each restart
    took the records along.
    """

    async def scenario():
        async with effects_deployment(servers=3) as deployment:
            await greet(deployment)
            outputs = await place_orders(deployment)
            await restart_pool(deployment)
            assert await repeat_all(deployment, outputs) == []
            assert len(await effects(deployment)) == len(outputs)

    run_async(scenario())


def test_a_token_of_a_stopped_sidecar_that_never_ran_is_not_run():
    """
    A token's sidecar stops before the token is used. Its records say that the call
    never came: the caller hears not run, and can take a new token at once.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            await greet(deployment)
            unused = [await token(deployment, n % 2) for n in range(ORDERS)]
            outputs = await place_orders(deployment)
            for pair in deployment.pool("dispatch"):
                assert await pair.sidecar.stop() == 0
                await restart_sidecar(deployment, pair)
                await greet(deployment)
            for key in unused:
                response = await deployment.call(PIPELINE, ORDER, key=key)
                document = await response.json()
                assert (response.status, document["outcome"]) == (410, "not_run")
            assert len(await effects(deployment)) == len(outputs)

    run_async(scenario())


def test_records_signed_by_another_key_are_not_taken():
    """
    Someone on the network hands a sidecar records that they made up, so that
    orders never carried out are answered as done. Only a key of ours counts.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            await greet(deployment)
            outputs = await place_orders(deployment)
            first, second = deployment.pool("dispatch")
            await second.sidecar.stop()
            await restart_sidecar(deployment, second, handover_keys=[OTHER_KEY])
            await greet(deployment)
            await first.sidecar.stop()
            await restart_sidecar(deployment, first)
            responses = await asyncio.gather(
                *(deployment.call(PIPELINE, ORDER, key=key) for key in outputs)
            )
            found = {(await r.json()).get("outcome", "answered") for r in responses}
            assert "unknown" in found
            assert "not_run" not in found
            assert len(await effects(deployment)) == len(outputs)

    run_async(scenario())
