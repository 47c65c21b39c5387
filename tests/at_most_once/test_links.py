"""Links between entries and sidecars that break, stall or lose data."""

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
    new_token,
    wait_for,
    wait_for_calls_in_all,
)
from tests.lifecycle.support import run_with_capnp
from tests.support import run_async

DEADLINE_MS = 4000
ORDERS = 4
STALLED_KEY = "order-on-a-held-link"
STALLED_DEADLINE_MS = 3000


@asynccontextmanager
async def relayed_deployment(pools=("dispatch",), **options):
    """Open a deployment whose entries are connected to all sidecars through relays."""
    async with (
        effects_deployment(**options) as deployment,
        open_relays(deployment, *pools) as relays,
    ):
        # Connect before the fault; afterwards connections would be refused.
        for number in range(len(deployment.entries)):
            for _ in range(2 * len(relays)):
                await new_token(deployment, number)
        yield deployment, relays


async def outcome_of(deployment, key, entry=0, **body):
    """Send an order; return ``answered`` or the reported outcome."""
    response = await deployment.call(PIPELINE, ORDER, entry=entry, key=key, **body)
    document = await response.json()
    return "answered" if response.status == 200 else document["outcome"]


async def repeat_until_answered(deployment, keys):
    """Repeat each key through each entry until it is answered; return the orders."""
    orders = {}
    for key in keys:
        for entry in range(len(deployment.entries)):

            async def answered(key=key, entry=entry):
                return await outcome_of(deployment, key, entry) == "answered"

            await wait_for(answered)
        response = await deployment.call(PIPELINE, ORDER, key=key)
        orders[key] = (await response.json())["output"]["order"]
    return orders


@pytest.mark.parametrize("fault", LinkFault)
def test_a_link_that_fails_in_the_middle_of_an_order(fault):
    """
    The link between an entry and a sidecar fails during a call: the reply is lost, the
    connection breaks, or the link stalls and delivers everything later. Whatever was
    reported meanwhile, each call must have exactly one effect afterwards, and its
    repeats must get that result.
    """

    async def scenario():
        async with relayed_deployment(servers=1) as (deployment, relays):
            for pair in deployment.pool("dispatch"):
                await deployment.set_knobs(pair.service, slow=0.5)
            keys = ["order-1", await new_token(deployment)]
            sent = [
                asyncio.create_task(
                    outcome_of(deployment, key, deadline_ms=DEADLINE_MS)
                )
                for key in keys
            ]
            await wait_for_calls_in_all(deployment, len(keys))
            for relay in relays.values():
                relay.fail(fault)
            first = await asyncio.gather(*sent)
            for relay in relays.values():
                relay.clear_fault()
            assert "not_run" not in first
            orders = await repeat_until_answered(deployment, keys)
            assert len(set(orders.values())) == len(keys)
            assert len(await effects(deployment)) == len(keys)

    run_async(scenario())


def test_an_order_that_a_link_delivers_late_is_not_run():
    """
    Guards against a call that runs long after its deadline. A link stalls with a call
    in flight. When it delivers the call, the remaining time in the message has not
    passed yet, but the sidecar must reject the call by its expiry time.
    """

    async def scenario():
        async with relayed_deployment(servers=1) as (deployment, relays):
            (pair,) = deployment.pool("dispatch")
            relay = relays[pair.id]
            relay.fail(LinkFault.HELD)
            assert (
                await outcome_of(
                    deployment, STALLED_KEY, deadline_ms=STALLED_DEADLINE_MS
                )
                == "unknown"
            )
            await wait_until_expired(pair)
            relay.clear_fault()
            await repeat_until_answered(deployment, ["order-2"])
            recorded = [record["key"] for record in await effects(deployment)]
            assert not any(STALLED_KEY in key for key in recorded)
            await repeat_until_answered(deployment, [STALLED_KEY])
            assert len(await effects(deployment)) == 2

    run_with_capnp(scenario())


async def wait_until_expired(pair):
    """Wait until calls sent before have expired by the sidecar's clock."""
    client = await connect_sidecar("127.0.0.1", pair.sidecar.ports["port"], 1.0)
    expired_s = (
        (await client.load()).clock_s + STALLED_DEADLINE_MS / 1000 + EXPIRY_MARGIN_S
    )
    while (await client.load()).clock_s < expired_s:
        await asyncio.sleep(0.05)
    client.close()


def test_a_region_that_is_lost_temporarily():
    """
    A region is cut off: its links discard all data. New calls must run in another
    region. Calls bound to the lost region have the outcome unknown and must get their
    results when the region is back. No call may have two effects.
    """

    async def scenario():
        both = ("roster", "dispatch")
        async with relayed_deployment(both, servers=3) as (deployment, relays):
            lost_region = deployment.plan.regions[1].name
            lost_relays = [
                relay
                for name, relay in relays.items()
                if deployment.endpoints[name].region == lost_region
            ]
            before = await new_keys(deployment)
            orders = await repeat_until_answered(deployment, before)
            for relay in lost_relays:
                relay.fail(LinkFault.HALF_OPEN)
            during = [f"order-{secrets.token_hex(4)}"]
            while await outcome_of(deployment, during[-1], 1) != "answered":
                during.append(f"order-{secrets.token_hex(4)}")
            assert len(during) > 1
            repeats = [await outcome_of(deployment, key) for key in before]
            assert set(repeats) == {"answered", "unknown"}
            for relay in lost_relays:
                relay.clear_fault()
            orders |= await repeat_until_answered(deployment, during)
            repeated = await repeat_until_answered(deployment, before)
            assert {key: orders[key] for key in before} == repeated
            recorded = [record["key"] for record in await effects(deployment)]
            assert len(recorded) == len(set(recorded)) == len(orders)

    run_async(scenario())


async def new_keys(deployment):
    """Return new tokens, issued by the entries in turn, and new keys."""
    tokens = [await new_token(deployment, n % 2) for n in range(ORDERS)]
    return [*tokens, *(f"order-{secrets.token_hex(4)}" for _ in range(ORDERS))]
