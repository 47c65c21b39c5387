"""Routing of prompts to the engines that cache their prefix, with real processes."""

import asyncio
import itertools
import re
from contextlib import asynccontextmanager

import msgspec

from amaranthtally.standins.deployment import Pool, open_deployment
from tests.support import plan, run_async

ENGINES = 6
THREADS = 8
BLOCK_CHARS = 64
BLOCKS = 10
MIN_CACHED_SHARE = 0.6
KNOWN_BLOCKS_METRIC = re.compile(
    r"^amaranthtally_prefix_blocks(?:{.*})? ([0-9.e+]+)$", re.MULTILINE
)
PIPELINE = "summary"
KNOBS = {"tokens": 2, "block_time": 0.01, "event_lag": 0.0}


def small_plan(engines):
    """Return a plan of one region and one stage with this number of engines."""
    return msgspec.structs.replace(
        plan(),
        regions=plan().regions[:1],
        pools=[Pool("engines", "engine", engines, knobs=KNOBS)],
        settings={
            f"pipeline:{PIPELINE}": {
                "stages": ["generate"],
                "deadline_ms": 30_000,
                "stage.generate.pool": "engines",
                "stage.generate.streams": True,
            }
        },
    )


@asynccontextmanager
async def engines_deployment(engines, **options):
    async with open_deployment(small_plan(engines), **options) as deployment:
        yield deployment


def thread(number):
    """Return a text of complete blocks that shares no prefix with other threads."""
    return (f"thread {number}: " + "crash at level " * 50)[: BLOCK_CHARS * BLOCKS]


async def send(deployment, text, **options):
    response = await deployment.call(PIPELINE, text, **options)
    assert response.status == 200


async def cached_blocks(deployment):
    """Return the number of blocks that the engines have served from their caches."""
    records = [
        record
        for pair in deployment.pool("engines")
        for record in await deployment.records(pair.service)
    ]
    return sum(record["cached_blocks"] for record in records)


async def known_blocks(deployment):
    """Return the number of cached blocks that the sidecars know of."""
    total = 0
    for pair in deployment.pool("engines"):
        url = f"http://127.0.0.1:{pair.sidecar.ports['http']}/metrics"
        async with deployment.http.get(url) as response:
            match = KNOWN_BLOCKS_METRIC.search(await response.text())
            total += int(float(match.group(1))) if match else 0
    return total


async def calls_by_engine(deployment):
    pairs = deployment.pool("engines")
    return [len(await deployment.records(pair.service)) for pair in pairs]


def test_a_growing_thread_returns_to_its_engine():
    """
    A discussion thread grows and is summarised anew after each post. If it was sent to
    any engine, the whole thread would be prefilled each time, and the summary be late.
    """
    run_async(grow_threads())


async def grow_threads():
    async with engines_deployment(ENGINES) as deployment:
        for number in range(THREADS):
            await send(deployment, thread(number))
        for post in range(3):
            for number in range(THREADS):
                await send(deployment, thread(number) + f" post {post}")
        repeated = 3 * THREADS * BLOCKS
        assert await cached_blocks(deployment) >= MIN_CACHED_SHARE * repeated


def test_another_entry_learns_which_engine_caches_a_thread():
    """
    A load balancer may send the later requests of a thread through another entry. That
    entry has run none of them and depends on the cache updates from the sidecars.
    """
    run_async(continue_at_another_entry())


async def continue_at_another_entry():
    async with engines_deployment(ENGINES, entries=2) as deployment:
        for number in range(THREADS):
            await send(deployment, thread(number), entry=0)
        while await known_blocks(deployment) < THREADS * BLOCKS:
            await asyncio.sleep(0.02)
        # Requests of other threads, whose replies carry the cache updates. Their runs
        # are as long as those that follow: after short ones, the first run of a thread
        # would make its engine appear slow.
        before = await calls_by_engine(deployment)
        others = itertools.count(THREADS)
        while any(
            count == old_count
            for count, old_count in zip(
                await calls_by_engine(deployment), before, strict=True
            )
        ):
            await send(deployment, thread(next(others)), entry=1)
        assert await cached_blocks(deployment) == 0
        for number in range(THREADS):
            await send(deployment, thread(number), entry=1)
        assert await cached_blocks(deployment) >= MIN_CACHED_SHARE * THREADS * BLOCKS


def test_no_account_uses_the_cached_text_of_another():
    """
    Two accounts send the same text to one engine. If the second used the cached text,
    the time to its first token would reveal that the first had sent it.
    """
    run_async(send_from_two_accounts())


async def send_from_two_accounts():
    async with engines_deployment(1) as deployment:
        await send(deployment, thread(0), account=0)
        await send(deployment, thread(0), account=1)
        assert await cached_blocks(deployment) == 0
        await send(deployment, thread(0), account=0)
        assert await cached_blocks(deployment) == BLOCKS


def test_requests_are_answered_after_the_engines_lost_their_caches():
    """
    The engines are killed and restart with empty caches at their old addresses. The
    entry still assumes that they cache the threads; each request must be answered.
    """
    run_async(restart_the_engines())


async def restart_the_engines():
    async with engines_deployment(2) as deployment:
        for number in range(THREADS):
            await send(deployment, thread(number))
        for pair in deployment.pool("engines"):
            port = pair.service.ports["port"]
            await pair.service.kill()
            pair.service = await deployment.start_standin_at(
                pair.id, "engine", port, KNOBS
            )
        for number in range(THREADS):
            await send(deployment, thread(number))
