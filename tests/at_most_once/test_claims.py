"""Claims in the platform: their removal."""

import asyncio
import time
from contextlib import AsyncExitStack, asynccontextmanager
from random import Random

import msgspec

from amaranthtally.daemon.entry.claim_sweep import ClaimSweeper
from amaranthtally.daemon.entry.claims import Claim, Claims, claim_path
from amaranthtally.platform import open_key_value
from amaranthtally.policy.once import Binding
from amaranthtally.standins.deployment import STANDINS
from amaranthtally.standins.process import start_process
from tests.support import run_async

DAY_S = 86_400.0
PATH = claim_path("harvest-cooperative", "dispatch-order", "order-1")
SHARD = int(PATH.split("/")[1], 16)
BINDINGS = [Binding("1.dispatch", "dispatch-1", 7, 1.0)]


@asynccontextmanager
async def open_platform():
    """Yield a client of a platform stand-in."""
    async with AsyncExitStack() as stack:
        process = await start_process("platform", STANDINS, "platform")
        stack.push_async_callback(process.kill)
        url = f"http://127.0.0.1:{process.ports['port']}"
        yield await stack.enter_async_context(open_key_value(url, "test"))


async def put_claim(platform, age):
    """Write a claim that is ``age`` seconds old; return its index."""
    claim = Claim("first", "a", BINDINGS, time.time() - age)
    written = await platform.compare_and_swap(PATH, msgspec.json.encode(claim), 0)
    assert written.ok_value
    return (await platform.get(PATH)).ok_value.index


def test_only_claims_over_their_age_are_removed():
    """
    After a month of orders the platform is full of claims, and changes of settings
    are refused. Old claims have to go, and none within which a caller may repeat.
    """

    async def scenario():
        async with open_platform() as platform:
            sweeper = ClaimSweeper(platform, DAY_S, Random(1))
            await put_claim(platform, DAY_S / 2)
            assert await sweeper.sweep(SHARD) == 0
            assert (await platform.get(PATH)).ok_value is not None
            soon = ClaimSweeper(platform, DAY_S / 4, Random(1))
            assert await soon.sweep(SHARD + 1) == 0
            assert await soon.sweep(SHARD) == 1
            assert (await platform.get(PATH)).ok_value is None

    run_async(scenario())


def test_a_late_removal_leaves_a_newer_claim_alone():
    """
    A sweep reads an old claim and stalls; another removes it, and the key is
    claimed anew. The first goes on: removing by name alone would let a repeat of
    the new order be claimed a second time and run twice.
    """

    async def scenario():
        async with open_platform() as platform:
            old = await put_claim(platform, 2 * DAY_S)
            assert await ClaimSweeper(platform, DAY_S, Random(1)).sweep(SHARD) == 1
            claimed = await Claims(platform).claim(PATH, "b", BINDINGS)
            assert claimed.ok_value.fresh
            assert (await platform.delete(PATH, old)).ok_value is False
            again = await asyncio.gather(
                *(Claims(platform).claim(PATH, "b", BINDINGS) for _ in range(3))
            )
            assert not [found for found in again if found.ok_value.fresh]

    run_async(scenario())
