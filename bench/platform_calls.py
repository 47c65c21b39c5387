"""Count the platform calls of idle entries and sidecars over ``--seconds N``."""

import argparse
import asyncio
import sys
from pathlib import Path

from amaranthtally.standins.deployment import Deployment, load_plan, open_deployment

PLAN = Path(__file__).parent.parent / "examples" / "agrosalv.toml"


async def _read_counts(deployment: Deployment) -> dict[str, int]:
    async with deployment.http.get(f"{deployment.platform_url}/_counts") as response:
        counts: dict[str, int] = await response.json()
        return counts


async def _run(seconds: float) -> None:
    async with open_deployment(load_plan(PLAN), entries=3, servers=1) as deployment:
        before = await _read_counts(deployment)
        await asyncio.sleep(seconds)
        after = await _read_counts(deployment)
        for name in sorted(after):
            rate = (after[name] - before.get(name, 0)) / seconds
            sys.stdout.write(f"{name} a second: {rate:.3f}\n")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    asyncio.run(_run(parser.parse_args().seconds))
