"""An endpoint that leaves receives nothing new, by whichever word it leaves."""

import asyncio
import signal

import pytest

from amaranthtally.standins.deployment import open_deployment
from amaranthtally.wire import (
    CallId,
    StageCall,
    Status,
    connect_sidecar,
)
from tests.lifecycle.support import (
    FakeSidecar,
    fake_deployment,
    log_lines,
    run_with_capnp,
)
from tests.support import plan, run_async

CALLS = 12


async def answers(deployment, count=CALLS, entry=0):
    """Send requests at once; each must be answered whole."""
    sent = (deployment.call("assessment", f"claim {n}", entry) for n in range(count))
    for answer in await asyncio.gather(*sent):
        assert answer.status == 200, await answer.text()


async def wait_logged(process, event, text):
    """Return once a process has logged an event that holds ``text``."""
    while not any(text in line for line in log_lines(process, event)):
        await asyncio.sleep(0.05)


async def effects(deployment, pair):
    return len(await deployment.records(pair.service))


def test_a_drained_host_gets_nothing_until_it_is_undrained():
    """
    An operator drains a host and pulls its plug; requests die with it. Entries
    went on sending there: its sidecar still said that it takes work.
    """

    async def scenario():
        async with open_deployment(plan(), servers=2) as deployment:
            left, stays = deployment.pool("assessment")
            change = await deployment.apply({"firm": {f"drain.{left.host}": True}})
            await deployment.wait_revision(change["number"])
            before = await effects(deployment, left)
            await answers(deployment)
            assert await effects(deployment, left) == before
            assert await effects(deployment, stays) >= CALLS
            change = await deployment.apply({"firm": {f"drain.{left.host}": False}})
            await wait_logged(deployment.entries[0], "endpoint_back", left.id)
            # With nobody else to choose, it has to take them all.
            change = await deployment.apply({"firm": {f"drain.{stays.host}": True}})
            await deployment.wait_revision(change["number"])
            await answers(deployment)
            assert await effects(deployment, left) >= before + CALLS

    run_async(scenario())


def test_a_host_on_the_platforms_list_gets_nothing():
    """
    The platform takes a host away under a request. Its list said so for a minute;
    nobody read it.
    """

    async def scenario():
        async with open_deployment(plan(), servers=2) as deployment:
            left, _ = deployment.pool("assessment")
            url = f"{deployment.platform_url}/_hosts/{left.host}/leaving"
            await (await deployment.http.put(url)).read()
            await wait_logged(deployment.entries[0], "endpoint_out", left.id)
            before = await effects(deployment, left)
            await answers(deployment)
            assert await effects(deployment, left) == before

    run_async(scenario())


def test_a_leaving_sidecar_refuses_whatever_an_entry_believes():
    """
    Work reaches a sidecar that is about to end. An entry cut off from the platform
    and from news believes that the endpoint takes work.
    """

    async def scenario():
        slow = {"drain_wait": 30.0}
        async with open_deployment(
            plan(), servers=1, sidecar_overrides=slow
        ) as deployment:
            await answers(deployment, 1)
            (pair,) = deployment.pool("encoder")
            port = pair.sidecar.ports["port"]
            client = await connect_sidecar("127.0.0.1", port, 1.0)
            pair.sidecar.send(signal.SIGTERM)
            while not (await client.load()).leaving:
                await asyncio.sleep(0.01)
            call = StageCall(
                CallId("believer", 0, 1),
                "a",
                "encode",
                b'{"input":1,"previous":0}',
                1.0,
            )
            reply = await client.run(call, None)
            assert reply.status is Status.NOT_RUN
            assert reply.load.leaving
            await wait_logged(deployment.entries[0], "endpoint_out", pair.id)
            answer = await deployment.call("assessment", "claim")
            assert (await answer.json())["outcome"] == "not_run"
            client.close()

    run_with_capnp(scenario())


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
def test_a_host_that_goes_without_a_word_costs_no_answer(number):
    """
    A rack loses power, or a host hangs with its connections open. Nobody said that
    it leaves; requests sent there wait until their deadline.
    """

    async def scenario():
        async with open_deployment(plan(), servers=2) as deployment:
            await answers(deployment)
            for name in ("encoder", "assessment"):
                pair = deployment.pool(name)[0]
                pair.sidecar.send(number)
                pair.service.send(number)
            for _ in range(4):
                await answers(deployment)

    run_async(scenario())


def test_a_restarted_sidecar_gets_work_again():
    """
    After a rolling restart every request is refused. Entries remembered that each
    sidecar was leaving and never asked its successor.
    """

    async def scenario():
        async with open_deployment(plan(), servers=1) as deployment:
            await answers(deployment)
            for pair in deployment.endpoints.values():
                old = pair.sidecar
                assert await old.stop() == 0
                pair.sidecar = await deployment.start_daemon(
                    "sidecar", pair.id, pair.sidecar_file
                )
            registered = {
                f"endpoint.{p.id}": p.registration()
                for p in deployment.endpoints.values()
            }
            change = await deployment.apply({"firm": registered})
            await deployment.wait_revision(change["number"])
            for pair in deployment.endpoints.values():
                out = log_lines(deployment.entries[0], "endpoint_out")
                if any(f"endpoint={pair.id}" in line for line in out):
                    await wait_logged(deployment.entries[0], "endpoint_back", pair.id)
            await answers(deployment)

    run_async(scenario())


class LeavingSidecar(FakeSidecar):
    """Leaves without having told anyone."""

    async def run(self, call, on_chunk):
        from amaranthtally.wire import Load, StageReply

        self.calls.append(call)
        load = Load(incarnation=self.incarnation, leaving=True)
        return StageReply(call.id, Status.NOT_RUN, reason="leaving", load=load)


def test_refusals_of_leaving_sidecars_use_up_no_retries():
    """
    A rolling restart refuses requests though one endpoint takes work. Each sidecar
    that leaves refuses the stage before start, and every refusal was counted as a
    failed try.
    """

    async def scenario():
        leaving = [LeavingSidecar(f"fake-{n}") for n in range(6)]
        stays = FakeSidecar("fake-7")
        async with fake_deployment(*leaving, stays) as deployment:
            answer = await deployment.call("echo", "claim")
            assert answer.status == 200, await answer.text()
            for sidecar in leaving:
                assert len(sidecar.calls) <= 1

    run_with_capnp(scenario())
