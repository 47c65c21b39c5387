"""
Latency at a gateway whose standard output is not read, so that its pipe fills up.

Run ``.venv/bin/python -m bench.unread_logs [--seconds 60]``. Eight callers use one
gateway with one endpoint on loopback, first while the output is read, then while it
is not.
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


async def _send_requests(gateway: Gateway, seconds: float) -> list[float]:
    """Call for ``seconds``; return the sorted response times, in milliseconds."""
    end = time.monotonic() + seconds

    async def caller() -> list[float]:
        times_ms = []
        while (start := time.monotonic()) < end:
            status, _, _ = await gateway.call("/read/")
            assert status == 200
            times_ms.append((time.monotonic() - start) * 1000)
        return times_ms

    by_caller = await asyncio.gather(*(caller() for _ in range(CALLERS)))
    return sorted(ms for times in by_caller for ms in times)


async def _measure(name: str, gateway: Gateway, seconds: float) -> None:
    pid = gateway.process.pid
    cpu = cpu_seconds(pid)
    times_ms = await _send_requests(gateway, seconds)
    cost_us = (cpu_seconds(pid) - cpu) / len(times_ms) * 1e6
    sys.stdout.write(
        f"{name:12} requests {len(times_ms)} p50 {times_ms[len(times_ms) // 2]:.2f} ms "
        f"p99 {times_ms[int(len(times_ms) * 0.99)]:.2f} ms worst {times_ms[-1]:.1f} ms "
        f"processor {cost_us:.0f} us a request, memory {memory_mb(pid):.1f} MB\n"
    )


async def _run(seconds: float) -> None:
    with tempfile.TemporaryDirectory() as folder:
        async with open_gateway_cluster(Path(folder)) as cluster:
            await cluster.endpoint(
                "e", "read", lambda request: [complete_response(request, b"work")]
            )
            cluster.configure(1, route("read"))
            gateway = await cluster.gateway()
            await _measure("read", gateway, seconds / 2)
            gateway.process.pause_output()
            await _measure("unread", gateway, seconds)


def main() -> int:
    """Run the measurement; return the exit code."""
    parser = argparse.ArgumentParser(prog="unread_logs", description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    asyncio.run(_run(parser.parse_args().seconds))
    return 0


if __name__ == "__main__":
    sys.exit(main())
