"""Services that die during a call: the reported outcomes and the effects."""

import asyncio

import pytest

from tests.at_most_once.support import (
    ORDER,
    PIPELINE,
    all_effects,
    effects_deployment,
    new_token,
    set_dispatch_knobs,
)
from tests.at_most_once.test_faults import outcomes, repeat
from tests.support import run_async


@pytest.mark.parametrize("by_token", [False, True])
def test_the_service_dies_after_the_effect_and_before_its_answer(by_token):
    """
    Guards against an effect that happens twice. The service dies after the effect and
    the sidecar sees a broken connection. It must not report this as not run, and the
    call must not be retried at the other endpoints.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            key = await new_token(deployment) if by_token else "order-1"
            await set_dispatch_knobs(deployment, die_after=1)
            first = await outcomes([await deployment.call(PIPELINE, ORDER, key=key)])
            assert first == [(502, "unknown")]
            repeats = await repeat(deployment, [key])
            assert {o for _, o in repeats} == {"unknown"}, repeats
            assert len(await all_effects(deployment)) == 1
            dead = [p for p in deployment.pool("dispatch") if p.service.exit_code]
            assert len(dead) == 1

    run_async(scenario())


def test_a_call_to_a_dead_service_is_not_run():
    """
    Two calls are bound to one service, which dies after the effect of the first. The
    first call's outcome must be unknown. The second call's connection is refused, so
    its outcome must be not run.
    """

    async def scenario():
        async with effects_deployment(servers=1) as deployment:
            second_key = await new_token(deployment)
            await set_dispatch_knobs(deployment, die_after=1)
            first = await deployment.call(PIPELINE, ORDER, key="order-1")
            assert await outcomes([first]) == [(502, "unknown")]
            second = await deployment.call(PIPELINE, ORDER, key=second_key)
            assert await outcomes([second]) == [(503, "not_run")]
            assert len(await all_effects(deployment)) == 1

    run_async(scenario())


def test_concurrent_calls_to_services_that_die():
    """
    Two calls arrive at once and each service dies during its first call. Either call
    may reach a dead service. A call reported as not run must not have an effect at any
    service, including the dead ones, and no call may have two effects.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            orders = {
                key: {**ORDER, "note": key}
                for key in ("order-1", await new_token(deployment))
            }
            await set_dispatch_knobs(deployment, die_after=1)
            sent = [
                deployment.call(PIPELINE, order, key=key)
                for key, order in orders.items()
            ]
            first = await outcomes(await asyncio.gather(*sent))
            reported = dict(zip(orders, (outcome for _, outcome in first), strict=True))
            assert set(reported.values()) <= {"unknown", "not_run"}, first
            unknown = [key for key, outcome in reported.items() if outcome == "unknown"]
            assert unknown, first
            for key in unknown:
                repeated = await deployment.call(PIPELINE, orders[key], 1, key=key)
                assert (await outcomes([repeated]))[0][1] == "unknown"
            ran = [effect["input"]["note"] for effect in await all_effects(deployment)]
            assert len(ran) == len(set(ran)) >= 1
            assert set(ran) <= set(unknown)

    run_async(scenario())
