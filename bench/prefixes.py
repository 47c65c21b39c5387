"""
Measures how many prompt blocks the engines' caches serve, by ``prefix_blocks``.

Run ``.venv/bin/python -m bench.prefixes``. Threads of messages grow post by post and
are sent through randomly chosen entries; all daemons run as processes.
With ``prefix_blocks = 0``, entries do not route by prefix. Prints the processor time
and the size of replies that carry cache updates too.
"""

import argparse
import asyncio
from dataclasses import dataclass
from random import Random

import msgspec

from amaranthtally.standins.deployment import (
    Deployment,
    DeploymentPlan,
    Pool,
    load_plan,
    open_deployment,
)
from amaranthtally.wire import CacheUpdate, CallId, StageReply, Status
from amaranthtally.wire.codec import schema, write_reply
from bench.path import PLAN
from bench.process_cost import cpu_seconds

PIPELINE = "assessment"
POSTS = 6
POST_CHARS = 320
SETTLE_S = 1.0
SEED = 20261203
MS = 1000.0
BLOCKS_REPORTED = (0, 5, 64)


@dataclass(frozen=True)
class Figures:
    """Results of one run; times are milliseconds of a core per request.

    ``from_cache`` is the number of blocks served from caches, as a share of all prompt
    blocks; ``repeated`` is the same number as a share of the blocks sent before.
    """

    from_cache: float
    repeated: float
    entry_ms: float
    sidecar_ms: float


async def main() -> None:
    arguments = parse_arguments()
    print(
        "| prefix_blocks | from cache | of repeated | entry ms | engine sidecars ms |"
    )
    print("| --- | --- | --- | --- | --- |")
    for blocks in arguments.blocks:
        figures = await measure(arguments, blocks)
        print(
            f"| {blocks} | {figures.from_cache:.3f} | {figures.repeated:.3f} "
            f"| {figures.entry_ms:.2f} | {figures.sidecar_ms:.2f} |"
        )
    print("\n| blocks reported | bytes of a reply |\n| --- | --- |")
    for blocks in BLOCKS_REPORTED:
        print(f"| {blocks} | {reply_bytes(blocks)} |")


def parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--engines", type=int, default=6)
    parser.add_argument("--entries", type=int, default=2)
    parser.add_argument("--threads", type=int, default=40)
    parser.add_argument("--concurrency", type=int, default=4)
    parser.add_argument("--cache-blocks", type=int, default=256)
    parser.add_argument("--gap", type=int, default=50)
    parser.add_argument("--blocks", type=int, nargs="+", default=[0, 32, 0, 32])
    return parser.parse_args()


def one_region_plan(arguments: argparse.Namespace) -> DeploymentPlan:
    """Return the example plan with one region and engines that profit from caches."""
    plan = load_plan(PLAN)
    engines = {
        "tokens": 4,
        "block_time": 0.005,
        "cache_blocks": arguments.cache_blocks,
        "event_gap": arguments.gap,
    }
    settings = dict(plan.settings)
    stages = settings[f"pipeline:{PIPELINE}"]
    stage_pools = {stage["pool"] for stage in stages["stage"].values()}
    pools = [
        Pool(p.name, p.kind, arguments.engines, knobs=engines)
        if p.kind == "engine"
        else Pool(p.name, p.kind, 2)
        for p in plan.pools
        if p.name in stage_pools
    ]
    return msgspec.structs.replace(
        plan,
        regions=plan.regions[:1],
        pools=pools,
        settings={f"pipeline:{PIPELINE}": stages},
    )


async def measure(arguments: argparse.Namespace, blocks: int) -> Figures:
    """Send the threads through a new deployment; return the figures."""
    async with open_deployment(
        one_region_plan(arguments),
        entries=arguments.entries,
        entry_overrides={"prefix_blocks": blocks},
    ) as deployment:
        engines = [p for p in deployment.endpoints.values() if p.pool == PIPELINE]
        entry_s = sum(cpu_seconds(e.pid) for e in deployment.entries)
        sidecar_s = sum(cpu_seconds(p.sidecar.pid) for p in engines)
        await send_threads(deployment, arguments)
        requests = arguments.threads * POSTS
        entry_s = sum(cpu_seconds(e.pid) for e in deployment.entries) - entry_s
        sidecar_s = sum(cpu_seconds(p.sidecar.pid) for p in engines) - sidecar_s
        records = [r for p in engines for r in await deployment.records(p.service)]
        cached = sum(record["cached_blocks"] for record in records)
        return Figures(
            cached / sum(record["blocks"] for record in records),
            cached / repeated_blocks(arguments.threads),
            entry_s / requests * MS,
            sidecar_s / requests * MS,
        )


async def send_threads(deployment: Deployment, arguments: argparse.Namespace) -> None:
    """Send every thread post by post, concurrently, each time to a random entry."""
    random = Random(SEED)
    limiter = asyncio.Semaphore(arguments.concurrency)

    async def send(number: int, posts: int, entry: int) -> None:
        async with limiter:
            text = thread_text(number, posts)
            answer = await deployment.call(PIPELINE, text, entry=entry)
            if answer.status != 200:
                print(f"status {answer.status}")

    for posts in range(1, POSTS + 1):
        numbers = list(range(arguments.threads))
        random.shuffle(numbers)
        await asyncio.gather(
            *[send(n, posts, random.randrange(arguments.entries)) for n in numbers]
        )
        await asyncio.sleep(SETTLE_S)


def thread_text(number: int, posts: int) -> str:
    """Return a thread's text after ``posts`` posts."""
    random = Random(number)
    words = [f"thread {number}:"]
    text = ""
    while len(text) < posts * POST_CHARS:
        words.append(f"{random.randrange(10**6)}")
        text = " ".join(words)
    return text[: posts * POST_CHARS]


def repeated_blocks(threads: int) -> int:
    """Return how many complete blocks are sent that an earlier request contained."""
    return threads * sum(posts * POST_CHARS // 64 for posts in range(1, POSTS))


def reply_bytes(blocks: int) -> int:
    """Return the size of a reply that reports ``blocks`` blocks, before framing."""
    message = schema.StageReply.new_message()
    update = CacheUpdate(blocks, tuple(range(1 << 60, (1 << 60) + blocks)))
    call_id = CallId("0123456789abcdef", 3, 1)
    write_reply(message, StageReply(call_id, Status.FINISHED, b"{}", cache=update))
    return len(message.to_bytes())


if __name__ == "__main__":
    asyncio.run(main())
