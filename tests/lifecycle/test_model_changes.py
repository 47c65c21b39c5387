"""Changes of models, versions and roles under load cut no request."""

import asyncio
import signal

import msgspec

from amaranthtally.standins.deployment import open_deployment
from tests.lifecycle.model_support import (
    AT_PIPELINE,
    DEADLINE_MS,
    FAST,
    NEW,
    OLD,
    SWITCH_KEY,
    TOKEN_TIME_S,
    TOKENS,
    by_model,
    callers,
    change,
    engine_records,
    engine_state,
    model_plan,
    registrations,
    rows,
    start_with_old,
    wait_models,
    wait_served,
)
from tests.lifecycle.support import log_lines
from tests.settings.helpers import propose, set_value, start_second_sidecar
from tests.support import parse_events, plan, run_async


def test_a_version_is_rolled_out_and_back_under_load():
    """
    Dispatchers get refusals or half answers while a new version comes, or some get
    the old version long after the switch. Engines give the old one up too early, or
    are asked for the new one before they have it.
    """

    async def scenario():
        async with open_deployment(model_plan(3), sidecar_overrides=FAST) as deployment:
            await start_with_old(deployment)
            async with callers(deployment) as load:
                for old, new in ((OLD, NEW), (NEW, OLD)):
                    await load.some_more()
                    await change(deployment, *registrations(deployment, old, new))
                    await wait_models(deployment, old, new)
                    await wait_served(deployment, old, new)
                    await change(deployment, set_value(SWITCH_KEY, new, AT_PIPELINE))
                    await load.some_more()
                    await load.some_more()
                    before = sum((await by_model(deployment)).values())
                    await change(deployment, *registrations(deployment, new))
                    await load.some_more()
                    await wait_models(deployment, new)
                    await load.some_more()
                    assert before < sum((await by_model(deployment)).values())
            assert [a for a in load.answers if a[0] != 200] == []
            assert sum((await by_model(deployment)).values()) >= len(load.answers)
            assert not [r for r in await engine_records(deployment) if "cut" in r]

    run_async(scenario())


def test_after_the_switch_only_the_new_version_answers():
    """
    A repair procedure of the old version goes out an hour after the switch. An entry
    or a sidecar still takes the old version for what the pipeline asks for.
    """

    async def scenario():
        async with open_deployment(model_plan(2), sidecar_overrides=FAST) as deployment:
            await start_with_old(deployment)
            await change(deployment, *registrations(deployment, OLD, NEW))
            await wait_models(deployment, OLD, NEW)
            await deployment.call("assessment", "claim", deadline_ms=DEADLINE_MS)
            assert set(await by_model(deployment)) == {OLD}
            await wait_served(deployment, NEW, OLD)
            old = (await by_model(deployment))[OLD]
            await change(deployment, set_value(SWITCH_KEY, NEW, AT_PIPELINE))
            for _ in range(4):
                answer = await deployment.call("assessment", "claim")
                assert answer.status == 200
            assert await by_model(deployment) == {OLD: old, NEW: 4}

    run_async(scenario())


def two_stage_plan():
    """Return the plan with a slow stage before the one that asks for a model."""
    small = model_plan(2)
    encoders = [p for p in plan().pools if p.name == "encoder"]
    slow = msgspec.structs.replace(encoders[0], servers=1, knobs={"service": 2.0})
    pipeline = {**small.settings[AT_PIPELINE], "stages": ["encode", "generate"]}
    pipeline["stage.encode.pool"] = "encoder"
    return msgspec.structs.replace(
        small, pools=[*small.pools, slow], settings={AT_PIPELINE: pipeline}
    )


def test_a_request_between_its_stages_ends_with_its_model():
    """
    An accepted request is refused two seconds later: while its first stage ran, a
    script switched the pipeline and took the old version off all engines, which gave
    it up at once, since no call of it ran.
    """

    async def scenario():
        async with open_deployment(
            two_stage_plan(), sidecar_overrides=FAST
        ) as deployment:
            pairs = deployment.pool("assessment")
            await change(deployment, *registrations(deployment, OLD, NEW))
            await wait_models(deployment, OLD, NEW)
            await change(deployment, set_value(SWITCH_KEY, OLD, AT_PIPELINE))
            (encoder,) = deployment.pool("encoder")
            early = asyncio.create_task(deployment.call("assessment", "claim"))
            url = f"http://127.0.0.1:{encoder.service.ports['port']}/_calls"
            while True:
                async with deployment.http.get(url) as found:
                    if await found.json():
                        break
            await change(deployment, set_value(SWITCH_KEY, NEW, AT_PIPELINE))
            await change(deployment, *registrations(deployment, NEW))
            answer = await early
            assert answer.status == 200, await answer.text()
            assert set(await by_model(deployment)) == {OLD}
            await wait_models(deployment, NEW, pairs=pairs)

    run_async(scenario())


def test_a_switch_to_what_is_not_loaded_is_refused():
    """
    Every request is refused until the weights have come: the pipeline was switched
    while the store still throttled the new version.
    """

    async def scenario():
        async with open_deployment(model_plan(2), sidecar_overrides=FAST) as deployment:
            await start_with_old(deployment)
            await wait_served(deployment, OLD)
            await deployment.set_knobs(deployment.platform, weight_rate=1000.0)
            await change(deployment, *registrations(deployment, OLD, NEW))
            switch = set_value(SWITCH_KEY, NEW, AT_PIPELINE)
            status, document = await propose(deployment, [switch])
            assert status == 422, document
            assert "amaranthtally endpoints" in str(document) or OLD in str(document)
            answer = await deployment.call("assessment", "claim")
            assert answer.status == 200

    run_async(scenario())


def test_a_pipeline_without_requests_is_switched_to_what_was_loaded():
    """Operators can't switch a pipeline that nobody calls: "not loaded" for ever."""

    async def scenario():
        async with open_deployment(model_plan(2), sidecar_overrides=FAST) as deployment:
            await start_with_old(deployment)
            await change(deployment, *registrations(deployment, OLD, NEW))
            await wait_models(deployment, OLD, NEW)
            await wait_served(deployment, OLD, NEW)
            await change(deployment, set_value(SWITCH_KEY, NEW, AT_PIPELINE))
            assert not await by_model(deployment)

    run_async(scenario())


def test_an_unload_waits_for_a_stream_that_runs():
    """
    A mechanic's procedure stops in the middle and starts anew in other words: the
    operators took the model off the engine that was writing it.
    """

    async def scenario():
        slow = model_plan(1, token_time=TOKEN_TIME_S, tokens=400)
        async with open_deployment(slow, sidecar_overrides=FAST) as deployment:
            (pair,) = deployment.pool("assessment")
            await start_with_old(deployment)
            await change(deployment, *registrations(deployment, OLD, NEW))
            await wait_models(deployment, OLD, NEW)
            stream = asyncio.create_task(
                deployment.call("assessment", "axle", stream=True, deadline_ms=60_000)
            )
            while not await by_model(deployment):
                await asyncio.sleep(0.02)
            await change(deployment, set_value(SWITCH_KEY, NEW, AT_PIPELINE))
            await change(deployment, *registrations(deployment, NEW))
            events = parse_events(await (await stream).text())
            assert events[-1][0] == "done", events[-1]
            await wait_models(deployment, NEW)
            records = await deployment.records(pair.service)
            assert not [r for r in records if "cut" in r]
            assert len([r for r in records if "request_id" in r]) == 1

    run_async(scenario())


def test_a_late_unload_of_a_former_holder_is_made_good():
    """
    Requests fail for good after an engine ignored numbers and obeyed an unload that
    a paused sidecar had begun an hour ago. The sidecar still says that the model is
    there; the engine says 404.
    """

    async def scenario():
        async with open_deployment(
            model_plan(2, fencing=False), sidecar_overrides=FAST
        ) as deployment:
            await start_with_old(deployment)
            await wait_served(deployment, OLD)
            first, _ = deployment.pool("assessment")
            late = {"fencing": 0, "action": "unload", "model": "assessment-7b"}
            late["version"] = "1"
            async with deployment.http.post(
                first.service_url + "/v1/orders", json=late
            ) as response:
                assert response.status == 200
            assert (await engine_state(deployment, first))["models"] == []
            async with callers(deployment) as load:
                await wait_models(deployment, OLD)
                await load.some_more()
            assert [a for a in load.answers if a[0] != 200] == []

    run_async(scenario())


def test_a_former_holder_with_old_settings_orders_nothing():
    """
    The new version vanishes from an engine minutes after its roll-out. A sidecar was
    paused before the change and replaced; it wakes with the old settings, takes the
    lease like anyone, and brings the engine back to what they say.
    """

    async def scenario():
        async with open_deployment(model_plan(1), sidecar_overrides=FAST) as deployment:
            (pair,) = deployment.pool("assessment")
            await start_with_old(deployment)
            old = pair.sidecar
            old.send(signal.SIGSTOP)
            await start_second_sidecar(deployment, pair)
            await change(deployment, *registrations(deployment, OLD, NEW))
            await deployment.call("assessment", "claim", deadline_ms=DEADLINE_MS)
            await wait_models(deployment, OLD, NEW)
            await change(deployment, set_value(SWITCH_KEY, NEW, AT_PIPELINE))
            await change(deployment, *registrations(deployment, NEW))
            await wait_models(deployment, NEW)
            # What the old one wants is not there: it will try to load it.
            old.send(signal.SIGCONT)
            while not any("waiting for the newer" in line for line in old.lines):
                assert (await engine_state(deployment, pair))["models"] == [NEW]
                await asyncio.sleep(0.05)
            assert (await engine_state(deployment, pair))["models"] == [NEW]

    run_async(scenario())


def test_a_change_of_role_waits_for_running_calls():
    """
    Answers break off when an engine is told to do prefill only: the order reached it
    in the middle of them, and entries sent more.
    """

    async def scenario():
        slow = model_plan(2, token_time=TOKEN_TIME_S, tokens=TOKENS)
        async with open_deployment(slow, sidecar_overrides=FAST) as deployment:
            await start_with_old(deployment)
            first, second = deployment.pool("assessment")
            async with callers(deployment) as load:
                await load.some_more()
                await change(
                    deployment,
                    *registrations(deployment, OLD, pairs=[first], role="prefill"),
                )
                while (await engine_state(deployment, first))["role"] != "prefill":
                    await asyncio.sleep(0.05)
                await load.some_more()
                refused = await propose(
                    deployment,
                    registrations(deployment, OLD, pairs=[second], role="prefill"),
                )
                assert refused[0] == 422
                await change(deployment, *registrations(deployment, OLD, pairs=[first]))
                while (await engine_state(deployment, first))["role"] != "both":
                    await asyncio.sleep(0.05)
                await load.some_more()
            assert [a for a in load.answers if a[0] != 200] == []
            assert not [r for r in await engine_records(deployment) if "cut" in r]
            assert not log_lines(deployment.entries[0], "policy_failed")

    run_async(scenario())


def test_operators_see_what_is_wanted_and_what_is_there():
    """
    An operator switches a pipeline blindly: nothing shows which engines have loaded
    the version, nor why one has not.
    """

    async def scenario():
        async with open_deployment(model_plan(1), sidecar_overrides=FAST) as deployment:
            await start_with_old(deployment)
            await change(
                deployment, *registrations(deployment, OLD, NEW, model_slots=2)
            )
            await wait_models(deployment, OLD, NEW)
            await wait_served(deployment, OLD, NEW)
            (row,) = await rows(deployment)
            assert row["models"] == [OLD, NEW]
            assert row["served"] == sorted([OLD, NEW])
            assert row["role"] == row["engine_role"] == "both"
            assert row["last_order"] == f"load {NEW}: done"

    run_async(scenario())
