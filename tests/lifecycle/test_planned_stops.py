"""Planned stops interrupt no request and no stream."""

import asyncio
import signal
from random import Random

import msgspec

from amaranthtally.standins.chaos.balancer import Balancer
from amaranthtally.standins.chaos.callers import Callers
from amaranthtally.standins.chaos.chaos_run import ChaosRun
from amaranthtally.standins.chaos.record_checks import check_records
from amaranthtally.standins.deployment import open_deployment
from tests.at_most_once.support import effects_deployment
from tests.lifecycle.support import log_lines
from tests.support import parse_events, plan, run_async

TOKENS = 8
LONG_TOKENS = 150
CONCURRENT_CALLS = 8
CONCURRENT_ORDERS = 3


def fast_plan(tokens=TOKENS, token_time=0.004):
    """Return the plan with fast endpoints."""
    knobs = {"tokens": tokens, "token_time": token_time, "service": 0.002}
    pools = [msgspec.structs.replace(pool, knobs=knobs) for pool in plan().pools]
    return msgspec.structs.replace(plan(), pools=pools)


def test_a_rolling_restart_of_every_process_fails_no_request():
    """
    Callers would see resets, broken streams and refusals at each update. Every sidecar
    and entry is restarted in turn under load, behind a load balancer that polls
    /readyz.
    """

    async def scenario():
        async with open_deployment(fast_plan(), entries=2, servers=2) as deployment:
            balancer = Balancer(deployment)
            run = ChaosRun(deployment, balancer, Random(1))
            polling = asyncio.create_task(balancer.run())
            callers = Callers(run, 1, TOKENS, kinds=("whole", "stream"))
            restarts = asyncio.create_task(restart_all(run))
            sent = 0
            while not restarts.done():
                await callers.run_more(sent, CONCURRENT_CALLS, CONCURRENT_CALLS)
                sent += CONCURRENT_CALLS
            await restarts
            polling.cancel()
            assert run.violations == []
            assert sent > CONCURRENT_CALLS
            assert {name for name in run.counts if "refused" in name} == set()
            whole_responses = run.counts["answered whole"]
            assert whole_responses + run.counts["answered by stream"] == sent

    run_async(scenario())


def test_a_rolling_restart_duplicates_and_loses_no_effect():
    """
    Orders are sent, and repeated through other entries, during an update. If a stop
    lost the record of an order, its repeats would get the outcome ``unknown``; if it
    interrupted an order, the order might run twice; and an order that is bound to a
    sidecar that then stops might never run.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            balancer = Balancer(deployment)
            run = ChaosRun(deployment, balancer, Random(1))
            polling = asyncio.create_task(balancer.run())
            callers = Callers(run, 1, TOKENS, kinds=("effect",))
            restarts = asyncio.create_task(restart_all(run))
            sent = 0
            while not restarts.done():
                await callers.run_more(sent, CONCURRENT_ORDERS, CONCURRENT_ORDERS)
                sent += CONCURRENT_ORDERS
            await restarts
            await callers.repeat_until_known(CONCURRENT_ORDERS)
            await check_records(run, callers)
            polling.cancel()
            assert run.violations == []
            assert run.counts["effects recorded"] > CONCURRENT_ORDERS

    run_async(scenario())


async def restart_all(run):
    """Restart all processes: in turn a sidecar of each pool, then each entry."""
    for number in range(len(run.deployment.pool("dispatch"))):
        await asyncio.gather(
            *(
                run.restart_sidecar(run.deployment.pool(pool.name)[number])
                for pool in run.deployment.plan.pools
            )
        )
        for entry in run.deployment.entries:
            while has_unavailable_endpoint(entry):
                await asyncio.sleep(0.05)
    for number in range(len(run.deployment.entries)):
        await run.restart_entry(number)
        await run.balancer.wait_ready(number)


def has_unavailable_endpoint(entry):
    """Whether an entry has unavailable endpoints, according to its log."""
    return len(log_lines(entry, "endpoint_out")) > len(
        log_lines(entry, "endpoint_back")
    )


def test_a_long_stream_completes_while_its_entry_and_sidecar_stop():
    """
    A long stream would break when its entry and the sidecar of its engine are stopped
    for an update. New requests go to other processes; the running one must complete.
    """

    async def scenario():
        slow_plan = fast_plan(tokens=LONG_TOKENS, token_time=0.02)
        async with open_deployment(slow_plan, entries=2, servers=1) as deployment:
            call = asyncio.create_task(
                deployment.call("assessment", "baler", stream=True, deadline_ms=20_000)
            )
            (engine,) = deployment.pool("assessment")
            while not await deployment.records(engine.service):
                await asyncio.sleep(0.05)
            entry, sidecar = deployment.entries[0], engine.sidecar
            entry.send(signal.SIGTERM)
            sidecar.send(signal.SIGTERM)
            late_response = await deployment.call(
                "dispatch-order", {"to": "field"}, key="k"
            )
            assert late_response.headers["Connection"] == "close"
            response = await call
            events = parse_events(await response.text())
            assert events[-1][0] == "done"
            # Count words, because several chunks may be sent in one event.
            text = "".join(data["text"] for kind, data in events if kind == "chunk")
            assert len(text.split()) == LONG_TOKENS
            assert events[-1][1]["output"]["text"] == text
            assert await entry.wait() == 0
            assert await sidecar.wait() == 0
            assert len(await deployment.records(engine.service)) == 1

    run_async(scenario())


def open_stream_at_a_stop(*signals, tokens, check):
    """Send signals to an entry with a stream open; check the stream's last event."""

    async def scenario():
        slow_plan = fast_plan(tokens=tokens, token_time=0.02)
        async with open_deployment(slow_plan, servers=1) as deployment:
            call = asyncio.create_task(
                deployment.call("assessment", "baler", stream=True, deadline_ms=40_000)
            )
            (engine,) = deployment.pool("assessment")
            while not await deployment.records(engine.service):
                await asyncio.sleep(0.05)
            (entry,) = deployment.entries
            for number in signals:
                await asyncio.sleep(0.3)
                entry.send(number)
            check(*parse_events(await (await call).text())[-1])
            assert await entry.wait() == 0

    run_async(scenario())


def test_a_forced_stop_ends_streams_with_an_explicit_error():
    """
    An operator sends SIGQUIT to end a stop at once. A stream that is merely cut looks
    like a complete response, so it must end in an error with the outcome ``unknown``.
    """

    def check(kind, data):
        assert kind == "error"
        assert data["outcome"] == "unknown"

    open_stream_at_a_stop(signal.SIGTERM, signal.SIGQUIT, tokens=1500, check=check)


def test_repeated_stop_signals_cut_no_stream():
    """Guards against a stream that ends as its entry is asked to stop once more."""
    signals = (signal.SIGTERM, signal.SIGTERM, signal.SIGINT, signal.SIGTERM)

    def check(kind, data):
        assert kind == "done"
        assert len(data["output"]["text"].split()) == LONG_TOKENS

    open_stream_at_a_stop(*signals, tokens=LONG_TOKENS, check=check)
