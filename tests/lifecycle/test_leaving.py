"""An endpoint that leaves gets no new calls, however the entry learns of it."""

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


async def send_requests(deployment, count=CALLS, entry=0):
    """Send concurrent requests, each of which must succeed."""
    calls = (deployment.call("assessment", f"claim {n}", entry) for n in range(count))
    for response in await asyncio.gather(*calls):
        assert response.status == 200, await response.text()


async def wait_logged(process, event, text):
    """Return once a process has logged an event whose line contains ``text``."""
    while not any(text in line for line in log_lines(process, event)):
        await asyncio.sleep(0.05)


async def call_count(deployment, pair):
    return len(await deployment.records(pair.service))


def test_a_drained_host_gets_no_calls_until_it_is_undrained():
    """
    Requests would fail when an operator switches off a drained host, if entries kept
    sending to it because its sidecar still reports that it takes calls.
    """

    async def scenario():
        async with open_deployment(plan(), servers=2) as deployment:
            drained_pair, available_pair = deployment.pool("assessment")
            change = await deployment.apply(
                {"firm": {f"drain.{drained_pair.host}": True}}
            )
            await deployment.wait_revision(change["number"])
            before = await call_count(deployment, drained_pair)
            await send_requests(deployment)
            assert await call_count(deployment, drained_pair) == before
            assert await call_count(deployment, available_pair) >= CALLS
            change = await deployment.apply(
                {"firm": {f"drain.{drained_pair.host}": False}}
            )
            await wait_logged(deployment.entries[0], "endpoint_back", drained_pair.id)
            # Drain the other host, so that this one must get all calls.
            change = await deployment.apply(
                {"firm": {f"drain.{available_pair.host}": True}}
            )
            await deployment.wait_revision(change["number"])
            await send_requests(deployment)
            assert await call_count(deployment, drained_pair) >= before + CALLS

    run_async(scenario())


def test_a_host_listed_as_leaving_gets_no_calls():
    """
    Requests would fail when the platform removes a host, if entries did not read the
    platform's list of leaving hosts, which names the host a minute before.
    """

    async def scenario():
        async with open_deployment(plan(), servers=2) as deployment:
            leaving_pair, _ = deployment.pool("assessment")
            url = f"{deployment.platform_url}/_hosts/{leaving_pair.host}/leaving"
            await (await deployment.http.put(url)).read()
            await wait_logged(deployment.entries[0], "endpoint_out", leaving_pair.id)
            before = await call_count(deployment, leaving_pair)
            await send_requests(deployment)
            assert await call_count(deployment, leaving_pair) == before

    run_async(scenario())


def test_a_leaving_sidecar_refuses_calls_of_an_unaware_entry():
    """
    Calls would reach a sidecar that is about to end: an entry without a connection to
    the platform, and without a recent load report, still sends calls to it.
    """

    async def scenario():
        slow_drain = {"drain_wait": 30.0}
        async with open_deployment(
            plan(), servers=1, sidecar_overrides=slow_drain
        ) as deployment:
            await send_requests(deployment, 1)
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
            response = await deployment.call("assessment", "claim")
            assert (await response.json())["outcome"] == "not_run"
            client.close()

    run_with_capnp(scenario())


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGSTOP])
def test_a_host_that_fails_without_notice_loses_no_response(signal_number):
    """
    A rack loses power, or a host hangs with open connections, without notice. Requests
    sent to it would wait until their deadline.
    """

    async def scenario():
        async with open_deployment(plan(), servers=2) as deployment:
            await send_requests(deployment)
            for name in ("encoder", "assessment"):
                pair = deployment.pool(name)[0]
                pair.sidecar.send(signal_number)
                pair.service.send(signal_number)
            for _ in range(4):
                await send_requests(deployment)

    run_async(scenario())


def test_a_restarted_sidecar_gets_calls_again():
    """
    Every request would be refused after a rolling restart, if entries kept the report
    that a sidecar is leaving and never polled its successor.
    """

    async def scenario():
        async with open_deployment(plan(), servers=1) as deployment:
            await send_requests(deployment)
            for pair in deployment.endpoints.values():
                old_sidecar = pair.sidecar
                assert await old_sidecar.stop() == 0
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
                lines = log_lines(deployment.entries[0], "endpoint_out")
                if any(f"endpoint={pair.id}" in line for line in lines):
                    await wait_logged(deployment.entries[0], "endpoint_back", pair.id)
            await send_requests(deployment)

    run_async(scenario())


class LeavingSidecar(FakeSidecar):
    """Refuses every call because it is leaving, without an earlier report."""

    async def run(self, call, on_chunk):
        from amaranthtally.wire import Load, StageReply

        self.calls.append(call)
        load = Load(incarnation=self.incarnation, leaving=True)
        return StageReply(call.id, Status.NOT_RUN, reason="leaving", load=load)


def test_refusals_of_leaving_sidecars_do_not_count_as_retries():
    """
    Requests would be refused during a rolling restart although one endpoint takes
    calls: each leaving sidecar refuses the call without running it, and these refusals
    must not count as failed attempts.
    """

    async def scenario():
        leaving = [LeavingSidecar(f"fake-{n}") for n in range(6)]
        available = FakeSidecar("fake-7")
        async with fake_deployment(*leaving, available) as deployment:
            response = await deployment.call("echo", "claim")
            assert response.status == 200, await response.text()
            for sidecar in leaving:
                assert len(sidecar.calls) <= 1

    run_with_capnp(scenario())
