"""Claims in the platform: their removal."""

import asyncio
import time
from contextlib import AsyncExitStack, asynccontextmanager
from random import Random

import msgspec
import pytest

from amaranthtally.daemon.entry.claim_sweep import ClaimSweeper
from amaranthtally.daemon.entry.claims import Claim, Claims, claim_path
from amaranthtally.daemon.entry.outage import LONG_OUTAGE_S, OutageWatch
from amaranthtally.platform import open_key_value
from amaranthtally.policy.at_most_once import Binding
from amaranthtally.standins.deployment import STANDINS
from amaranthtally.standins.process import start_process
from tests.support import run_async

DAY_S = 86_400.0
PATH = claim_path("harvest-cooperative", "dispatch-order", "order-1")
SHARD = int(PATH.split("/")[1], 16)
BINDINGS = [Binding("1.dispatch", "dispatch-1", 7, 1.0)]


@asynccontextmanager
async def open_platform(*knobs):
    """Yield a client of a platform stand-in; knobs are ``name=value``."""
    async with AsyncExitStack() as stack:
        process = await start_process("platform", STANDINS, "platform", "--set", *knobs)
        stack.push_async_callback(process.kill)
        url = f"http://127.0.0.1:{process.ports['port']}"
        yield await stack.enter_async_context(open_key_value(url, "test"))


def open_platform_at(client):
    """Open another process's client of the platform that ``client`` calls."""
    return open_key_value(client._url, "another")


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


@pytest.mark.parametrize("wrong_s", [-2 * DAY_S, 2 * DAY_S])
def test_an_entry_with_a_wrong_clock_removes_no_claim_early(wrong_s, monkeypatch):
    """
    An entry starts on a host whose clock is days ahead, or behind. It takes young
    claims for old ones, or stamps its own so that the others do; the caller repeats
    its key, nobody knows it any more, and a second truck is sent.
    """

    async def scenario():
        async with open_platform() as platform, open_platform_at(platform) as other:
            wall_clock = time.time
            with monkeypatch.context() as at_claim:
                at_claim.setattr(time, "time", lambda: wall_clock() + min(wrong_s, 0))
                claimed = await Claims(other).claim(PATH, "a", BINDINGS)
                assert claimed.ok_value.fresh
            with monkeypatch.context() as at_sweep:
                at_sweep.setattr(time, "time", lambda: wall_clock() + max(wrong_s, 0))
                sweeper = ClaimSweeper(platform, DAY_S, Random(1))
                assert await sweeper.sweep(SHARD) == 0
            again = await Claims(platform).claim(PATH, "a", BINDINGS)
            assert not again.ok_value.fresh

    run_async(scenario())


def test_a_repeat_finds_its_claim_in_a_slow_platform():
    """
    The platform takes most of a second for each call, for an hour. A repeat needs
    two calls, a refused write and a read: its caller hears unknown each time.
    """

    async def scenario():
        async with open_platform("slow=0.7") as platform:
            await put_claim(platform, 0.0)
            again = await Claims(platform).claim(PATH, "a", BINDINGS, LONG_OUTAGE_S)
            assert again.ok_value.claim.id == "first"

    run_async(scenario())


def test_only_a_short_outage_is_waited_out():
    """
    The platform is down for an hour: callers who each wait half of their deadline
    for nothing fill the entries, and all write at once as it comes back.
    """
    outage = OutageWatch()
    outage.failed(0.0)
    outage.failed(LONG_OUTAGE_S)
    assert not outage.is_long(LONG_OUTAGE_S)
    outage.failed(LONG_OUTAGE_S + 1)
    assert outage.is_long(LONG_OUTAGE_S + 1)
    outage.succeeded()
    assert not outage.is_long(LONG_OUTAGE_S + 2)
    later = 100 * LONG_OUTAGE_S
    outage.failed(later)
    assert not outage.is_long(later + 1)
