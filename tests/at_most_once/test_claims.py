"""Claims in the platform's key-value store: creation, removal and outages."""

import asyncio
import time
from contextlib import AsyncExitStack, asynccontextmanager
from random import Random

import msgspec
import pytest

from amaranthtally.daemon.entry.claim_sweep import ClaimSweeper
from amaranthtally.daemon.entry.claims import Claim, ClaimStore, claim_path
from amaranthtally.daemon.entry.outage import LONG_OUTAGE_S, OutageDetector
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
    """Start a platform stand-in and yield a client; knobs are ``name=value``."""
    async with AsyncExitStack() as stack:
        process = await start_process("platform", STANDINS, "platform", "--set", *knobs)
        stack.push_async_callback(process.kill)
        url = f"http://127.0.0.1:{process.ports['port']}"
        yield await stack.enter_async_context(open_key_value(url, "test"))


def open_platform_at(client):
    """Open a second client of the platform that ``client`` uses."""
    return open_key_value(client._url, "another")


async def put_claim(platform, age):
    """Write a claim that is ``age`` seconds old and return its index."""
    claim = Claim("first", "a", BINDINGS, time.time() - age)
    written = await platform.compare_and_swap(PATH, msgspec.json.encode(claim), 0)
    assert written.ok_value
    return (await platform.get(PATH)).ok_value.index


def test_only_expired_claims_are_removed():
    """
    Guards against a platform that fills up with claims until it rejects changes of
    settings, and against the removal of claims whose calls may still be repeated.
    """

    async def scenario():
        async with open_platform() as platform:
            sweeper = ClaimSweeper(platform, DAY_S, Random(1))
            await put_claim(platform, DAY_S / 2)
            assert await sweeper.sweep(SHARD) == 0
            assert (await platform.get(PATH)).ok_value is not None
            short_ttl_sweeper = ClaimSweeper(platform, DAY_S / 4, Random(1))
            assert await short_ttl_sweeper.sweep(SHARD + 1) == 0
            assert await short_ttl_sweeper.sweep(SHARD) == 1
            assert (await platform.get(PATH)).ok_value is None

    run_async(scenario())


def test_a_late_removal_keeps_a_newer_claim():
    """
    Guards against a call that runs twice because its claim was removed. A sweep
    reads an old claim and stalls; another sweep removes it, and the key is claimed
    again. If the first sweep then removed the claim by name alone, a repeat of the new
    call could claim the key a second time.
    """

    async def scenario():
        async with open_platform() as platform:
            old_index = await put_claim(platform, 2 * DAY_S)
            assert await ClaimSweeper(platform, DAY_S, Random(1)).sweep(SHARD) == 1
            claimed = await ClaimStore(platform).claim(PATH, "b", BINDINGS)
            assert claimed.ok_value.is_new
            assert (await platform.delete(PATH, old_index)).ok_value is False
            repeats = await asyncio.gather(
                *(ClaimStore(platform).claim(PATH, "b", BINDINGS) for _ in range(3))
            )
            assert not [repeat for repeat in repeats if repeat.ok_value.is_new]

    run_async(scenario())


@pytest.mark.parametrize("clock_error_s", [-2 * DAY_S, 2 * DAY_S])
def test_an_entry_with_a_wrong_clock_removes_no_claim_early(clock_error_s, monkeypatch):
    """
    Guards against early removal of a claim by an entry whose clock is days ahead, or
    of a claim stamped by an entry whose clock is days behind. A repeat of the key
    would run the call a second time.
    """

    async def scenario():
        async with (
            open_platform() as platform,
            open_platform_at(platform) as second_client,
        ):
            wall_clock = time.time
            with monkeypatch.context() as at_claim:
                at_claim.setattr(
                    time, "time", lambda: wall_clock() + min(clock_error_s, 0)
                )
                claimed = await ClaimStore(second_client).claim(PATH, "a", BINDINGS)
                assert claimed.ok_value.is_new
            with monkeypatch.context() as at_sweep:
                at_sweep.setattr(
                    time, "time", lambda: wall_clock() + max(clock_error_s, 0)
                )
                sweeper = ClaimSweeper(platform, DAY_S, Random(1))
                assert await sweeper.sweep(SHARD) == 0
            repeat = await ClaimStore(platform).claim(PATH, "a", BINDINGS)
            assert not repeat.ok_value.is_new

    run_async(scenario())


def test_a_repeat_finds_its_claim_in_a_slow_platform():
    """
    Guards against repeats that time out with the outcome unknown while the platform
    needs most of a second per request: a repeat needs two, a rejected write and a read.
    """

    async def scenario():
        async with open_platform("slow=0.7") as platform:
            await put_claim(platform, 0.0)
            repeat = await ClaimStore(platform).claim(
                PATH, "a", BINDINGS, LONG_OUTAGE_S
            )
            assert repeat.ok_value.claim.id == "first"

    run_async(scenario())


def test_only_a_short_outage_is_waited_out():
    """
    Guards against entries that fill up with waiting callers during a long outage of
    the platform and all write at once when it is back.
    """
    outage = OutageDetector()
    outage.note_failure(0.0)
    outage.note_failure(LONG_OUTAGE_S)
    assert not outage.is_long(LONG_OUTAGE_S)
    outage.note_failure(LONG_OUTAGE_S + 1)
    assert outage.is_long(LONG_OUTAGE_S + 1)
    outage.note_success()
    assert not outage.is_long(LONG_OUTAGE_S + 2)
    second_outage_at = 100 * LONG_OUTAGE_S
    outage.note_failure(second_outage_at)
    assert not outage.is_long(second_outage_at + 1)
