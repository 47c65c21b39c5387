"""Measures the processor time per streamed token, and when callers receive tokens.

    .venv/bin/python -m bench.streams [--streams N] [--requests N] [--tokens N ...]

Callers stream the four-stage pipeline through one entry; an engine emits one token
every ``--token-time`` seconds. Prints the time to the first token and between tokens
as callers see them, and the processor time per token at the entry and at the engines'
sidecars. The latter is the slope between runs with different numbers of tokens.
"""

import argparse
import asyncio
import time
from dataclasses import dataclass, field
from itertools import pairwise
from statistics import median, quantiles

import aiohttp
import msgspec

from amaranthtally.standins.deployment import Deployment, load_plan, open_deployment
from bench.path import PIPELINE, PLAN, QUESTION, fast_plan
from bench.process_cost import cpu_seconds

MS = 1000.0
MICROS_PER_S = 1e6
DEADLINE_MS = 60_000
WARM_UP_REQUESTS = 40
ENGINE_POOL = "assessment"


@dataclass(slots=True)
class TokenTimes:
    """Seconds to the first token and between tokens, as callers see them."""

    first: list[float] = field(default_factory=list)
    between: list[float] = field(default_factory=list)
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class CpuTime:
    """Processor seconds of the entry and of the engines' sidecars."""

    entry: float
    sidecars: float


@dataclass(frozen=True, slots=True)
class RunResult:
    """The processor time of one run with ``tokens`` tokens per request."""

    tokens: int
    requests: int
    cpu: CpuTime


async def main() -> None:
    arguments = parse_arguments()
    plan = fast_plan(load_plan(PLAN), 4)
    sidecar_overrides = {"concurrency": 2000, "queue_capacity": 4000}
    async with open_deployment(
        plan, servers=arguments.servers, sidecar_overrides=sidecar_overrides
    ) as deployment:
        await stream_all(deployment, WARM_UP_REQUESTS, arguments.streams, 1.0)
        runs = []
        for tokens in arguments.tokens:
            for pair in deployment.pool(ENGINE_POOL):
                await deployment.set_knobs(
                    pair.service, tokens=tokens, token_time=arguments.token_time
                )
            runs.append(await measure(deployment, arguments, tokens))
        report_slopes(runs)


def parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser()
    parser.add_argument("--streams", type=int, default=60, help="concurrent streams")
    parser.add_argument("--requests", type=int, default=240)
    parser.add_argument("--tokens", type=int, nargs="+", default=[4, 36, 150])
    parser.add_argument("--token-time", type=float, default=0.034)
    parser.add_argument("--servers", type=int, default=2)
    return parser.parse_args()


async def measure(
    deployment: Deployment, arguments: argparse.Namespace, tokens: int
) -> RunResult:
    before = read_cpu_time(deployment)
    start = time.perf_counter()
    stream_s = tokens * arguments.token_time
    times = await stream_all(
        deployment, arguments.requests, arguments.streams, stream_s
    )
    elapsed = time.perf_counter() - start
    after = read_cpu_time(deployment)
    assert times.tokens == tokens * arguments.requests, times.tokens
    print(
        f"{tokens:4} tokens   {times.tokens / elapsed:6.0f} tokens/s   "
        f"first p50 {p50(times.first):6.1f} p95 {p95(times.first):6.1f} ms   "
        f"between p50 {p50(times.between):5.1f} p95 {p95(times.between):5.1f} ms"
    )
    cost = CpuTime(after.entry - before.entry, after.sidecars - before.sidecars)
    return RunResult(tokens, arguments.requests, cost)


def p50(times: list[float]) -> float:
    return median(times) * MS


def p95(times: list[float]) -> float:
    return quantiles(times, n=20)[18] * MS


def read_cpu_time(deployment: Deployment) -> CpuTime:
    sidecars = [pair.sidecar for pair in deployment.pool(ENGINE_POOL)]
    return CpuTime(
        cpu_seconds(deployment.entries[0].pid),
        sum(cpu_seconds(sidecar.pid) for sidecar in sidecars),
    )


def report_slopes(runs: list[RunResult]) -> None:
    for low, high in pairwise(runs):
        tokens = (high.tokens - low.tokens) * high.requests
        entry = (high.cpu.entry - low.cpu.entry) / tokens * MICROS_PER_S
        sidecar = (high.cpu.sidecars - low.cpu.sidecars) / tokens * MICROS_PER_S
        print(
            f"{low.tokens:4} to {high.tokens:3} tokens   "
            f"entry {entry:5.1f} us a token   sidecar {sidecar:5.1f} us a token"
        )


# Callers


async def stream_all(
    deployment: Deployment, requests: int, streams: int, stream_s: float
) -> TokenTimes:
    """
    Send requests, ``streams`` at a time, and check that each stream is complete.

    The callers' starts are spread over ``stream_s`` seconds, the length of a stream.
    """
    numbers = iter(range(requests))
    times = TokenTimes()

    async def caller(session: aiohttp.ClientSession, index: int) -> None:
        # Starting all callers at once would measure the entry under a burst instead.
        await asyncio.sleep(index / streams * stream_s)
        for number in numbers:
            await stream_one(session, deployment, number, times)

    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.gather(*[caller(session, n) for n in range(streams)])
    return times


async def stream_one(
    session: aiohttp.ClientSession,
    deployment: Deployment,
    number: int,
    times: TokenTimes,
) -> None:
    url = f"{deployment.entry_url()}/v1/pipelines/{PIPELINE}/requests"
    headers = {"Authorization": f"Bearer {deployment.plan.accounts[0].key}"}
    body = {
        "input": f"{QUESTION} {number}",
        "stream": True,
        "deadline_ms": DEADLINE_MS,
    }
    sent = time.perf_counter()
    last, ended = 0.0, False
    data = msgspec.json.encode(body)
    async with session.post(url, data=data, headers=headers) as response:
        async for line in response.content:
            now = time.perf_counter()
            ended = ended or line.startswith(b"event: done")
            if ended or not line.startswith(b"data: "):
                continue
            tokens = line.count(b" ", len(b"data: "))
            if last:
                times.between.append(now - last)
            else:
                times.first.append(now - sent)
            # Tokens in the same event arrive together.
            times.between.extend([0.0] * (tokens - 1))
            times.tokens += tokens
            last = now
    assert ended, "the stream ended without a done event"


if __name__ == "__main__":
    asyncio.run(main())
