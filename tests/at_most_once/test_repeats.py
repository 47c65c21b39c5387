"""Repeated keys: through another entry, concurrently, or with another input."""

import asyncio

from tests.at_most_once.support import (
    ORDER,
    PIPELINE,
    effects,
    effects_deployment,
    new_token,
    set_dispatch_knobs,
    wait_for_call,
    wait_for_effects,
)
from tests.support import run_async


def test_a_repeat_through_another_entry_returns_the_first_result():
    """
    Guards against two effects. The repeat of an answered call arrives at another entry,
    which prefers another endpoint. That endpoint's sidecar has no record of the key and
    would run the call again.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            first = await deployment.call(PIPELINE, ORDER, entry=0, key="order-1")
            again = await deployment.call(PIPELINE, ORDER, entry=1, key="order-1")
            assert first.status == again.status == 200
            assert (await first.json())["output"] == (await again.json())["output"]
            assert len(await effects(deployment)) == 1

    run_async(scenario())


def test_a_token_finds_the_first_result_through_another_entry():
    """
    As above, but with a token. The platform then stores no claim, so the token itself
    must carry the binding to the second entry.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            key = await new_token(deployment)
            first = await deployment.call(PIPELINE, ORDER, entry=1, key=key)
            again = await deployment.call(PIPELINE, ORDER, entry=0, key=key)
            assert first.status == again.status == 200
            assert (await first.json())["output"] == (await again.json())["output"]
            assert len(await effects(deployment)) == 1

    run_async(scenario())


def test_two_entries_with_one_key_at_once_cause_one_effect():
    """
    Guards against two effects. The same call is sent to two entries concurrently. Both
    see no claim and choose an endpoint; without compare-and-swap both would run it.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            for number in range(10):
                answers = await asyncio.gather(
                    *(
                        deployment.call(PIPELINE, ORDER, entry=e, key=f"order-{number}")
                        for e in (0, 1, 0, 1)
                    )
                )
                documents = [await answer.json() for answer in answers]
                assert [a.status for a in answers] == [200] * 4, documents
                assert len({str(d["output"]) for d in documents}) == 1
                assert len(await effects(deployment)) == number + 1

    run_async(scenario())


def test_a_key_with_another_input_is_refused():
    """
    Guards against a wrong result. A caller reuses a key with another input by mistake.
    If only the keys were compared, it would get the result of the first input.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            for key in ("order-1", await new_token(deployment)):
                first = await deployment.call(PIPELINE, ORDER, key=key)
                assert first.status == 200
                for entry in (0, 1):
                    response = await deployment.call(
                        PIPELINE, {"to": "field 8"}, entry=entry, key=key
                    )
                    document = await response.json()
                    assert response.status == 422, document
                    assert document["outcome"] == "not_run"
            assert len(await effects(deployment)) == 2

    run_async(scenario())


def test_an_entry_killed_during_the_effect_and_a_repeat_through_another():
    """
    Guards against two effects. An entry dies during a call, which is repeated through
    another entry. That entry must find the running call and return its result.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            await set_dispatch_knobs(deployment, slow=0.5)
            first = asyncio.create_task(
                deployment.call(PIPELINE, ORDER, entry=1, key="order-1")
            )
            await wait_for_call(deployment)
            await deployment.entries[1].kill()
            await asyncio.gather(first, return_exceptions=True)
            again = await deployment.call(PIPELINE, ORDER, entry=0, key="order-1")
            document = await again.json()
            assert again.status == 200, document
            assert len(await effects(deployment)) == 1

    run_async(scenario())


def test_a_deadline_during_the_effect_then_the_result():
    """
    Guards against a false outcome not run. The deadline passes during a slow call, so
    the outcome is unknown, and a repeat gets the result of the first call.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            await set_dispatch_knobs(deployment, slow=1.0)
            late = await deployment.call(
                PIPELINE, ORDER, entry=0, key="order-1", deadline_ms=400
            )
            document = await late.json()
            assert late.status == 504, document
            assert document["outcome"] == "unknown"
            await wait_for_effects(deployment, 1)
            again = await deployment.call(PIPELINE, ORDER, entry=1, key="order-1")
            assert again.status == 200, await again.json()
            assert len(await effects(deployment)) == 1

    run_async(scenario())
