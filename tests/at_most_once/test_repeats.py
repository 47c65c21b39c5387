"""The same key again: through another entry, at once, with another input."""

import asyncio

from tests.at_most_once.support import (
    ORDER,
    PIPELINE,
    effects,
    effects_deployment,
    set_dispatch,
    token,
    wait_for_call,
    wait_for_effects,
)
from tests.support import run_async


def test_a_repeat_through_another_entry_finds_the_first_result():
    """
    A farmer's order is answered, the mechanic's tool repeats it, and two trucks
    come. The repeat meets another entry, which prefers another endpoint; that
    sidecar has no record of the key and runs it again.
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
    As above, but the caller brings a token and the platform keeps no claim: the
    token itself must carry the binding to the second entry.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            key = await token(deployment)
            first = await deployment.call(PIPELINE, ORDER, entry=1, key=key)
            again = await deployment.call(PIPELINE, ORDER, entry=0, key=key)
            assert first.status == again.status == 200
            assert (await first.json())["output"] == (await again.json())["output"]
            assert len(await effects(deployment)) == 1

    run_async(scenario())


def test_two_entries_with_one_key_at_once_make_one_effect():
    """
    A tool sends an order twice at once, to two entries. Both see no claim, both
    choose an endpoint, and without compare-and-swap both run it.
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
    A caller reuses a key for another field by mistake and is told that its order
    was carried out, though the truck went to the first field. The key alone was
    compared, not what it stood for.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            for key in ("order-1", await token(deployment)):
                first = await deployment.call(PIPELINE, ORDER, key=key)
                assert first.status == 200
                for entry in (0, 1):
                    other = await deployment.call(
                        PIPELINE, {"to": "field 8"}, entry=entry, key=key
                    )
                    document = await other.json()
                    assert other.status == 422, document
                    assert document["outcome"] == "not_run"
            assert len(await effects(deployment)) == 2

    run_async(scenario())


def test_an_entry_killed_during_the_effect_and_a_repeat_through_another():
    """
    An entry dies while the truck is being ordered; the caller's tool repeats the
    order through the next entry. That entry must find the call that still runs.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            await set_dispatch(deployment, slow=0.5)
            lost = asyncio.create_task(
                deployment.call(PIPELINE, ORDER, entry=1, key="order-1")
            )
            await wait_for_call(deployment)
            await deployment.entries[1].kill()
            await asyncio.gather(lost, return_exceptions=True)
            again = await deployment.call(PIPELINE, ORDER, entry=0, key="order-1")
            document = await again.json()
            assert again.status == 200, document
            assert len(await effects(deployment)) == 1

    run_async(scenario())


def test_a_deadline_during_the_effect_then_the_result():
    """
    The dispatch service is slow: the deadline passes while it orders the truck.
    Saying that nothing ran would bring a second truck; the answer is unknown, and
    a repeat gets the result of the first.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            await set_dispatch(deployment, slow=1.0)
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
