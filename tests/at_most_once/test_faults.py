"""One fault at a time, and two together, during a call with an effect."""

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
    wait_for_calls,
    wait_for_calls_in_all,
    wait_for_effects,
)
from tests.lifecycle.support import log_lines
from tests.support import run_async

QUICK = 5


async def send_both_ways(deployment, **knobs):
    """Set knobs, send an order by key and one by token; return keys and tasks."""
    keys = ["order-1", await token(deployment)]
    await set_dispatch(deployment, **knobs)
    sent = [
        asyncio.create_task(deployment.call(PIPELINE, ORDER, key=key)) for key in keys
    ]
    return keys, sent


async def outcomes(responses):
    """Return the status and outcome of each answer."""
    found = []
    for response in responses:
        document = await response.json()
        found.append((response.status, document.get("outcome", "answered")))
    return found


async def repeat(deployment, keys):
    """Repeat each key through each entry; return statuses and outcomes."""
    return await outcomes(
        [
            await deployment.call(PIPELINE, ORDER, entry=entry, key=key)
            for key in keys
            for entry in range(len(deployment.entries))
        ]
    )


def test_a_sidecar_killed_before_the_effect():
    """
    The sidecar dies while the service has not yet ordered the truck. Nobody can
    tell whether it will: a repeat that ran elsewhere, or at the restarted sidecar,
    could bring a second truck. Every answer is unknown.
    """

    async def scenario():
        async with effects_deployment(servers=1) as deployment:
            keys, sent = await send_both_ways(deployment, stuck=True)
            pair = await wait_for_call(deployment)
            await pair.sidecar.kill()
            first = await outcomes(await asyncio.gather(*sent))
            assert {o for _, o in first} == {"unknown"}, first
            await restart_sidecar(deployment, pair)
            await set_dispatch(deployment, stuck=False)
            again = await repeat(deployment, keys)
            assert {o for _, o in again} == {"unknown"}, again
            assert await effects(deployment) == []

    run_async(scenario())


def test_a_sidecar_killed_after_the_effect():
    """
    The truck is ordered, and the sidecar dies before the entry hears of it. The
    restarted sidecar has no record of the call and must not run a repeat.
    """

    async def scenario():
        async with effects_deployment(servers=1) as deployment:
            keys, sent = await send_both_ways(deployment, stuck_after=True)
            await wait_for_effects(deployment, 2)
            pair = deployment.pool("dispatch")[0]
            await pair.sidecar.kill()
            first = await outcomes(await asyncio.gather(*sent))
            assert {o for _, o in first} == {"unknown"}, first
            await restart_sidecar(deployment, pair)
            await set_dispatch(deployment, stuck_after=False)
            again = await repeat(deployment, keys)
            assert {o for _, o in again} == {"unknown"}, again
            assert len(await effects(deployment)) == 2

    run_async(scenario())


def test_a_sidecar_killed_once_the_call_has_ended():
    """
    An order was answered; then its sidecar dies. A tool that repeats the order
    hears unknown, and no other endpoint of the pool runs it.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            keys, sent = await send_both_ways(deployment)
            assert [r.status for r in await asyncio.gather(*sent)] == [200, 200]
            for pair in deployment.pool("dispatch"):
                await pair.sidecar.kill()
                await restart_sidecar(deployment, pair)
            again = await repeat(deployment, keys)
            assert {o for _, o in again} == {"unknown"}, again
            assert len(await effects(deployment)) == 2

    run_async(scenario())


def test_a_sidecar_paused_past_every_timeout_and_continued():
    """
    A host stalls while the truck is being ordered, and every deadline passes. The
    caller hears unknown; the repeat meets the other entry. When the host goes on,
    its sidecar still holds the call: it must be the only one that ever did.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            await set_dispatch(deployment, slow=0.3)
            sent = asyncio.create_task(
                deployment.call(PIPELINE, ORDER, key="order-1", deadline_ms=600)
            )
            pair = await wait_for_call(deployment)
            pair.sidecar.send(signal.SIGSTOP)
            first = await outcomes([await sent])
            assert first == [(504, "unknown")]
            paused = await deployment.call(
                PIPELINE, ORDER, entry=1, key="order-1", deadline_ms=600
            )
            assert (await outcomes([paused]))[0][1] == "unknown"
            pair.sidecar.send(signal.SIGCONT)
            again = await repeat(deployment, ["order-1"])
            assert again == [(200, "answered")] * 2
            assert len(await effects(deployment)) == 1

    run_async(scenario())


def test_a_paused_entry_sends_after_a_repeat_was_told_not_run():
    """
    An entry binds an order and stalls before sending it. The repeat through the
    other entry is told that nothing ran, and the caller orders the truck by phone.
    The stalled entry goes on and sends its copy, which must be refused.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            roster = deployment.pool("roster")
            for pair in roster:
                await deployment.set_knobs(pair.service, slow=0.3)
            sent = asyncio.create_task(
                deployment.call(
                    PIPELINE, ORDER, entry=0, key="order-1", deadline_ms=60_000
                )
            )
            await wait_for_call(deployment, "roster")
            deployment.entries[0].send(signal.SIGSTOP)
            refused = await deployment.call(
                PIPELINE, ORDER, entry=1, key="order-1", deadline_ms=200
            )
            assert await outcomes([refused]) == [(504, "not_run")]
            deployment.entries[0].send(signal.SIGCONT)
            late = (await outcomes([await sent]))[0]
            assert late[1] == "not_run", late
            assert await effects(deployment) == []
            again = await repeat(deployment, ["order-1"])
            assert again == [(200, "answered")] * 2
            assert len(await effects(deployment)) == 1

    run_async(scenario())


def test_a_platform_outage_refuses_own_keys_and_serves_tokens():
    """
    The platform is down in the harvest. An order with an own key can't be claimed
    and is refused with a time to come back. An earlier try may have run it
    (order-0 here), and nothing tells the two apart, so the outcome is unknown. One
    with a token is served.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            keys = [await token(deployment) for _ in range(2)]
            before = await deployment.call(PIPELINE, ORDER, key="order-0")
            assert before.status == 200
            await deployment.set_knobs(deployment.platform, outage=True)
            for entry, key in ((0, "order-0"), (1, "order-0"), (0, "order-1")):
                refused = await deployment.call(PIPELINE, ORDER, entry=entry, key=key)
                assert await outcomes([refused]) == [(503, "unknown")]
                assert int(refused.headers["Retry-After"]) > 0
            assert len(await effects(deployment)) == 1
            served = await repeat(deployment, keys)
            assert served == [(200, "answered")] * 4
            another = await token(deployment)
            assert (await repeat(deployment, [another]))[0] == (200, "answered")
            assert len(await effects(deployment)) == 4

    run_async(scenario())


def test_a_short_outage_of_the_platform_refuses_nobody():
    """
    The platform is away for a moment as an order with an own key comes in. Refused
    at once, its caller hears unknown and does not know whether a truck comes; there
    is time enough before its deadline to try again.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            await deployment.set_knobs(deployment.platform, outage=True)
            order = asyncio.create_task(
                deployment.call(PIPELINE, ORDER, key="order-1", deadline_ms=60_000)
            )

            async def put_off():
                return bool(log_lines(deployment.entries[0], "claim_put_off"))

            await wait_for(lambda: ended_or(order, put_off))
            await deployment.set_knobs(deployment.platform, outage=False)
            assert await outcomes([await order]) == [(200, "answered")]
            assert len(await effects(deployment)) == 1

    run_async(scenario())


async def ended_or(task, condition):
    """Whether a task has ended or an asynchronous condition holds."""
    return task.done() or await condition()


def test_the_claims_answer_is_lost():
    """
    A claim takes effect and its answer is lost. An entry that gave up would leave
    a key that nobody runs; one that claimed anew elsewhere would run it twice.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            for number, lost in enumerate((1, 2, 3)):
                await deployment.set_knobs(deployment.platform, lose_answers=lost)
                answers = await asyncio.gather(
                    *(
                        deployment.call(PIPELINE, ORDER, entry=e, key=f"order-{number}")
                        for e in (0, 1)
                    )
                )
                found = await outcomes(answers)
                assert found == [(200, "answered")] * 2, found
                assert len(await effects(deployment)) == number + 1

    run_async(scenario())


def test_the_service_is_stuck_after_the_effect():
    """
    The truck is ordered and the service hangs before its answer. The deadline
    passes: unknown, also for a repeat, and no second truck.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            await set_dispatch(deployment, stuck_after=True)
            for entry in (0, 1):
                late = await deployment.call(
                    PIPELINE, ORDER, entry=entry, key="order-1", deadline_ms=400
                )
                assert await outcomes([late]) == [(504, "unknown")]
            assert len(await effects(deployment)) == 1

    run_async(scenario())


def test_a_queued_call_is_withdrawn_and_never_runs():
    """
    The service is busy, and an order waits at the sidecar until its deadline. The
    caller hears not run and phones for a truck; the queued order must never start.
    """

    async def scenario():
        overrides = {"concurrency": 1}
        async with effects_deployment(
            servers=1, sidecar_overrides=overrides
        ) as deployment:
            # Quick ones first: the policy must expect the late ones to be in time,
            # and send them.
            for number in range(QUICK):
                quick = await deployment.call(
                    PIPELINE, ORDER, entry=1, key=f"quick-{number}"
                )
                assert quick.status == 200
            await set_dispatch(deployment, slow=1.5)
            running = asyncio.create_task(
                deployment.call(PIPELINE, ORDER, key="order-1")
            )
            await wait_for_calls(deployment, QUICK + 1)
            for key in ("order-2", await token(deployment)):
                late = await deployment.call(
                    PIPELINE, ORDER, entry=1, key=key, deadline_ms=300
                )
                assert await outcomes([late]) == [(504, "not_run")]
            assert (await running).status == 200
            last = await deployment.call(PIPELINE, ORDER, key="order-3")
            assert last.status == 200
            assert len(await effects(deployment)) == QUICK + 2

    run_async(scenario())


def test_an_entry_killed_and_the_platform_down():
    """
    An entry dies while the truck is being ordered, and the platform is down too.
    The token that the caller holds is enough for the other entry.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            keys, sent = await send_both_ways(deployment, slow=0.5)
            await wait_for_calls_in_all(deployment, len(keys))
            await deployment.set_knobs(deployment.platform, outage=True)
            await deployment.entries[0].kill()
            await asyncio.gather(*sent, return_exceptions=True)
            by_key, by_token = await outcomes(
                [
                    await deployment.call(PIPELINE, ORDER, entry=1, key=key)
                    for key in keys
                ]
            )
            assert by_key == (503, "unknown")
            assert by_token == (200, "answered")
            await wait_for_effects(deployment, 2)
            await deployment.set_knobs(deployment.platform, outage=False)

            async def answered():
                found = await deployment.call(PIPELINE, ORDER, entry=1, key=keys[0])
                return found.status == 200

            await wait_for(answered)
            assert len(await effects(deployment)) == 2

    run_async(scenario())


def test_a_sidecar_paused_and_the_entry_killed():
    """
    A host stalls in mid-order and the entry that waits for it dies. The other
    entry says unknown while the host is silent, and has the result afterwards.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            keys, sent = await send_both_ways(deployment, slow=0.3)
            first = await wait_for_call(deployment)
            for pair in deployment.pool("dispatch"):
                pair.sidecar.send(signal.SIGSTOP)
            await deployment.entries[0].kill()
            await asyncio.gather(*sent, return_exceptions=True)
            paused = await outcomes(
                [
                    await deployment.call(PIPELINE, ORDER, entry=1, key=key)
                    for key in keys
                ]
            )
            assert {o for _, o in paused} == {"unknown"}, paused
            for pair in deployment.pool("dispatch"):
                pair.sidecar.send(signal.SIGCONT)
            assert first.sidecar.exit_code is None
            again = await outcomes(
                [
                    await deployment.call(PIPELINE, ORDER, entry=1, key=key)
                    for key in keys
                ]
            )
            assert again == [(200, "answered")] * 2
            assert len(await effects(deployment)) == 2

    run_async(scenario())
