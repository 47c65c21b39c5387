"""Compares at-most-once calls by their kind of idempotency key, in one run.

    .venv/bin/python -m bench.at_most_once [--requests N] [--platform-ms N]

Prints the platform's writes and reads per call, the latency, and the outcomes of
calls during an outage of the platform.
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
AT_MOST_ONCE_PIPELINE = "dispatch-order"
REPEATABLE_PIPELINE = "dispatch-plain"
POOLS = ("roster", "dispatch")
ORDER = {"to": "field 7"}
WARM_REQUESTS = 20
MS = 1000.0
MICROS_PER_S = 1_000_000
LEDGER_CALLS = 10_000

KeyFactory = Callable[[int], Coroutine[Any, Any, str]]


@dataclass(frozen=True, slots=True)
class KeyVariant:
    """A pipeline and a kind of key; ``key`` returns the idempotency key of a call."""

    name: str
    pipeline: str
    key: KeyFactory


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--requests", type=int, default=300)
    parser.add_argument("--platform-ms", type=float, default=3.0)
    arguments = parser.parse_args()
    async with open_deployment(dispatch_plan(), entries=2) as deployment:
        await deployment.set_knobs(
            deployment.platform, service=arguments.platform_ms / MS
        )
        for variant in key_variants(deployment):
            await measure(deployment, variant, arguments.requests)
        await deployment.set_knobs(deployment.platform, outage=True)
        for variant in key_variants(deployment, "outage-"):
            await measure_outage(deployment, variant, arguments.requests)
    measure_memory(LEDGER_CALLS)


def dispatch_plan():
    """Return a plan with the dispatch pipeline, at-most-once and repeatable."""
    plan = load_plan(PLAN)
    pools = [
        msgspec.structs.replace(pool, knobs={})
        for pool in plan.pools
        if pool.name in POOLS
    ]
    pipeline = plan.settings[f"pipeline:{AT_MOST_ONCE_PIPELINE}"]
    roster, dispatch = pipeline["stage"]["roster"], pipeline["stage"]["dispatch"]
    repeatable_stages = {"roster": roster, "dispatch": {**dispatch, "repeatable": True}}
    settings = {
        f"pipeline:{AT_MOST_ONCE_PIPELINE}": pipeline,
        f"pipeline:{REPEATABLE_PIPELINE}": {**pipeline, "stage": repeatable_stages},
    }
    return msgspec.structs.replace(plan, pools=pools, settings=settings)


def key_variants(deployment: Deployment, prefix: str = "") -> list[KeyVariant]:
    """Return the variants to compare; keys chosen by callers start with ``prefix``."""

    async def no_key(number: int) -> str:
        return ""

    async def new_key(number: int) -> str:
        return f"{prefix}order-{number}"

    async def repeated_key(number: int) -> str:
        return f"{prefix}order-0"

    async def new_token(number: int) -> str:
        return await issue_token(deployment)

    return [
        KeyVariant("repeatable, no key", REPEATABLE_PIPELINE, no_key),
        KeyVariant("token, taken and used", AT_MOST_ONCE_PIPELINE, new_token),
        KeyVariant("own key, new", AT_MOST_ONCE_PIPELINE, new_key),
        KeyVariant("own key, repeated", AT_MOST_ONCE_PIPELINE, repeated_key),
    ]


async def issue_token(deployment: Deployment) -> str:
    key = deployment.plan.accounts[0].key
    async with deployment.http.post(
        f"{deployment.entry_url()}/v1/pipelines/{AT_MOST_ONCE_PIPELINE}/tokens",
        headers={"Authorization": f"Bearer {key}"},
    ) as response:
        return (await response.json())["token"]


async def platform_calls(deployment: Deployment) -> Counter[str]:
    """Return the platform's calls by kind, summed over callers, without watches."""
    async with deployment.http.get(deployment.platform_url + "/_counts") as response:
        by_caller = await response.json()
    kinds: Counter[str] = Counter()
    for name, count in by_caller.items():
        kinds[name.rpartition(" ")[2]] += count
    return kinds


async def measure(deployment: Deployment, variant: KeyVariant, requests: int) -> None:
    before: Counter[str] = Counter()
    response_ms, token_ms = [], []
    for number in range(requests + WARM_REQUESTS):
        if number == WARM_REQUESTS:
            before = await platform_calls(deployment)
        start = time.perf_counter()
        key = await variant.key(number)
        sent = time.perf_counter()
        answer = await deployment.call(
            variant.pipeline, ORDER, entry=number % 2, key=key
        )
        assert answer.status == 200, await answer.text()
        token_ms.append((sent - start) * MS)
        response_ms.append((time.perf_counter() - sent) * MS)
    calls = await platform_calls(deployment)
    calls.subtract(before)
    call_ms, issue_ms = response_ms[WARM_REQUESTS:], token_ms[WARM_REQUESTS:]
    print(
        f"{variant.name:24} writes {calls['write'] / requests:4.2f}  "
        f"reads {calls['read'] / requests:4.2f}  call p50 {median(call_ms):6.2f} "
        f"p99 {quantiles(call_ms, n=100)[98]:6.2f} ms  "
        f"token p50 {median(issue_ms):5.2f} ms"
    )


async def measure_outage(
    deployment: Deployment, variant: KeyVariant, requests: int
) -> None:
    outcomes: Counter[str] = Counter()
    response_ms = []
    for number in range(requests):
        key = await variant.key(number)
        start = time.perf_counter()
        answer = await deployment.call(
            variant.pipeline, ORDER, entry=number % 2, key=key
        )
        response_ms.append((time.perf_counter() - start) * MS)
        outcomes[(await answer.json()).get("outcome", "answered")] += 1
    print(
        f"outage: {variant.name:24} {dict(outcomes)}  p50 {median(response_ms):6.2f} "
        f"p99 {quantiles(response_ms, n=100)[98]:6.2f} ms"
    )


def measure_memory(calls: int) -> None:
    """Print a sidecar's memory and time for one recorded call, without its output."""
    ledger = CallLedger(1, calls, 900.0)
    keys = [
        f"harvest-cooperative/{AT_MOST_ONCE_PIPELINE}/key/order-{n}#1.dispatch"
        for n in range(calls)
    ]
    fingerprints = [fingerprint_of(b'{"to": "field %d"}' % n) for n in range(calls)]
    tracemalloc.start()
    start = time.perf_counter()
    for key, fingerprint in zip(keys, fingerprints, strict=True):
        terms = AtMostOnceTerms(incarnation=1, issued_s=0.0, fingerprint=fingerprint)
        ledger.open(0.0, key, terms)
    elapsed = time.perf_counter() - start
    ledger_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    text_bytes = sum(map(sys.getsizeof, keys)) + sum(map(sys.getsizeof, fingerprints))
    print(
        f"ledger: {calls} calls, {(ledger_bytes + text_bytes) / calls:.0f} bytes each, "
        f"{elapsed / calls * MICROS_PER_S:.1f} us each to open"
    )


if __name__ == "__main__":
    asyncio.run(main())
