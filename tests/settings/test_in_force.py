"""Changes come into force in every process, and revisions never decrease."""

import asyncio
import signal
from contextlib import AsyncExitStack

from amaranthtally.standins.deployment import open_deployment
from tests.settings.helpers import (
    HEADERS,
    get_admin,
    open_relay,
    platform_call_counts,
    propose,
    restart_entry,
    restart_sidecar,
    revision_at,
    set_value,
    small_plan,
    wait_for_revision,
    wait_for_revision_everywhere,
)
from tests.support import run_async

# An entry that starts after 220 changes must not read them one at a time.
MAX_READS = 6


def test_idle_sidecars_receive_every_change():
    """
    Guards against sidecars that miss a change because they receive no calls, when
    only calls carry revisions. If entries restarted during a platform outage, such
    sidecars would give them outdated settings.
    """

    async def scenario():
        async with open_deployment(small_plan(), entries=2) as deployment:
            status, change = await propose(deployment, [set_value("limit.rate", 50)], 1)
            assert status == 200
            await wait_for_revision_everywhere(deployment, change["number"])

    run_async(scenario())


def test_entry_starts_during_a_platform_outage():
    """
    Guards against a new entry that starts during a platform outage and becomes ready
    without settings, which would refuse all requests, or with those of a lagging peer,
    which would revert a change. It must query all its peers first.
    """

    async def scenario():
        async with open_deployment(small_plan()) as deployment:
            paused = deployment.pool("encoder")[0]
            paused.sidecar.send(signal.SIGSTOP)
            _, change = await propose(deployment, [set_value("limit.share", 2)])
            running = [p for p in deployment.endpoints.values() if p is not paused]
            for pair in running:
                port = pair.sidecar.ports["http"]
                await wait_for_revision(deployment, port, change["number"])
            await deployment.set_knobs(deployment.platform, outage=True)
            peers = [pair.address for pair in deployment.endpoints.values()]
            entry = await deployment.start_entry(peers=peers)
            await deployment.wait_ready(1)
            assert await revision_at(deployment, entry.ports["port"]) == 2
            paused.sidecar.send(signal.SIGCONT)
            response = await deployment.call("assessment", "hello", entry=1)
            assert response.status == 200
            await wait_for_revision_everywhere(deployment, change["number"])

    run_async(scenario())


def test_entry_without_settings_is_not_ready():
    """
    Guards against an entry that reports ready while neither the platform nor a peer is
    reachable. The load balancer would send it requests, and each would fail with an
    unknown pipeline.
    """

    async def scenario():
        async with open_deployment(small_plan(), servers=1) as deployment:
            await deployment.set_knobs(deployment.platform, outage=True)
            await deployment.start_entry(peers=["127.0.0.1:9"])
            url = deployment.entry_url(1) + "/readyz"
            for _ in range(10):
                async with deployment.http.get(url) as response:
                    assert response.status == 503
                await asyncio.sleep(0.1)
            await deployment.set_knobs(deployment.platform, outage=False)
            await deployment.wait_ready(1)

    run_async(scenario())


def test_platform_outage_blocks_only_changes():
    """
    During a long platform outage, requests are still served, changes are refused with
    "nothing was written", and a sidecar that restarts gets its settings from peers.
    After the outage, changes are accepted again.
    """

    async def scenario():
        async with open_deployment(small_plan(), entries=2) as deployment:
            await wait_for_revision_everywhere(deployment, 1)
            await deployment.set_knobs(deployment.platform, outage=True)
            status, problem = await propose(deployment, [set_value("limit.rate", 50)])
            assert status == 503
            assert "nothing was written" in problem["detail"]
            pair = deployment.pool("assessment")[1]
            await restart_sidecar(deployment, pair)
            await wait_for_revision_everywhere(deployment, 1)
            response = await deployment.call("assessment", "hello", entry=1)
            assert response.status == 200
            assert (await get_admin(deployment, "status"))["platform"] == "lost"
            await deployment.set_knobs(deployment.platform, outage=False)
            status, change = await propose(deployment, [set_value("limit.rate", 50)])
            assert (status, change["number"]) == (200, 2)
            await wait_for_revision_everywhere(deployment, 2)

    run_async(scenario())


def test_slow_platform_delays_changes_but_loses_none():
    """
    Every call to the platform takes 1.5 s. Changes are acknowledged late, but every
    acknowledged change comes into force everywhere, once and in its acknowledged order.
    """

    async def scenario():
        async with open_deployment(small_plan(), entries=2) as deployment:
            await deployment.set_knobs(deployment.platform, slow=1.5)
            numbers = []
            for entry, rate in enumerate((50, 60)):
                ops = [set_value("limit.rate", rate)]
                status, change = await propose(deployment, ops, entry)
                assert status == 200
                numbers.append(change["number"])
            assert numbers == [2, 3]
            await wait_for_revision_everywhere(deployment, 3)
            settings = await get_admin(deployment, "settings", 0)
            assert set_value("limit.rate", 60) in settings["values"]

    run_async(scenario())


def test_lost_platform_responses_cause_no_duplicate_change():
    """
    Guards against duplicate changes when the platform applies a write but its response
    is lost. An operator who got an error would send the change again, so the entry
    reads the log to find out whose change was written.
    """

    async def scenario():
        async with open_deployment(small_plan(), servers=1) as deployment:
            await deployment.set_knobs(deployment.platform, lose_answers=2)
            status, change = await propose(deployment, [set_value("limit.rate", 50)])
            assert (status, change["number"]) == (200, 2)
            trail = await get_admin(deployment, "changes")
            assert [c["number"] for c in trail["changes"]] == [2, 1]

    run_async(scenario())


def test_simultaneous_restart_reaches_the_newest_revision():
    """
    Guards against stale settings after all processes have restarted at the same time
    without any state, as after a power failure: each must reach the newest change and
    not stop at the first settings that it reads.
    """

    async def scenario():
        async with open_deployment(small_plan(), entries=2) as deployment:
            for rate in range(1, 130):
                await propose(deployment, [set_value("limit.rate", rate)])
            restarts = [restart_entry(deployment, number) for number in range(2)]
            restarts += [
                restart_sidecar(deployment, pair)
                for pair in deployment.endpoints.values()
            ]
            await asyncio.gather(*restarts)
            for number in range(2):
                await deployment.wait_ready(number)
                port = deployment.entries[number].ports["port"]
                assert await revision_at(deployment, port) == 130
            await wait_for_revision_everywhere(deployment, 130)
            response = await deployment.call("assessment", "hello")
            assert response.status == 200

    run_async(scenario())


def test_restarted_entry_reads_the_snapshot_instead_of_the_log():
    """
    Guards against an entry that restarts after thousands of changes and reads the log
    change by change, or all of it at each change: this would exhaust the platform's
    read capacity for all other clients.
    """

    async def scenario():
        async with open_deployment(small_plan(), servers=1) as deployment:
            for rate in range(1, 220):
                await propose(deployment, [set_value("limit.rate", rate)])
            entry = await deployment.start_entry()
            await deployment.wait_ready(1)
            assert await revision_at(deployment, entry.ports["port"]) == 220
            calls = await platform_call_counts(deployment)
            assert calls["entry-2 read"] <= MAX_READS
            assert any("source=snapshot" in line for line in entry.lines)
            await propose(deployment, [set_value("limit.rate", 220)])
            await wait_for_revision_everywhere(deployment, 221)
            calls = await platform_call_counts(deployment)
            assert calls["entry-2 read"] <= MAX_READS
            assert 1 <= calls["entry-2 watch"] <= 3

    run_async(scenario())


def test_partitioned_groups_converge():
    """
    A network partition cuts a region off from the platform and all other regions, and
    an operator changes a limit outside. The isolated entry continues with its settings
    and accepts no changes. Once the links between hosts are restored, before those to
    the platform, it must reach the newest revision, and no process may revert to the
    older one.
    """

    async def scenario():
        async with AsyncExitStack() as stack:
            deployment = await stack.enter_async_context(open_deployment(small_plan()))
            relays = {}
            for pair in deployment.endpoints.values():
                relay = open_relay(pair.sidecar.ports["port"])
                relays[pair.id] = await stack.enter_async_context(relay)
            platform = await stack.enter_async_context(
                open_relay(deployment.platform.ports["port"])
            )
            await deployment.start_entry(
                platform_url=f"http://127.0.0.1:{platform.port}"
            )
            await deployment.wait_ready(1)
            tree = {
                f"endpoint.{pair.id}": {
                    **pair.registration(),
                    "address": f"127.0.0.1:{relays[pair.id].port}",
                }
                for pair in deployment.endpoints.values()
            }
            await deployment.apply({"firm": tree})
            await wait_for_revision_everywhere(deployment, 2)

            for relay in (platform, *relays.values()):
                relay.cut()
            status, _ = await propose(deployment, [set_value("limit.rate", 50)], 0)
            assert status == 200
            status, _ = await propose(deployment, [set_value("limit.rate", 9)], 1)
            assert status == 503
            isolated_port = deployment.entries[1].ports["port"]
            assert await revision_at(deployment, isolated_port) == 2

            for relay in relays.values():
                relay.restore()
            await wait_for_revision_everywhere(deployment, 3)
            settings = await get_admin(deployment, "settings", 1)
            assert set_value("limit.rate", 50) in settings["values"]
            platform.restore()
            ops = [set_value("limit.rate", 70)]
            async with asyncio.timeout(30):
                while (await propose(deployment, ops, 1))[0] != 200:
                    await asyncio.sleep(0.1)
            await wait_for_revision_everywhere(deployment, 4)

    run_async(scenario())


def test_request_completes_under_its_admission_revision():
    """
    Guards against a truncated response: while a request streams, an operator removes
    the stage from the pipeline and its endpoints from the deployment. The request was
    admitted with this stage and must complete with it; only later requests run
    without it.
    """

    async def scenario():
        slow = small_plan(token_time=0.1, tokens=12)
        async with open_deployment(slow, servers=1) as deployment:
            url = deployment.entry_url() + "/v1/pipelines/assessment/requests"
            key = deployment.plan.accounts[0].key
            live = await deployment.http.post(
                url,
                json={"input": "hello", "stream": True},
                headers={"Authorization": f"Bearer {key}"},
            )
            first = await live.content.readline()
            assert first == b"event: chunk\n"
            ops = [
                set_value("stages", ["encode"], "pipeline:assessment"),
                set_value("endpoint.assessment-1", None),
            ]
            status, change = await propose(deployment, ops)
            assert status == 200
            await deployment.wait_revision(change["number"])
            events = await live.text()
            assert "event: done" in events
            assert '"name":"generate"' in events
            response = await (await deployment.call("assessment", "hello")).json()
            assert [stage["name"] for stage in response["stages"]] == ["encode"]

    run_async(scenario())


def test_conflicting_operators_are_told_the_winning_change():
    """
    Two operators set the same key through two entries, based on the same revision. If
    both got a success response, one would assume a value that is not in force. A third
    operator, who sets another key, must not be refused.
    """

    async def scenario():
        async with open_deployment(small_plan(), entries=2, servers=1) as deployment:
            sent = [
                propose(
                    deployment,
                    [set_value("limit.rate", rate)],
                    entry,
                    who=f"op-{entry}",
                    revision=1,
                )
                for entry, rate in enumerate((50, 60))
            ]
            other_key = [set_value("limit.share", 2)]
            sent.append(propose(deployment, other_key, 0, revision=1))
            first, second, third = await asyncio.gather(*sent)
            assert sorted((first[0], second[0])) == [200, 409]
            assert third[0] == 200
            winner, loser = (first, second) if first[0] == 200 else (second, first)
            conflict = loser[1]
            assert conflict["winner"] == winner[1]
            assert conflict["difference"][0]["theirs"] == winner[1]["ops"][0]["value"]
            assert winner[1]["who"] in conflict["detail"]

    run_async(scenario())


def test_undo_is_a_new_change_and_never_reverts_a_later_one():
    async def scenario():
        async with open_deployment(small_plan(), servers=1) as deployment:
            await propose(deployment, [set_value("limit.rate", 50)])
            undo = deployment.admin_url() + "/admin/v1/changes/{}/undo"
            body = {"who": "test", "why": "too low"}

            async def send(number):
                async with deployment.http.post(
                    undo.format(number), json=body, headers=HEADERS
                ) as response:
                    return response.status, await response.json(content_type=None)

            status, change = await send(2)
            assert (status, change["number"]) == (200, 3)
            assert change["ops"][0]["value"] is None
            await propose(deployment, [set_value("limit.rate", 70)])
            status, problem = await send(2)
            assert status == 422
            assert "set it by hand" in problem["detail"]

    run_async(scenario())


def test_change_that_breaks_a_pipeline_is_refused_without_a_write():
    async def scenario():
        async with open_deployment(small_plan(), servers=1) as deployment:
            ops = [set_value("drain.host-encoder-1", True)]
            status, problem = await propose(deployment, ops)
            assert status == 422
            assert problem["mistakes"][0]["key"] == "stage.encode.pool"
            assert "undrain" in problem["detail"]
            assert (await get_admin(deployment, "status"))["revision"] == 1

    run_async(scenario())
