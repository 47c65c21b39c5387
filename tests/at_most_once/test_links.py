"""Links between entries and sidecars that break, stand still or lose bytes."""

import asyncio
import secrets
from contextlib import asynccontextmanager

import pytest

from amaranthtally.daemon.entry.outcome_queries import EXPIRY_MARGIN_S
from amaranthtally.standins.relay import LinkFault, open_relays
from amaranthtally.wire import connect_sidecar
from tests.at_most_once.support import (
    ORDER,
    PIPELINE,
    effects,
    effects_deployment,
    token,
    wait_for,
    wait_for_calls_in_all,
)
from tests.lifecycle.support import run_with_capnp
from tests.support import run_async

DEADLINE_MS = 4000
ORDERS = 4
LATE = "order-on-a-held-link"
LATE_MS = 3000


@asynccontextmanager
async def relayed_deployment(pools=("dispatch",), **options):
    """Open a deployment whose entries have met all sidecars, through relays."""
    async with (
        effects_deployment(**options) as deployment,
        open_relays(deployment, *pools) as relays,
    ):
        # Connected before the fault: the other way is a connection refused.
        for number in range(len(deployment.entries)):
            for _ in range(2 * len(relays)):
                await token(deployment, number)
        yield deployment, relays


async def told(deployment, key, entry=0, **body):
    """Send an order; return what its caller is told, ``answered`` or the outcome."""
    response = await deployment.call(PIPELINE, ORDER, entry=entry, key=key, **body)
    document = await response.json()
    return "answered" if response.status == 200 else document["outcome"]


async def answers_again(deployment, keys):
    """Repeat each key through each entry until it is answered; return the orders."""
    orders = {}
    for key in keys:
        for entry in range(len(deployment.entries)):

            async def answered(key=key, entry=entry):
                return await told(deployment, key, entry) == "answered"

            await wait_for(answered)
        response = await deployment.call(PIPELINE, ORDER, key=key)
        orders[key] = (await response.json())["output"]["order"]
    return orders


@pytest.mark.parametrize("fault", LinkFault)
def test_a_link_that_fails_in_the_middle_of_an_order(fault):
    """
    The switch between an entry and a sidecar fails while the truck is being
    ordered: its answer is lost, or the connection breaks, or nothing comes through
    for some time and then all of it. Whatever the callers were told in the
    meantime, afterwards each order has one truck and its repeats are told which.
    """

    async def scenario():
        async with relayed_deployment(servers=1) as (deployment, relays):
            for pair in deployment.pool("dispatch"):
                await deployment.set_knobs(pair.service, slow=0.5)
            keys = ["order-1", await token(deployment)]
            sent = [
                asyncio.create_task(told(deployment, key, deadline_ms=DEADLINE_MS))
                for key in keys
            ]
            await wait_for_calls_in_all(deployment, len(keys))
            for relay in relays.values():
                relay.fail(fault)
            first = await asyncio.gather(*sent)
            for relay in relays.values():
                relay.heal()
            assert "not_run" not in first
            orders = await answers_again(deployment, keys)
            assert len(set(orders.values())) == len(keys)
            assert len(await effects(deployment)) == len(keys)

    run_async(scenario())


def test_an_order_that_a_link_delivers_late_is_not_run():
    """
    A link stands still with an order on it. Its caller hears unknown, finds no truck
    in the service's list and phones for one. When the link goes on, the order
    arrives with seconds left by its own count: it must not send a second truck.
    """

    async def scenario():
        async with relayed_deployment(servers=1) as (deployment, relays):
            (pair,) = deployment.pool("dispatch")
            relay = relays[pair.id]
            relay.fail(LinkFault.HELD)
            assert await told(deployment, LATE, deadline_ms=LATE_MS) == "unknown"
            await wait_until_late(pair)
            relay.heal()
            await answers_again(deployment, ["order-2"])
            recorded = [record["key"] for record in await effects(deployment)]
            assert not any(LATE in key for key in recorded)
            await answers_again(deployment, [LATE])
            assert len(await effects(deployment)) == 2

    run_with_capnp(scenario())


async def wait_until_late(pair):
    """Return once no call that was sent before may start, by the sidecar's clock."""
    client = await connect_sidecar("127.0.0.1", pair.sidecar.ports["port"], 1.0)
    late_s = (await client.load()).clock_s + LATE_MS / 1000 + EXPIRY_MARGIN_S
    while (await client.load()).clock_s < late_s:
        await asyncio.sleep(0.05)
    client.close()


def test_a_region_that_is_lost_for_a_while_and_comes_back():
    """
    A region is cut off with the results of its orders, and its links swallow what
    is sent. An entry that preferred it goes on ordering trucks elsewhere; what is
    bound to the lost region is unknown, and answered once it is back. No order has
    two trucks.
    """

    async def scenario():
        both = ("roster", "dispatch")
        async with relayed_deployment(both, servers=3) as (deployment, relays):
            lost = deployment.plan.regions[1].name
            gone = [
                relay
                for name, relay in relays.items()
                if deployment.endpoints[name].region == lost
            ]
            before = await new_orders(deployment)
            orders = await answers_again(deployment, before)
            for relay in gone:
                relay.fail(LinkFault.HALF_OPEN)
            during = [f"order-{secrets.token_hex(4)}"]
            while await told(deployment, during[-1], 1) != "answered":
                during.append(f"order-{secrets.token_hex(4)}")
            assert len(during) > 1
            repeats = [await told(deployment, key) for key in before]
            assert set(repeats) == {"answered", "unknown"}
            for relay in gone:
                relay.heal()
            orders |= await answers_again(deployment, during)
            again = await answers_again(deployment, before)
            assert {key: orders[key] for key in before} == again
            recorded = [record["key"] for record in await effects(deployment)]
            assert len(recorded) == len(set(recorded)) == len(orders)

    run_async(scenario())


async def new_orders(deployment):
    """Return new keys of both kinds, tokens from each entry by turns."""
    tokens = [await token(deployment, n % 2) for n in range(ORDERS)]
    return [*tokens, *(f"order-{secrets.token_hex(4)}" for _ in range(ORDERS))]
