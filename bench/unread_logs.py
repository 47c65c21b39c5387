"""
What a gateway's callers see while nobody reads its output.

Run ``.venv/bin/python -m bench.unread_logs [--seconds 60]``. One gateway before one
endpoint on loopback, eight callers; first with a reader, then without one.
"""

import argparse
import asyncio
import sys
import tempfile
import time
from pathlib import Path

from bench.process_cost import cpu_seconds, memory_mb
from tests.gateway.fake_endpoint import complete_response
from tests.gateway.support import Gateway, open_gateway_cluster, route

CALLERS = 8


async def _load(gateway: Gateway, seconds: float) -> list[float]:
    """Call for so long; return how long each answer took, in ms."""
    end = time.monotonic() + seconds

    async def work() -> list[float]:
        took = []
        while (begun := time.monotonic()) < end:
            status, _, _ = await gateway.call("/read/")
            assert status == 200
            took.append((time.monotonic() - begun) * 1000)
        return took

    found = await asyncio.gather(*(work() for _ in range(CALLERS)))
    return sorted(ms for each in found for ms in each)


async def _measure(name: str, gateway: Gateway, seconds: float) -> None:
    pid = gateway.process.pid
    cpu = cpu_seconds(pid)
    took = await _load(gateway, seconds)
    cost_us = (cpu_seconds(pid) - cpu) / len(took) * 1e6
    sys.stdout.write(
        f"{name:12} requests {len(took)} p50 {took[len(took) // 2]:.2f} ms "
        f"p99 {took[int(len(took) * 0.99)]:.2f} ms worst {took[-1]:.1f} ms "
        f"processor {cost_us:.0f} us a request, memory {memory_mb(pid):.1f} MB\n"
    )


async def _run(seconds: float) -> None:
    with tempfile.TemporaryDirectory() as folder:
        async with open_gateway_cluster(Path(folder)) as world:
            await world.endpoint(
                "e", "read", lambda request: [complete_response(request, b"work")]
            )
            world.configure(1, route("read"))
            gateway = await world.gateway()
            await _measure("read", gateway, seconds / 2)
            gateway.process.pause_output()
            await _measure("unread", gateway, seconds)


def main() -> int:
    """Print what was measured; return the exit code."""
    parser = argparse.ArgumentParser(prog="unread_logs", description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    asyncio.run(_run(parser.parse_args().seconds))
    return 0


if __name__ == "__main__":
    sys.exit(main())
