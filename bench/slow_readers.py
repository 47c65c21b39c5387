"""Highest resident memory of a gateway whose callers read large responses slowly.

    .venv/bin/python -m bench.slow_readers [--callers N] [--size BYTES] [--rate BYTES]

Prints the highest resident memory, how many responses ended whole, and what sound
short requests beside them got. ``--rate 0`` reads at once.
"""

import argparse
import asyncio
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from amaranthtally.adapter import headers as names
from bench.process_cost import memory_mb
from tests.gateway.support import open_gateway_cluster, respond_with, route

MEMORY_MB = 300.0
# The callers arrive in this time, in seconds.
ARRIVAL_S = 8.0
# After this time callers stop reading, in seconds.
READ_S = 20.0
PART_BYTES = 16_384
SHORT_CALLERS = 8
SAMPLE_S = 0.05
TIMEOUT_MS = 30_000


@dataclass
class Figures:
    """What was seen; sizes in megabytes."""

    peak_mb: float = 0.0
    documents: Counter[str] = field(default_factory=Counter)
    lookups: Counter[str] = field(default_factory=Counter)


async def _read_slowly(gateway, figures, size, rate):
    try:
        async with (
            asyncio.timeout(READ_S),
            gateway.session.post(
                f"{gateway.url}/documents/",
                headers=gateway.headers(**{names.DEADLINE_MS: str(TIMEOUT_MS)}),
            ) as response,
        ):
            received = 0
            while part := await response.content.read(PART_BYTES):
                received += len(part)
                if rate:
                    await asyncio.sleep(len(part) / rate)
            whole = response.status == 200 and received == size
            outcome = "whole" if whole else str(response.status)
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        outcome = type(error).__name__
    figures.documents[outcome] += 1


async def _look_up(gateway, figures):
    while True:
        try:
            status, _, body = await gateway.call("/lookups/")
            outcome = "whole" if (status, body) == (200, b"found") else str(status)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            outcome = type(error).__name__
        figures.lookups[outcome] += 1
        await asyncio.sleep(0.1)


async def _watch(gateway, figures):
    while True:
        figures.peak_mb = max(figures.peak_mb, memory_mb(gateway.process.pid))
        await asyncio.sleep(SAMPLE_S)


async def measure(callers, size, rate):
    """Return the figures of one run."""
    figures = Figures()
    with tempfile.TemporaryDirectory() as folder:
        async with open_gateway_cluster(Path(folder)) as cluster:
            await cluster.endpoint("documents", "documents", respond_with(b"d" * size))
            await cluster.endpoint("lookups", "lookups", respond_with(b"found"))
            cluster.configure(
                1, route("documents", timeoutMs=TIMEOUT_MS), route("lookups")
            )
            gateway = await cluster.gateway(memory_mb=MEMORY_MB)
            watch = asyncio.create_task(_watch(gateway, figures))
            started = time.monotonic()
            lookups = [
                asyncio.create_task(_look_up(gateway, figures))
                for _ in range(SHORT_CALLERS)
            ]
            readers = []
            for _ in range(callers):
                work = _read_slowly(gateway, figures, size, rate)
                readers.append(asyncio.create_task(work))
                await asyncio.sleep(ARRIVAL_S / callers)
            await asyncio.gather(*readers)
            took_s = time.monotonic() - started
            for work in lookups:
                work.cancel()
            await asyncio.gather(*lookups, return_exceptions=True)
            watch.cancel()
            await asyncio.gather(watch, return_exceptions=True)
    return figures, took_s


def main():
    """Measure once and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--callers", type=int, default=400)
    parser.add_argument("--size", type=int, default=1_000_000)
    parser.add_argument("--rate", type=float, default=70_000.0)
    arguments = parser.parse_args()
    figures, took_s = asyncio.run(
        measure(arguments.callers, arguments.size, arguments.rate)
    )
    sys.stdout.write(
        f"callers={arguments.callers} size={arguments.size} rate={arguments.rate} "
        f"peak_mb={figures.peak_mb:.1f} limit_mb={MEMORY_MB} took_s={took_s:.1f} "
        f"documents={dict(figures.documents)} lookups={dict(figures.lookups)}\n"
    )


if __name__ == "__main__":
    main()
