"""What each way to bind a call that may not be repeated costs, in one run.

    .venv/bin/python -m bench.at_most_once [--requests N] [--platform-ms N]

Prints the platform's writes and reads a call, the latency, and what is served
while the platform is down.
"""

import argparse
import asyncio
import sys
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from statistics import median, quantiles
from typing import Any

import msgspec

from amaranthtally.daemon.entry.bound import fingerprint_of
from amaranthtally.policy.at_most_once import CallLedger
from amaranthtally.standins.deployment import Deployment, load_plan, open_deployment
from amaranthtally.wire import AtMostOnceTerms

PLAN = Path(__file__).parent.parent / "examples" / "agrosalv.toml"
EFFECT = "dispatch-order"
PLAIN = "dispatch-plain"
POOLS = ("roster", "dispatch")
ORDER = {"to": "field 7"}
WARM = 20
MS = 1000.0
MICRO = 1_000_000
LEDGER_CALLS = 10_000

KeyMaker = Callable[[int], Coroutine[Any, Any, str]]


@dataclass(frozen=True, slots=True)
class Way:
    """A way to send an order; ``key`` makes the key of the n-th one."""

    name: str
    pipeline: str
    key: KeyMaker


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--requests", type=int, default=300)
    parser.add_argument("--platform-ms", type=float, default=3.0)
    arguments = parser.parse_args()
    async with open_deployment(small_plan(), entries=2) as deployment:
        await deployment.set_knobs(
            deployment.platform, service=arguments.platform_ms / MS
        )
        for way in ways(deployment):
            await measure(deployment, way, arguments.requests)
        await deployment.set_knobs(deployment.platform, outage=True)
        for way in ways(deployment, "outage-"):
            await measure_outage(deployment, way, arguments.requests)
    measure_memory(LEDGER_CALLS)


def small_plan():
    """Return the dispatch pipeline, with effects and without."""
    plan = load_plan(PLAN)
    pools = [
        msgspec.structs.replace(pool, knobs={})
        for pool in plan.pools
        if pool.name in POOLS
    ]
    effect = plan.settings[f"pipeline:{EFFECT}"]
    roster, dispatch = effect["stage"]["roster"], effect["stage"]["dispatch"]
    free = {"roster": roster, "dispatch": {**dispatch, "repeatable": True}}
    settings = {
        f"pipeline:{EFFECT}": effect,
        f"pipeline:{PLAIN}": {**effect, "stage": free},
    }
    return msgspec.structs.replace(plan, pools=pools, settings=settings)


def ways(deployment: Deployment, prefix: str = "") -> list[Way]:
    """Return the ways to compare."""

    async def none(number: int) -> str:
        return ""

    async def own(number: int) -> str:
        return f"{prefix}order-{number}"

    async def repeated(number: int) -> str:
        return f"{prefix}order-0"

    async def token(number: int) -> str:
        return await take_token(deployment)

    return [
        Way("repeatable, no key", PLAIN, none),
        Way("token, taken and used", EFFECT, token),
        Way("own key, new", EFFECT, own),
        Way("own key, repeated", EFFECT, repeated),
    ]


async def take_token(deployment: Deployment) -> str:
    key = deployment.plan.accounts[0].key
    async with deployment.http.post(
        f"{deployment.entry_url()}/v1/pipelines/{EFFECT}/tokens",
        headers={"Authorization": f"Bearer {key}"},
    ) as response:
        return (await response.json())["token"]


async def counts(deployment: Deployment) -> Counter[str]:
    """Return the platform's calls by kind, watches left out."""
    async with deployment.http.get(deployment.platform_url + "/_counts") as found:
        by_caller = await found.json()
    kinds: Counter[str] = Counter()
    for name, count in by_caller.items():
        kinds[name.rpartition(" ")[2]] += count
    return kinds


async def measure(deployment: Deployment, way: Way, requests: int) -> None:
    before: Counter[str] = Counter()
    times, token_times = [], []
    for number in range(requests + WARM):
        if number == WARM:
            before = await counts(deployment)
        start = time.perf_counter()
        key = await way.key(number)
        sent = time.perf_counter()
        answer = await deployment.call(way.pipeline, ORDER, entry=number % 2, key=key)
        assert answer.status == 200, await answer.text()
        token_times.append((sent - start) * MS)
        times.append((time.perf_counter() - sent) * MS)
    used = await counts(deployment)
    used.subtract(before)
    call, taking = times[WARM:], token_times[WARM:]
    print(
        f"{way.name:24} writes {used['write'] / requests:4.2f}  "
        f"reads {used['read'] / requests:4.2f}  call p50 {median(call):6.2f} "
        f"p99 {quantiles(call, n=100)[98]:6.2f} ms  "
        f"token p50 {median(taking):5.2f} ms"
    )


async def measure_outage(deployment: Deployment, way: Way, requests: int) -> None:
    outcomes: Counter[str] = Counter()
    times = []
    for number in range(requests):
        key = await way.key(number)
        start = time.perf_counter()
        answer = await deployment.call(way.pipeline, ORDER, entry=number % 2, key=key)
        times.append((time.perf_counter() - start) * MS)
        outcomes[(await answer.json()).get("outcome", "answered")] += 1
    print(
        f"outage: {way.name:24} {dict(outcomes)}  p50 {median(times):6.2f} "
        f"p99 {quantiles(times, n=100)[98]:6.2f} ms"
    )


def measure_memory(calls: int) -> None:
    """Print what one call on record costs a sidecar, its output left out."""
    ledger = CallLedger(1, calls, 900.0)
    keys = [
        f"harvest-cooperative/{EFFECT}/key/order-{n}#1.dispatch" for n in range(calls)
    ]
    fingerprints = [fingerprint_of(b'{"to": "field %d"}' % n) for n in range(calls)]
    tracemalloc.start()
    start = time.perf_counter()
    for key, fingerprint in zip(keys, fingerprints, strict=True):
        terms = AtMostOnceTerms(incarnation=1, issued_s=0.0, fingerprint=fingerprint)
        ledger.open(0.0, key, terms)
    spent = time.perf_counter() - start
    grown, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    texts = sum(map(sys.getsizeof, keys)) + sum(map(sys.getsizeof, fingerprints))
    print(
        f"ledger: {calls} calls, {(grown + texts) / calls:.0f} bytes each, "
        f"{spent / calls * MICRO:.1f} us each to open"
    )


if __name__ == "__main__":
    asyncio.run(main())
