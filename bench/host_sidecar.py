"""
Memory and idle processor time of sidecars.

One process serves many endpoints, or, with ``--apart``, each endpoint has its own.

    python -m bench.host_sidecar --endpoints 15 --apart
"""

import argparse
import asyncio
import tempfile
import time
from contextlib import AsyncExitStack
from pathlib import Path

import tomli_w

from amaranthtally.standins.deployment import DAEMON, STANDINS
from amaranthtally.standins.process import start_process
from bench.process_cost import cpu_seconds, memory_mb

ANY_PORT = "127.0.0.1:0"
SETTLE_S = 3.0
IDLE_S = 10.0
LOCATION = {"host": "host-1", "region": "cluj", "data_centre": "cluj-1"}


def endpoint(number: int, port: int) -> dict[str, object]:
    """Return the settings of one endpoint."""
    return {
        "endpoint": f"engine-{number}",
        "wire_address": ANY_PORT,
        "endpoint_url": f"http://127.0.0.1:{port}/{number}",
        "endpoint_kind": "encoder",
    }


async def measure_idle_cost(count: int, apart: bool) -> None:
    """Start the sidecars, leave them idle, and print their memory and idle time."""
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        service = await start_process("service", STANDINS, "encoder", "--name", "s")
        stack.push_async_callback(service.kill)
        port = service.ports["port"]
        shared = {**LOCATION, "http_address": ANY_PORT, "drain_wait": 0.0}
        endpoints = [endpoint(number, port) for number in range(count)]
        files = [{**shared, **endpoint_settings} for endpoint_settings in endpoints]
        if not apart:
            files = [{**shared, "endpoints": endpoints}]
        processes = []
        for number, settings in enumerate(files):
            path = folder / f"{number}.toml"
            path.write_text(tomli_w.dumps(settings))
            process = await start_process(
                f"sidecar-{number}", DAEMON, "sidecar", "--settings", path
            )
            stack.push_async_callback(process.kill)
            processes.append(process)
        await asyncio.sleep(SETTLE_S)
        start, before = time.monotonic(), sum(cpu_seconds(p.pid) for p in processes)
        await asyncio.sleep(IDLE_S)
        cpu_s = sum(cpu_seconds(p.pid) for p in processes) - before
        share = cpu_s / (time.monotonic() - start)
        memory = sum(memory_mb(p.pid) for p in processes)
        print(
            f"{count} endpoints in {len(processes)} processes: "
            f"{memory:.1f} MB resident, {100 * share:.2f}% of a core idle"
        )


def main() -> None:
    """Run one measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--endpoints", type=int, default=15)
    parser.add_argument("--apart", action="store_true")
    arguments = parser.parse_args()
    asyncio.run(measure_idle_cost(arguments.endpoints, arguments.apart))


if __name__ == "__main__":
    main()
