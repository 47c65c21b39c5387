"""Model orders reach an engine with strictly increasing fencing numbers."""

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
    """Return the plan with ``count`` engines and no other servers."""
    pools = [p for p in plan().pools if p.kind == "engine"]
    pools = [msgspec.structs.replace(pool, servers=count) for pool in pools]
    return msgspec.structs.replace(plan(), pools=pools, settings={})


async def register_models(deployment, pairs, *models):
    """Register endpoints with models and with the addresses of their sidecars."""
    firm = {
        f"endpoint.{pair.id}": {**pair.registration(), "models": list(models)}
        for pair in pairs
    }
    await deployment.apply({"firm": firm})


async def accepted_orders(deployment, pair):
    """Return the fencing numbers and models of the orders that an engine accepted."""
    records = await deployment.records(pair.service)
    return [(r["fencing"], r["order"]) for r in records if "order" in r]


async def wait_for_orders(deployment, pair, count):
    """Return the orders of an engine once there are at least ``count``."""
    while len(records := await accepted_orders(deployment, pair)) < count:
        await asyncio.sleep(0.05)
    return records


async def platform_writes(deployment, caller):
    url = f"{deployment.platform_url}/_counts"
    async with deployment.http.get(url) as response:
        return (await response.json()).get(f"{caller} write", 0)


async def key_exists(deployment, key):
    async with deployment.http.get(
        f"{deployment.platform_url}/v1/kv/{key}"
    ) as response:
        return response.status == 200


@pytest.mark.parametrize("fencing", [True, False])
def test_a_paused_former_lease_holder_sends_no_stale_order(fencing):
    """
    An engine would replace its current model by an old one. A sidecar acquires the
    lease, is paused before it sends its order, and is replaced. The new sidecar sends
    its order; then the old one resumes and would send its own, also to an engine that
    ignores fencing numbers.
    """

    async def scenario():
        short_lease = {"order_lease_ttl": SHORT_LEASE_S}
        async with open_deployment(
            engines_only(1), sidecar_overrides=short_lease
        ) as deployment:
            (pair,) = deployment.endpoints.values()
            await deployment.set_knobs(pair.service, fencing=fencing)
            await deployment.set_knobs(deployment.platform, slow=1.0, lose_answers=2)
            await register_models(deployment, [pair], MODEL)
            while await platform_writes(deployment, pair.id) < 2:
                await asyncio.sleep(0.01)
            old_sidecar = pair.sidecar
            old_sidecar.send(signal.SIGSTOP)
            while not await key_exists(deployment, f"orders/{pair.id}"):
                await asyncio.sleep(0.05)
            await deployment.set_knobs(deployment.platform, slow=0.0, lose_answers=0)
            assert await accepted_orders(deployment, pair) == []
            await start_second_sidecar(deployment, pair)
            await register_models(deployment, [pair], MODEL)
            first = await wait_for_orders(deployment, pair, 1)
            assert first == [(2, MODEL)]
            old_sidecar.send(signal.SIGCONT)
            await register_models(deployment, [pair], MODEL, "assessment-8b")
            await wait_for_orders(deployment, pair, 2)
            while not any("model_order_failed" in line for line in old_sidecar.lines):
                await asyncio.sleep(0.05)
            numbers = [number for number, _ in await accepted_orders(deployment, pair)]
            assert numbers == sorted(set(numbers))
            assert 1 not in numbers

    run_async(scenario())


def test_an_order_is_not_sent_after_its_lease_expired():
    """
    The same failure, with the pause between the platform's response and the sending of
    the order.
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
            assert await accepted_orders(deployment, pair) == []
            await engine.send(Load("new"), LeaseGrant(2, valid_until=103.0))
            assert await accepted_orders(deployment, pair) == [(2, "new")]

    run_async(scenario())


def test_an_order_whose_response_is_lost_is_not_sent_twice():
    """
    An engine would load a model of 60 GB twice, and be slow meanwhile: it executes the
    order, the connection breaks, and the sidecar sends the order again.
    """

    async def scenario():
        async with open_deployment(engines_only(1)) as deployment:
            (pair,) = deployment.endpoints.values()
            await deployment.set_knobs(pair.service, lose_orders=1)
            await register_models(deployment, [pair], MODEL)
            assert await wait_for_orders(deployment, pair, 1) == [(1, MODEL)]
            await register_models(deployment, [pair], MODEL, "assessment-8b")
            records = await wait_for_orders(deployment, pair, 2)
            assert [model for _, model in records] == [MODEL, "assessment-8b"]

    run_async(scenario())


def test_downloads_stay_below_the_rate_of_the_weight_store():
    """
    All engines are ordered to load a new model at once. The weight store throttles
    them, and engines that retry together would be refused together for minutes.
    """

    async def scenario():
        async with open_deployment(engines_only(6)) as deployment:
            pairs = list(deployment.endpoints.values())
            rate = 5 * 65_536.0
            await deployment.set_knobs(deployment.platform, weight_rate=rate)
            await register_models(deployment, pairs, MODEL)
            for pair in pairs:
                assert await wait_for_orders(deployment, pair, 1) == [(1, MODEL)]
            download_times = [
                r["at"] for r in await deployment.records(deployment.platform)
            ]
            assert len(download_times) == len(pairs)
            gaps = [after - at for at, after in itertools.pairwise(download_times)]
            assert min(gaps) >= 65_536 / rate
            for pair in pairs:
                # Creates and ends a session and writes a fencing number; no renewals.
                assert await platform_writes(deployment, pair.id) == 3

    run_async(scenario())


def test_an_engine_that_is_down_for_hours_is_still_retried():
    """
    An engine that was down for half a day would not get its models again: the pause
    between retries doubled a thousand times, exceeded the range of a float, and the
    error ended the sidecar's reconciliation for good.
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
            reconciler = ModelReconciler(settings, session, served, announce=None)
            for _ in range(2000):
                pause_s = await reconciler._reconcile()
            assert pause_s == RECONCILE_INTERVAL_S

    run_async(scenario())
