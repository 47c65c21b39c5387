"""Single and double faults during at-most-once calls."""

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
    wait_for_calls,
    wait_for_calls_in_all,
    wait_for_effects,
)
from tests.lifecycle.support import log_lines
from tests.support import run_async

FAST_CALLS = 5


async def send_two_calls(deployment, **knobs):
    """Set knobs, then send a call with a key and one with a token; return both."""
    keys = ["order-1", await new_token(deployment)]
    await set_dispatch_knobs(deployment, **knobs)
    sent = [
        asyncio.create_task(deployment.call(PIPELINE, ORDER, key=key)) for key in keys
    ]
    return keys, sent


async def outcomes(responses):
    """Return the status and the outcome of each response."""
    statuses = []
    for response in responses:
        document = await response.json()
        statuses.append((response.status, document.get("outcome", "answered")))
    return statuses


async def repeat(deployment, keys):
    """Repeat each key through each entry; return the statuses and outcomes."""
    return await outcomes(
        [
            await deployment.call(PIPELINE, ORDER, entry=entry, key=key)
            for key in keys
            for entry in range(len(deployment.entries))
        ]
    )


def test_a_sidecar_killed_before_the_effect():
    """
    Guards against a second effect. The sidecar dies before the service has produced
    the effect, which may still happen. A repeat must not run at another endpoint or at
    the restarted sidecar; every outcome is unknown.
    """

    async def scenario():
        async with effects_deployment(servers=1) as deployment:
            keys, sent = await send_two_calls(deployment, stuck=True)
            pair = await wait_for_call(deployment)
            await pair.sidecar.kill()
            first = await outcomes(await asyncio.gather(*sent))
            assert {o for _, o in first} == {"unknown"}, first
            await restart_sidecar(deployment, pair)
            await set_dispatch_knobs(deployment, stuck=False)
            repeats = await repeat(deployment, keys)
            assert {o for _, o in repeats} == {"unknown"}, repeats
            assert await effects(deployment) == []

    run_async(scenario())


def test_a_sidecar_killed_after_the_effect():
    """
    Guards against a second effect. The sidecar dies after the effect and before its
    reply. The restarted sidecar has no record of the call and must not run a repeat.
    """

    async def scenario():
        async with effects_deployment(servers=1) as deployment:
            keys, sent = await send_two_calls(deployment, stuck_after=True)
            await wait_for_effects(deployment, 2)
            pair = deployment.pool("dispatch")[0]
            await pair.sidecar.kill()
            first = await outcomes(await asyncio.gather(*sent))
            assert {o for _, o in first} == {"unknown"}, first
            await restart_sidecar(deployment, pair)
            await set_dispatch_knobs(deployment, stuck_after=False)
            repeats = await repeat(deployment, keys)
            assert {o for _, o in repeats} == {"unknown"}, repeats
            assert len(await effects(deployment)) == 2

    run_async(scenario())


def test_a_sidecar_killed_once_the_call_has_ended():
    """
    Guards against a second effect. The sidecar dies after the call was answered. The
    outcome of a repeat is unknown, and no other endpoint runs it.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            keys, sent = await send_two_calls(deployment)
            assert [r.status for r in await asyncio.gather(*sent)] == [200, 200]
            for pair in deployment.pool("dispatch"):
                await pair.sidecar.kill()
                await restart_sidecar(deployment, pair)
            repeats = await repeat(deployment, keys)
            assert {o for _, o in repeats} == {"unknown"}, repeats
            assert len(await effects(deployment)) == 2

    run_async(scenario())


def test_a_sidecar_paused_past_every_timeout_and_continued():
    """
    Guards against a second effect. The sidecar is paused during the call until every
    deadline has passed, so the outcome is unknown, also for a repeat through the other
    entry. After the sidecar resumes, repeats get the result of its one call.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            await set_dispatch_knobs(deployment, slow=0.3)
            sent = asyncio.create_task(
                deployment.call(PIPELINE, ORDER, key="order-1", deadline_ms=600)
            )
            pair = await wait_for_call(deployment)
            pair.sidecar.send(signal.SIGSTOP)
            first = await outcomes([await sent])
            assert first == [(504, "unknown")]
            during_pause = await deployment.call(
                PIPELINE, ORDER, entry=1, key="order-1", deadline_ms=600
            )
            assert (await outcomes([during_pause]))[0][1] == "unknown"
            pair.sidecar.send(signal.SIGCONT)
            repeats = await repeat(deployment, ["order-1"])
            assert repeats == [(200, "answered")] * 2
            assert len(await effects(deployment)) == 1

    run_async(scenario())


def test_a_paused_entry_sends_after_a_repeat_was_not_run():
    """
    Guards against an outcome not run that becomes false later. An entry binds a call
    and is paused before sending it. A repeat through the other entry gets the outcome
    not run. When the first entry resumes and sends its copy, the copy must be rejected.
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
            repeated = await deployment.call(
                PIPELINE, ORDER, entry=1, key="order-1", deadline_ms=200
            )
            assert await outcomes([repeated]) == [(504, "not_run")]
            deployment.entries[0].send(signal.SIGCONT)
            late_outcome = (await outcomes([await sent]))[0]
            assert late_outcome[1] == "not_run", late_outcome
            assert await effects(deployment) == []
            repeats = await repeat(deployment, ["order-1"])
            assert repeats == [(200, "answered")] * 2
            assert len(await effects(deployment)) == 1

    run_async(scenario())


def test_a_platform_outage_rejects_caller_keys_and_serves_tokens():
    """
    During an outage of the platform a call with a key chosen by the caller cannot be
    claimed and is rejected with a Retry-After header. An earlier attempt may have run
    it, as for order-0 here, and the entry cannot tell, so the outcome is unknown.
    Calls with tokens need no claim and are served.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            keys = [await new_token(deployment) for _ in range(2)]
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
            fresh_token = await new_token(deployment)
            assert (await repeat(deployment, [fresh_token]))[0] == (200, "answered")
            assert len(await effects(deployment)) == 4

    run_async(scenario())


def test_a_short_outage_of_the_platform_rejects_no_call():
    """
    Guards against a needless outcome unknown. The platform is unavailable for a moment
    when a call with a key chosen by the caller arrives. The entry must retry the claim,
    because there is enough time before the deadline.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            await deployment.set_knobs(deployment.platform, outage=True)
            order = asyncio.create_task(
                deployment.call(PIPELINE, ORDER, key="order-1", deadline_ms=60_000)
            )

            async def claim_was_postponed():
                return bool(log_lines(deployment.entries[0], "claim_put_off"))

            await wait_for(lambda: ended_or(order, claim_was_postponed))
            await deployment.set_knobs(deployment.platform, outage=False)
            assert await outcomes([await order]) == [(200, "answered")]
            assert len(await effects(deployment)) == 1

    run_async(scenario())


async def ended_or(task, condition):
    """Return whether a task has ended or an asynchronous condition holds."""
    return task.done() or await condition()


def test_the_reply_to_a_claim_is_lost():
    """
    A claim takes effect, but the platform's reply is lost. If the entry gave up, no
    entry would run the key's call; if it claimed the key again with another binding,
    the call could run twice.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            for number, lost_replies in enumerate((1, 2, 3)):
                await deployment.set_knobs(
                    deployment.platform, lose_answers=lost_replies
                )
                answers = await asyncio.gather(
                    *(
                        deployment.call(PIPELINE, ORDER, entry=e, key=f"order-{number}")
                        for e in (0, 1)
                    )
                )
                results = await outcomes(answers)
                assert results == [(200, "answered")] * 2, results
                assert len(await effects(deployment)) == number + 1

    run_async(scenario())


def test_the_service_is_stuck_after_the_effect():
    """
    Guards against a second effect. The service hangs after the effect until the
    deadline passes. The outcome is unknown, also for a repeat.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            await set_dispatch_knobs(deployment, stuck_after=True)
            for entry in (0, 1):
                late = await deployment.call(
                    PIPELINE, ORDER, entry=entry, key="order-1", deadline_ms=400
                )
                assert await outcomes([late]) == [(504, "unknown")]
            assert len(await effects(deployment)) == 1

    run_async(scenario())


def test_a_queued_call_is_withdrawn_and_never_runs():
    """
    Guards against an outcome not run that becomes false later. A call is queued at the
    sidecar until its deadline, and its outcome is not run. It must never start.
    """

    async def scenario():
        overrides = {"concurrency": 1}
        async with effects_deployment(
            servers=1, sidecar_overrides=overrides
        ) as deployment:
            # Fast calls come first, so that the policy expects later calls to finish
            # in time and sends them.
            for number in range(FAST_CALLS):
                fast = await deployment.call(
                    PIPELINE, ORDER, entry=1, key=f"quick-{number}"
                )
                assert fast.status == 200
            await set_dispatch_knobs(deployment, slow=1.5)
            running = asyncio.create_task(
                deployment.call(PIPELINE, ORDER, key="order-1")
            )
            await wait_for_calls(deployment, FAST_CALLS + 1)
            for key in ("order-2", await new_token(deployment)):
                late = await deployment.call(
                    PIPELINE, ORDER, entry=1, key=key, deadline_ms=300
                )
                assert await outcomes([late]) == [(504, "not_run")]
            assert (await running).status == 200
            last = await deployment.call(PIPELINE, ORDER, key="order-3")
            assert last.status == 200
            assert len(await effects(deployment)) == FAST_CALLS + 2

    run_async(scenario())


def test_an_entry_killed_and_the_platform_down():
    """
    An entry dies during two calls, and the platform is unavailable. A repeat with a
    token gets its result through the other entry. A repeat with a caller's key gets
    the outcome unknown until the platform is back.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            keys, sent = await send_two_calls(deployment, slow=0.5)
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
                response = await deployment.call(PIPELINE, ORDER, entry=1, key=keys[0])
                return response.status == 200

            await wait_for(answered)
            assert len(await effects(deployment)) == 2

    run_async(scenario())


def test_a_sidecar_paused_and_the_entry_killed():
    """
    The sidecars are paused during two calls and the entry that awaits them dies. The
    other entry reports unknown while the sidecars are paused, and the results later.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            keys, sent = await send_two_calls(deployment, slow=0.3)
            first = await wait_for_call(deployment)
            for pair in deployment.pool("dispatch"):
                pair.sidecar.send(signal.SIGSTOP)
            await deployment.entries[0].kill()
            await asyncio.gather(*sent, return_exceptions=True)
            during_pause = await outcomes(
                [
                    await deployment.call(PIPELINE, ORDER, entry=1, key=key)
                    for key in keys
                ]
            )
            assert {o for _, o in during_pause} == {"unknown"}, during_pause
            for pair in deployment.pool("dispatch"):
                pair.sidecar.send(signal.SIGCONT)
            assert first.sidecar.exit_code is None
            repeats = await outcomes(
                [
                    await deployment.call(PIPELINE, ORDER, entry=1, key=key)
                    for key in keys
                ]
            )
            assert repeats == [(200, "answered")] * 2
            assert len(await effects(deployment)) == 2

    run_async(scenario())
