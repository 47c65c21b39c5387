"""Compares requests through an entry with direct calls of the endpoints, in one run.

    .venv/bin/python -m bench.path [--requests N] [--concurrency N]

Prints the added latency, the requests per entry core second, and resident memory.
"""

import argparse
import asyncio
import time
from dataclasses import dataclass
from pathlib import Path
from statistics import median, quantiles

import aiohttp
import msgspec

from amaranthtally.standins.deployment import (
    Deployment,
    DeploymentPlan,
    Pool,
    load_plan,
    open_deployment,
)
from bench.process_cost import cpu_seconds, memory_mb

PLAN = Path(__file__).parent.parent / "examples" / "agrosalv.toml"
PIPELINE = "assessment"
STAGES = 4
STAGE_POOLS = ("encoder", "parts-catalogue", "reranker", "assessment")
QUESTION = "The header lifts but will not lower."
MS = 1000.0
IN_FLIGHT_REQUESTS = 1000
ENDPOINT_DELAY_S = 30.0
SETTLE_S = 4.0


@dataclass(frozen=True, slots=True)
class Latency:
    """Quantiles of the times of single calls, in milliseconds."""

    p50: float
    p99: float


async def main() -> None:
    arguments = parse_arguments()
    plan = fast_plan(load_plan(PLAN), arguments.tokens)
    sidecar_overrides = {"concurrency": 2000, "queue_capacity": 4000}
    async with open_deployment(
        plan, servers=arguments.servers, sidecar_overrides=sidecar_overrides
    ) as deployment:
        report_idle(deployment)
        await measure_latency(deployment, arguments.requests)
        await measure_throughput(deployment, arguments)
        await measure_memory_in_flight(deployment)


def parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser()
    parser.add_argument("--requests", type=int, default=500)
    parser.add_argument("--load-requests", type=int, default=6000)
    parser.add_argument("--concurrency", type=int, default=32)
    parser.add_argument("--servers", type=int, default=2)
    parser.add_argument("--tokens", type=int, default=4)
    return parser.parse_args()


def fast_plan(plan: DeploymentPlan, tokens: int) -> DeploymentPlan:
    """Return the plan with only this pipeline, and endpoints without delays."""
    pools = [
        Pool(p.name, p.kind, p.servers, knobs={"tokens": tokens})
        for p in plan.pools
        if p.name in STAGE_POOLS
    ]
    settings = {f"pipeline:{PIPELINE}": plan.settings[f"pipeline:{PIPELINE}"]}
    return msgspec.structs.replace(plan, pools=pools, settings=settings)


# Latency


async def measure_latency(deployment: Deployment, requests: int) -> None:
    direct, routed = [], []
    for number in range(requests + 50):
        question = f"{QUESTION} {number}"
        direct.append(await timed(call_directly(deployment, question)))
        routed.append(await timed(deployment.call(PIPELINE, question)))
    measured = slice(50, None)
    direct_ms, routed_ms = (
        summary(direct[measured]),
        summary(routed[measured]),
    )
    print(f"direct        p50 {direct_ms.p50:7.2f} ms   p99 {direct_ms.p99:7.2f} ms")
    print(f"through path  p50 {routed_ms.p50:7.2f} ms   p99 {routed_ms.p99:7.2f} ms")
    print(
        f"added a stage p50 {(routed_ms.p50 - direct_ms.p50) / STAGES:7.2f} ms   "
        f"p99 {(routed_ms.p99 - direct_ms.p99) / STAGES:7.2f} ms"
    )


async def call_directly(deployment: Deployment, question: str) -> None:
    encoded = await post(deployment, "encoder", "/v1/embeddings", {"input": question})
    search = {"query": question, "vector": msgspec.Raw(encoded)}
    results = await post(deployment, "parts-catalogue", "/v1/search", search)
    documents = msgspec.json.decode(results)["documents"]
    rerank = {"query": question, "documents": documents}
    reranked = await post(deployment, "reranker", "/v1/rerank", rerank)
    prompt = "\n".join([question, *msgspec.json.decode(reranked)["documents"]])
    body = {"prompt": prompt, "stream": True}
    await post(deployment, "assessment", "/v1/completions", body)


async def post(deployment: Deployment, pool: str, path: str, body: object) -> bytes:
    url = deployment.pool(pool)[0].service_url + path
    async with deployment.http.post(url, data=msgspec.json.encode(body)) as response:
        return await response.read()


async def timed(operation) -> float:
    start = time.perf_counter()
    await operation
    return (time.perf_counter() - start) * MS


def summary(times: list[float]) -> Latency:
    return Latency(median(times), quantiles(times, n=100)[98])


# Throughput


async def measure_throughput(
    deployment: Deployment, arguments: argparse.Namespace
) -> None:
    numbers = iter(range(arguments.load_requests))
    statuses: dict[int, int] = {}

    async def client(session: aiohttp.ClientSession) -> None:
        url = f"{deployment.entry_url()}/v1/pipelines/{PIPELINE}/requests"
        key = deployment.plan.accounts[0].key
        for number in numbers:
            body = msgspec.json.encode({"input": f"{QUESTION} {number}"})
            async with session.post(
                url, data=body, headers={"Authorization": f"Bearer {key}"}
            ) as response:
                await response.read()
                statuses[response.status] = statuses.get(response.status, 0) + 1

    entry = deployment.entries[0]
    sidecars = [pair.sidecar for pair in deployment.endpoints.values()]
    entry_s = cpu_seconds(entry.pid)
    sidecars_s = sum(cpu_seconds(s.pid) for s in sidecars)
    start = time.perf_counter()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.gather(*[client(session) for _ in range(arguments.concurrency)])
    elapsed = time.perf_counter() - start
    entry_s = cpu_seconds(entry.pid) - entry_s
    sidecars_s = sum(cpu_seconds(s.pid) for s in sidecars) - sidecars_s
    requests = arguments.load_requests
    print(f"load          {requests} four-stage requests, statuses {statuses}")
    print(f"              {requests / elapsed:7.0f} requests/s")
    print(f"              {requests / entry_s:7.0f} requests per entry core second")
    print(
        f"              {sidecars_s / requests / STAGES * MS:7.2f} sidecar ms a stage"
    )


# Memory


def report_idle(deployment: Deployment) -> None:
    sidecar = next(iter(deployment.endpoints.values())).sidecar
    print(f"idle          entry {memory_mb(deployment.entries[0].pid):6.1f} MB")
    print(f"              sidecar {memory_mb(sidecar.pid):6.1f} MB")


async def measure_memory_in_flight(deployment: Deployment) -> None:
    encoders = deployment.pool("encoder")
    for pair in encoders:
        await deployment.set_knobs(pair.service, slow=ENDPOINT_DELAY_S)
    entry, sidecar = deployment.entries[0], encoders[0].sidecar
    before = memory_mb(entry.pid), memory_mb(sidecar.pid)
    calls = [
        asyncio.create_task(
            deployment.call(PIPELINE, QUESTION, deadline_ms=int(ENDPOINT_DELAY_S * MS))
        )
        for _ in range(IN_FLIGHT_REQUESTS)
    ]
    await asyncio.sleep(SETTLE_S)
    after = memory_mb(entry.pid), memory_mb(sidecar.pid)
    active = sum(not call.done() for call in calls)
    share = active / len(encoders)
    print(f"in flight     {active} requests")
    print(
        f"              entry +{(after[0] - before[0]) / active * 1000:6.1f} MB/1,000"
    )
    print(
        f"              sidecar +{(after[1] - before[1]) / share * 1000:4.1f} MB/1,000"
    )
    for call in calls:
        call.cancel()
    await asyncio.gather(*calls, return_exceptions=True)


if __name__ == "__main__":
    asyncio.run(main())
