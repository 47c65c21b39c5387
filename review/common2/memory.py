"""The platform's limit on the memory of a process."""

import asyncio
from pathlib import Path

from review.common2.world import MEMORY_MB, Gateway, World

KIB_PER_MB = 1024
CHECK_INTERVAL_S = 0.01
RESTART_S = 0.5


async def enforce_memory(world: World, gateway: Gateway) -> None:
    """Kill the process whenever it exceeds its memory, and start it again."""
    peak = 0
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        resident = resident_kib(gateway)
        if resident > peak + KIB_PER_MB:
            peak = resident
            world.record.note(f"{gateway.name}: {resident} KiB resident")
        if resident > MEMORY_MB * KIB_PER_MB:
            world.record.note(f"{gateway.name} is killed for its memory")
            await gateway.kill()
            await asyncio.sleep(RESTART_S)
            await gateway.start()
            peak = 0


def resident_kib(gateway: Gateway) -> int:
    """Return the resident memory of a gateway's process."""
    if gateway.process is None or gateway.process.returncode is not None:
        return 0
    status = Path(f"/proc/{gateway.process.pid}/status").read_text()
    fields = [line.split() for line in status.splitlines()]
    return next((int(field[1]) for field in fields if field[0] == "VmRSS:"), 0)
