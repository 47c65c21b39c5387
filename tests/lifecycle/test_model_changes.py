"""Changes of models, versions and roles under load interrupt no request."""

import asyncio
import signal

import msgspec

from amaranthtally.standins.deployment import open_deployment
from tests.lifecycle.model_support import (
    DEADLINE_MS,
    FAST_UNLOAD,
    NEW_MODEL,
    OLD_MODEL,
    PIPELINE_SCOPE,
    SWITCH_KEY,
    TOKEN_TIME_S,
    TOKENS,
    calls_by_model,
    commit_change,
    concurrent_callers,
    endpoint_rows,
    engine_records,
    engine_state,
    model_plan,
    registrations,
    start_with_old_model,
    wait_until_loaded,
    wait_until_served,
)
from tests.lifecycle.support import log_lines
from tests.settings.helpers import propose, set_value, start_second_sidecar
from tests.support import parse_events, plan, run_async


def test_a_version_is_rolled_out_and_back_under_load():
    """
    Callers would get refusals or partial responses during a roll-out, or the old
    version long after the switch, if engines unloaded the old version too early or got
    calls for the new one before they have loaded it.
    """

    async def scenario():
        async with open_deployment(
            model_plan(3), sidecar_overrides=FAST_UNLOAD
        ) as deployment:
            await start_with_old_model(deployment)
            async with concurrent_callers(deployment) as load:
                for old, new in ((OLD_MODEL, NEW_MODEL), (NEW_MODEL, OLD_MODEL)):
                    await load.wait_for_more()
                    await commit_change(
                        deployment, *registrations(deployment, old, new)
                    )
                    await wait_until_loaded(deployment, old, new)
                    await wait_until_served(deployment, old, new)
                    await commit_change(
                        deployment, set_value(SWITCH_KEY, new, PIPELINE_SCOPE)
                    )
                    await load.wait_for_more()
                    await load.wait_for_more()
                    before = sum((await calls_by_model(deployment)).values())
                    await commit_change(deployment, *registrations(deployment, new))
                    await load.wait_for_more()
                    await wait_until_loaded(deployment, new)
                    await load.wait_for_more()
                    assert before < sum((await calls_by_model(deployment)).values())
            assert [a for a in load.responses if a[0] != 200] == []
            assert sum((await calls_by_model(deployment)).values()) >= len(
                load.responses
            )
            assert not [r for r in await engine_records(deployment) if "cut" in r]

    run_async(scenario())


def test_after_the_switch_only_the_new_version_answers():
    """
    A caller would get a response of the old version long after the switch, if an entry
    or a sidecar still used the old version for the pipeline.
    """

    async def scenario():
        async with open_deployment(
            model_plan(2), sidecar_overrides=FAST_UNLOAD
        ) as deployment:
            await start_with_old_model(deployment)
            await commit_change(
                deployment, *registrations(deployment, OLD_MODEL, NEW_MODEL)
            )
            await wait_until_loaded(deployment, OLD_MODEL, NEW_MODEL)
            await deployment.call("assessment", "claim", deadline_ms=DEADLINE_MS)
            assert set(await calls_by_model(deployment)) == {OLD_MODEL}
            await wait_until_served(deployment, NEW_MODEL, OLD_MODEL)
            old = (await calls_by_model(deployment))[OLD_MODEL]
            await commit_change(
                deployment, set_value(SWITCH_KEY, NEW_MODEL, PIPELINE_SCOPE)
            )
            for _ in range(4):
                response = await deployment.call("assessment", "claim")
                assert response.status == 200
            assert await calls_by_model(deployment) == {OLD_MODEL: old, NEW_MODEL: 4}

    run_async(scenario())


def two_stage_plan():
    """Return the plan with a slow stage before the stage that uses a model."""
    base_plan = model_plan(2)
    encoders = [p for p in plan().pools if p.name == "encoder"]
    slow_pool = msgspec.structs.replace(encoders[0], servers=1, knobs={"service": 2.0})
    pipeline = {**base_plan.settings[PIPELINE_SCOPE], "stages": ["encode", "generate"]}
    pipeline["stage.encode.pool"] = "encoder"
    return msgspec.structs.replace(
        base_plan,
        pools=[*base_plan.pools, slow_pool],
        settings={PIPELINE_SCOPE: pipeline},
    )


def test_a_request_between_stages_completes_with_its_model():
    """
    An accepted request would be refused after two seconds: while its first stage runs,
    the pipeline is switched and the old version is removed from all engines. As no call
    of the old version is running, the engines would unload it at once.
    """

    async def scenario():
        async with open_deployment(
            two_stage_plan(), sidecar_overrides=FAST_UNLOAD
        ) as deployment:
            pairs = deployment.pool("assessment")
            await commit_change(
                deployment, *registrations(deployment, OLD_MODEL, NEW_MODEL)
            )
            await wait_until_loaded(deployment, OLD_MODEL, NEW_MODEL)
            await commit_change(
                deployment, set_value(SWITCH_KEY, OLD_MODEL, PIPELINE_SCOPE)
            )
            (encoder,) = deployment.pool("encoder")
            early_call = asyncio.create_task(deployment.call("assessment", "claim"))
            url = f"http://127.0.0.1:{encoder.service.ports['port']}/_calls"
            while True:
                async with deployment.http.get(url) as response:
                    if await response.json():
                        break
            await commit_change(
                deployment, set_value(SWITCH_KEY, NEW_MODEL, PIPELINE_SCOPE)
            )
            await commit_change(deployment, *registrations(deployment, NEW_MODEL))
            response = await early_call
            assert response.status == 200, await response.text()
            assert set(await calls_by_model(deployment)) == {OLD_MODEL}
            await wait_until_loaded(deployment, NEW_MODEL, pairs=pairs)

    run_async(scenario())


def test_a_switch_to_a_model_that_is_not_loaded_is_refused():
    """
    Every request would be refused until the weights are loaded, if a pipeline could be
    switched while the weight store still throttles the download of the new version.
    """

    async def scenario():
        async with open_deployment(
            model_plan(2), sidecar_overrides=FAST_UNLOAD
        ) as deployment:
            await start_with_old_model(deployment)
            await wait_until_served(deployment, OLD_MODEL)
            await deployment.set_knobs(deployment.platform, weight_rate=1000.0)
            await commit_change(
                deployment, *registrations(deployment, OLD_MODEL, NEW_MODEL)
            )
            switch = set_value(SWITCH_KEY, NEW_MODEL, PIPELINE_SCOPE)
            status, document = await propose(deployment, [switch])
            assert status == 422, document
            assert "amaranthtally endpoints" in str(document) or OLD_MODEL in str(
                document
            )
            response = await deployment.call("assessment", "claim")
            assert response.status == 200

    run_async(scenario())


def test_a_pipeline_without_requests_can_switch_to_a_loaded_model():
    """Operators could never switch an unused pipeline: refused as "not loaded"."""

    async def scenario():
        async with open_deployment(
            model_plan(2), sidecar_overrides=FAST_UNLOAD
        ) as deployment:
            await start_with_old_model(deployment)
            await commit_change(
                deployment, *registrations(deployment, OLD_MODEL, NEW_MODEL)
            )
            await wait_until_loaded(deployment, OLD_MODEL, NEW_MODEL)
            await wait_until_served(deployment, OLD_MODEL, NEW_MODEL)
            await commit_change(
                deployment, set_value(SWITCH_KEY, NEW_MODEL, PIPELINE_SCOPE)
            )
            assert not await calls_by_model(deployment)

    run_async(scenario())


def test_an_unload_waits_for_running_streams():
    """
    A stream would stop in the middle and start again with another text, if an engine
    unloaded a model while it generates a stream with it.
    """

    async def scenario():
        slow_plan = model_plan(1, token_time=TOKEN_TIME_S, tokens=400)
        async with open_deployment(
            slow_plan, sidecar_overrides=FAST_UNLOAD
        ) as deployment:
            (pair,) = deployment.pool("assessment")
            await start_with_old_model(deployment)
            await commit_change(
                deployment, *registrations(deployment, OLD_MODEL, NEW_MODEL)
            )
            await wait_until_loaded(deployment, OLD_MODEL, NEW_MODEL)
            stream = asyncio.create_task(
                deployment.call("assessment", "axle", stream=True, deadline_ms=60_000)
            )
            while not await calls_by_model(deployment):
                await asyncio.sleep(0.02)
            await commit_change(
                deployment, set_value(SWITCH_KEY, NEW_MODEL, PIPELINE_SCOPE)
            )
            await commit_change(deployment, *registrations(deployment, NEW_MODEL))
            events = parse_events(await (await stream).text())
            assert events[-1][0] == "done", events[-1]
            await wait_until_loaded(deployment, NEW_MODEL)
            records = await deployment.records(pair.service)
            assert not [r for r in records if "cut" in r]
            assert len([r for r in records if "request_id" in r]) == 1

    run_async(scenario())


def test_a_late_unload_by_a_former_lease_holder_is_corrected():
    """
    Requests would fail permanently after an engine that ignores fencing numbers has
    executed the late unload order of a sidecar that was paused. The current sidecar
    still reports the model as loaded, and the engine responds 404.
    """

    async def scenario():
        async with open_deployment(
            model_plan(2, fencing=False), sidecar_overrides=FAST_UNLOAD
        ) as deployment:
            await start_with_old_model(deployment)
            await wait_until_served(deployment, OLD_MODEL)
            first, _ = deployment.pool("assessment")
            late_order = {"fencing": 0, "action": "unload", "model": "assessment-7b"}
            late_order["version"] = "1"
            async with deployment.http.post(
                first.service_url + "/v1/orders", json=late_order
            ) as response:
                assert response.status == 200
            assert (await engine_state(deployment, first))["models"] == []
            async with concurrent_callers(deployment) as load:
                await wait_until_loaded(deployment, OLD_MODEL)
                await load.wait_for_more()
            assert [a for a in load.responses if a[0] != 200] == []

    run_async(scenario())


def test_a_former_lease_holder_with_old_settings_sends_no_order():
    """
    The new version would be removed from an engine minutes after its roll-out. A
    sidecar is paused before the change and replaced. It resumes with the old settings,
    acquires the lease, and would restore the models of the old settings.
    """

    async def scenario():
        async with open_deployment(
            model_plan(1), sidecar_overrides=FAST_UNLOAD
        ) as deployment:
            (pair,) = deployment.pool("assessment")
            await start_with_old_model(deployment)
            old = pair.sidecar
            old.send(signal.SIGSTOP)
            await start_second_sidecar(deployment, pair)
            await commit_change(
                deployment, *registrations(deployment, OLD_MODEL, NEW_MODEL)
            )
            await deployment.call("assessment", "claim", deadline_ms=DEADLINE_MS)
            await wait_until_loaded(deployment, OLD_MODEL, NEW_MODEL)
            await commit_change(
                deployment, set_value(SWITCH_KEY, NEW_MODEL, PIPELINE_SCOPE)
            )
            await commit_change(deployment, *registrations(deployment, NEW_MODEL))
            await wait_until_loaded(deployment, NEW_MODEL)
            # The model of its old settings is not loaded, so it tries to load it.
            old.send(signal.SIGCONT)
            while not any("waiting for the newer" in line for line in old.lines):
                assert (await engine_state(deployment, pair))["models"] == [NEW_MODEL]
                await asyncio.sleep(0.05)
            assert (await engine_state(deployment, pair))["models"] == [NEW_MODEL]

    run_async(scenario())


def test_a_change_of_role_waits_for_running_calls():
    """
    Responses would break off when an engine changes to prefill only, if the order
    reached it while calls run, or if entries sent it further calls.
    """

    async def scenario():
        slow_plan = model_plan(2, token_time=TOKEN_TIME_S, tokens=TOKENS)
        async with open_deployment(
            slow_plan, sidecar_overrides=FAST_UNLOAD
        ) as deployment:
            await start_with_old_model(deployment)
            first, second = deployment.pool("assessment")
            async with concurrent_callers(deployment) as load:
                await load.wait_for_more()
                await commit_change(
                    deployment,
                    *registrations(
                        deployment, OLD_MODEL, pairs=[first], role="prefill"
                    ),
                )
                while (await engine_state(deployment, first))["role"] != "prefill":
                    await asyncio.sleep(0.05)
                await load.wait_for_more()
                refusal = await propose(
                    deployment,
                    registrations(
                        deployment, OLD_MODEL, pairs=[second], role="prefill"
                    ),
                )
                assert refusal[0] == 422
                await commit_change(
                    deployment, *registrations(deployment, OLD_MODEL, pairs=[first])
                )
                while (await engine_state(deployment, first))["role"] != "both":
                    await asyncio.sleep(0.05)
                await load.wait_for_more()
            assert [a for a in load.responses if a[0] != 200] == []
            assert not [r for r in await engine_records(deployment) if "cut" in r]
            assert not log_lines(deployment.entries[0], "policy_failed")

    run_async(scenario())


def test_operators_see_registered_and_served_models():
    """
    An operator would not see which engines have loaded a version, or why one has not,
    before switching a pipeline to it.
    """

    async def scenario():
        async with open_deployment(
            model_plan(1), sidecar_overrides=FAST_UNLOAD
        ) as deployment:
            await start_with_old_model(deployment)
            await commit_change(
                deployment,
                *registrations(deployment, OLD_MODEL, NEW_MODEL, model_slots=2),
            )
            await wait_until_loaded(deployment, OLD_MODEL, NEW_MODEL)
            await wait_until_served(deployment, OLD_MODEL, NEW_MODEL)
            (row,) = await endpoint_rows(deployment)
            assert row["models"] == [OLD_MODEL, NEW_MODEL]
            assert row["served"] == sorted([OLD_MODEL, NEW_MODEL])
            assert row["role"] == row["engine_role"] == "both"
            assert row["last_order"] == f"load {NEW_MODEL}: done"

    run_async(scenario())
