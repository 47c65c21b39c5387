"""Model orders reach an engine under a fencing number that only rises."""

import asyncio
import itertools
import signal

import aiohttp
import msgspec
import pytest

from amaranthtally.daemon.sidecar.engine_orders import (
    EngineOrders,
    LeaseExpiredError,
    LeaseGrant,
)
from amaranthtally.daemon.sidecar.model_reconciler import (
    RECONCILE_INTERVAL_S,
    ModelReconciler,
)
from amaranthtally.daemon.sidecar.served_models import ServedModels
from amaranthtally.policy.model_orders import Load
from amaranthtally.settings import SidecarSettings
from amaranthtally.standins.deployment import open_deployment
from tests.settings.helpers import start_second_sidecar
from tests.support import plan, run_async

MODEL = "assessment-7b"
SHORT_LEASE_S = 5.0


def engines_only(count):
    """Return the plan with so many engines and nothing else."""
    pools = [p for p in plan().pools if p.kind == "engine"]
    pools = [msgspec.structs.replace(pool, servers=count) for pool in pools]
    return msgspec.structs.replace(plan(), pools=pools, settings={})


async def want(deployment, pairs, *models):
    """Register the models of some endpoints, with their sidecars' addresses."""
    firm = {
        f"endpoint.{pair.id}": {**pair.registration(), "models": list(models)}
        for pair in pairs
    }
    await deployment.apply({"firm": firm})


async def orders(deployment, pair):
    """Return the fencing numbers and models of the orders that an engine took."""
    found = await deployment.records(pair.service)
    return [(r["fencing"], r["order"]) for r in found if "order" in r]


async def wait_orders(deployment, pair, count):
    """Return the orders of an engine once there are so many."""
    while len(found := await orders(deployment, pair)) < count:
        await asyncio.sleep(0.05)
    return found


async def platform_writes(deployment, caller):
    url = f"{deployment.platform_url}/_counts"
    async with deployment.http.get(url) as response:
        return (await response.json()).get(f"{caller} write", 0)


async def key_exists(deployment, key):
    async with deployment.http.get(f"{deployment.platform_url}/v1/kv/{key}") as found:
        return found.status == 200


@pytest.mark.parametrize("fencing", [True, False])
def test_a_paused_former_holder_gives_no_old_order(fencing):
    """
    An engine loads last week's model over today's and answers with it. Its sidecar
    took the lease, was paused before it gave the order, and was replaced; the new
    one gave its order; then the old one woke and gave its own, to an engine that
    ignores fencing numbers.
    """

    async def scenario():
        short = {"order_lease_ttl": SHORT_LEASE_S}
        async with open_deployment(
            engines_only(1), sidecar_overrides=short
        ) as deployment:
            (pair,) = deployment.endpoints.values()
            await deployment.set_knobs(pair.service, fencing=fencing)
            await deployment.set_knobs(deployment.platform, slow=1.0, lose_answers=2)
            await want(deployment, [pair], MODEL)
            while await platform_writes(deployment, pair.id) < 2:
                await asyncio.sleep(0.01)
            old = pair.sidecar
            old.send(signal.SIGSTOP)
            while not await key_exists(deployment, f"orders/{pair.id}"):
                await asyncio.sleep(0.05)
            await deployment.set_knobs(deployment.platform, slow=0.0, lose_answers=0)
            assert await orders(deployment, pair) == []
            await start_second_sidecar(deployment, pair)
            await want(deployment, [pair], MODEL)
            first = await wait_orders(deployment, pair, 1)
            assert first == [(2, MODEL)]
            old.send(signal.SIGCONT)
            await want(deployment, [pair], MODEL, "assessment-8b")
            await wait_orders(deployment, pair, 2)
            while not any("model_order_failed" in line for line in old.lines):
                await asyncio.sleep(0.05)
            numbers = [number for number, _ in await orders(deployment, pair)]
            assert numbers == sorted(set(numbers))
            assert 1 not in numbers

    run_async(scenario())


def test_an_order_is_not_sent_after_the_lease():
    """
    The same, at the last moment: the pause falls between the answer of the platform
    and the bytes of the order.
    """

    async def scenario():
        async with (
            open_deployment(engines_only(1)) as deployment,
            aiohttp.ClientSession() as session,
        ):
            (pair,) = deployment.endpoints.values()
            engine = EngineOrders(session, pair.service_url, clock=lambda: 100.0)
            with pytest.raises(LeaseExpiredError):
                await engine.send(Load("old"), LeaseGrant(1, valid_until=101.0))
            assert await orders(deployment, pair) == []
            await engine.send(Load("new"), LeaseGrant(2, valid_until=103.0))
            assert await orders(deployment, pair) == [(2, "new")]

    run_async(scenario())


def test_an_order_whose_answer_is_lost_is_not_given_twice():
    """
    An engine reloads a model of sixty gigabytes for nothing, and is slow meanwhile.
    It obeyed the order, the connection broke, and the sidecar gave it again.
    """

    async def scenario():
        async with open_deployment(engines_only(1)) as deployment:
            (pair,) = deployment.endpoints.values()
            await deployment.set_knobs(pair.service, lose_orders=1)
            await want(deployment, [pair], MODEL)
            assert await wait_orders(deployment, pair, 1) == [(1, MODEL)]
            await want(deployment, [pair], MODEL, "assessment-8b")
            found = await wait_orders(deployment, pair, 2)
            assert [model for _, model in found] == [MODEL, "assessment-8b"]

    run_async(scenario())


def test_pulls_stay_under_the_rate_of_the_weight_store():
    """
    A new model reaches all engines at once; the store throttles, and engines that
    come back together are refused together for minutes.
    """

    async def scenario():
        async with open_deployment(engines_only(6)) as deployment:
            pairs = list(deployment.endpoints.values())
            rate = 5 * 65_536.0
            await deployment.set_knobs(deployment.platform, weight_rate=rate)
            await want(deployment, pairs, MODEL)
            for pair in pairs:
                assert await wait_orders(deployment, pair, 1) == [(1, MODEL)]
            pulls = [r["at"] for r in await deployment.records(deployment.platform)]
            assert len(pulls) == len(pairs)
            gaps = [after - at for at, after in itertools.pairwise(pulls)]
            assert min(gaps) >= 65_536 / rate
            for pair in pairs:
                # A session, a number, the session's end: nothing is renewed.
                assert await platform_writes(deployment, pair.id) == 3

    run_async(scenario())


def test_an_engine_that_is_away_for_hours_is_asked_on():
    """
    An engine is down for half a day. When it is back, empty, nobody gives it its
    models: the wait between tries had doubled a thousand times, beyond what a
    number of seconds can hold, and the error ended the sidecar's orders for good.
    """

    async def scenario():
        settings = SidecarSettings(
            endpoint="engine-1",
            host="host-1",
            region="cluj",
            data_centre="cluj-1",
            wire_address="127.0.0.1:0",
            http_address="127.0.0.1:0",
            endpoint_url="http://127.0.0.1:9",
            endpoint_kind="engine",
        )
        async with aiohttp.ClientSession() as session:
            served = ServedModels(asyncio.get_running_loop().time)
            orders = ModelReconciler(settings, session, served, announce=None)
            for _ in range(2000):
                wait_s = await orders._reconcile()
            assert wait_s == RECONCILE_INTERVAL_S

    run_async(scenario())
