"""A planned stop cuts no request and no stream."""

import asyncio
import signal
from random import Random

import msgspec

from amaranthtally.standins.chaos.balancer import Balancer
from amaranthtally.standins.chaos.callers import Callers
from amaranthtally.standins.chaos.verdict import check_records
from amaranthtally.standins.chaos.world import World
from amaranthtally.standins.deployment import open_deployment
from tests.at_most_once.support import effects_deployment
from tests.lifecycle.support import log_lines
from tests.support import parse_events, plan, run_async

TOKENS = 8
LONG_TOKENS = 150
AT_ONCE = 8
ORDERS_AT_ONCE = 3


def quick_plan(tokens=TOKENS, token_time=0.004):
    """Return the plan with endpoints of one region that answer at once."""
    knobs = {"tokens": tokens, "token_time": token_time, "service": 0.002}
    pools = [msgspec.structs.replace(pool, knobs=knobs) for pool in plan().pools]
    return msgspec.structs.replace(plan(), pools=pools)


def test_a_rolling_restart_of_every_process_fails_no_request():
    """
    Callers see resets, cut streams and refusals each time a new version goes out.
    Every sidecar and every entry is stopped and started again, one after another,
    under load, behind a balancer that follows /readyz.
    """

    async def scenario():
        async with open_deployment(quick_plan(), entries=2, servers=2) as deployment:
            balancer = Balancer(deployment)
            world = World(deployment, balancer, Random(1))
            following = asyncio.create_task(balancer.run())
            callers = Callers(world, 1, TOKENS, kinds=("whole", "stream"))
            stopping = asyncio.create_task(restart_all(world))
            number = 0
            while not stopping.done():
                await callers.run_more(number, AT_ONCE, AT_ONCE)
                number += AT_ONCE
            await stopping
            following.cancel()
            assert world.violations == []
            assert number > AT_ONCE
            assert {name for name in world.counts if "refused" in name} == set()
            answered = world.counts["answered whole"]
            assert answered + world.counts["answered by stream"] == number

    run_async(scenario())


def test_a_rolling_restart_doubles_and_loses_no_effect():
    """
    Orders come in, and are repeated through other entries, while a new version goes
    out. A stop that forgets an order turns its repeats into unknown, and one that
    cuts it may double it; an order bound to a sidecar that then stops is not run.
    """

    async def scenario():
        async with effects_deployment() as deployment:
            balancer = Balancer(deployment)
            world = World(deployment, balancer, Random(1))
            following = asyncio.create_task(balancer.run())
            callers = Callers(world, 1, TOKENS, kinds=("effect",))
            stopping = asyncio.create_task(restart_all(world))
            number = 0
            while not stopping.done():
                await callers.run_more(number, ORDERS_AT_ONCE, ORDERS_AT_ONCE)
                number += ORDERS_AT_ONCE
            await stopping
            await callers.repeat_until_known(ORDERS_AT_ONCE)
            await check_records(world, callers)
            following.cancel()
            assert world.violations == []
            assert world.counts["effects recorded"] > ORDERS_AT_ONCE

    run_async(scenario())


async def restart_all(world):
    """Restart each process in turn, the sidecars of one pool after another."""
    for number in range(len(world.deployment.pool("dispatch"))):
        await asyncio.gather(
            *(
                world.stop_sidecar(world.deployment.pool(pool.name)[number])
                for pool in world.deployment.plan.pools
            )
        )
        for entry in world.deployment.entries:
            while is_out(entry):
                await asyncio.sleep(0.05)
    for number in range(len(world.deployment.entries)):
        await world.stop_entry(number)
        await world.balancer.wait_ready(number)


def is_out(entry):
    """Whether an entry sends some endpoint nothing, by its log."""
    return len(log_lines(entry, "endpoint_out")) > len(
        log_lines(entry, "endpoint_back")
    )


def test_a_long_stream_outlives_the_stop_of_its_entry_and_its_sidecar():
    """
    A long repair procedure breaks off as its entry, or the sidecar of its engine,
    is stopped for an update. New requests go elsewhere; this one has to finish.
    """

    async def scenario():
        long = quick_plan(tokens=LONG_TOKENS, token_time=0.02)
        async with open_deployment(long, entries=2, servers=1) as deployment:
            call = asyncio.create_task(
                deployment.call("assessment", "baler", stream=True, deadline_ms=20_000)
            )
            (engine,) = deployment.pool("assessment")
            while not await deployment.records(engine.service):
                await asyncio.sleep(0.05)
            entry, sidecar = deployment.entries[0], engine.sidecar
            entry.send(signal.SIGTERM)
            sidecar.send(signal.SIGTERM)
            last = await deployment.call("dispatch-order", {"to": "field"}, key="k")
            assert last.headers["Connection"] == "close"
            answer = await call
            events = parse_events(await answer.text())
            assert events[-1][0] == "done"
            # Chunks that are ready together share an event: words count, not events.
            text = "".join(data["text"] for kind, data in events if kind == "chunk")
            assert len(text.split()) == LONG_TOKENS
            assert events[-1][1]["output"]["text"] == text
            assert await entry.wait() == 0
            assert await sidecar.wait() == 0
            assert len(await deployment.records(engine.service)) == 1

    run_async(scenario())


def test_a_second_signal_ends_streams_with_an_explicit_error():
    """
    An operator cannot wait and signals twice. A stream that is cut looks like a
    whole answer; it has to end in an error that says the outcome is not known.
    """

    async def scenario():
        long = quick_plan(tokens=1500, token_time=0.02)
        async with open_deployment(long, servers=1) as deployment:
            call = asyncio.create_task(
                deployment.call("assessment", "baler", stream=True, deadline_ms=40_000)
            )
            (engine,) = deployment.pool("assessment")
            while not await deployment.records(engine.service):
                await asyncio.sleep(0.05)
            (entry,) = deployment.entries
            await asyncio.sleep(0.3)
            entry.send(signal.SIGTERM)
            await asyncio.sleep(0.3)
            entry.send(signal.SIGTERM)
            kind, data = parse_events(await (await call).text())[-1]
            assert kind == "error"
            assert data["outcome"] == "unknown"
            assert await entry.wait() == 0

    run_async(scenario())
