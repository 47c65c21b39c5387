"""
Start a small deployment on loopback and send one request through it.

Run by ``scripts/quickstart``. All processes end on Ctrl-C; with ``--once`` they end
after the first request.
"""

import argparse
import asyncio
import json
import sys
from pathlib import Path

from amaranthtally.standins.deployment import Deployment, load_plan, open_deployment

__all__ = ["main"]

FIRST_INPUT = "The combine's header lifts but will not lower. What do I check first?"


def main() -> int:
    """Run the quickstart; return the exit code."""
    parser = argparse.ArgumentParser(prog="quickstart", description=__doc__)
    parser.add_argument("--plan", type=Path, default=Path("examples/agrosalv.toml"))
    parser.add_argument("--once", action="store_true", help="end after one request")
    arguments = parser.parse_args()
    try:
        return asyncio.run(_run(arguments.plan, arguments.once))
    except KeyboardInterrupt:
        return 0


async def _run(path: Path, once: bool) -> int:
    plan = load_plan(path)
    sys.stdout.write(f"Starting {plan.name} on loopback ...\n")
    async with open_deployment(plan, entries=1, servers=2) as deployment:
        pipeline = _first_pipeline(deployment)
        response = await deployment.call(pipeline, FIRST_INPUT)
        document = await response.json()
        if response.status != 200:
            sys.stdout.write(json.dumps(document, indent=2) + "\n")
            return 1
        _print_response(deployment, pipeline, document)
        if not once:
            sys.stdout.write("\nCtrl-C ends the deployment.\n")
            await asyncio.Event().wait()
    return 0


def _first_pipeline(deployment: Deployment) -> str:
    scopes = (s for s in deployment.plan.settings if s.startswith("pipeline:"))
    return next(scopes).removeprefix("pipeline:")


def _print_response(deployment: Deployment, pipeline: str, document: dict) -> None:
    lines = [f"\nAnswer to request {document['request_id']}:"]
    lines.append(f"  {document['output']['text']}\n")
    lines.append("Stages:")
    for stage in document["stages"]:
        lines.append(
            f"  {stage['name']:<10} {stage['ms']:>8.1f} ms  {stage['host']:<22} "
            f"{stage['region']}"
        )
    key = deployment.plan.accounts[0].key
    lines += [
        "\nSend the next one:",
        f"  curl {deployment.entry_url()}/v1/pipelines/{pipeline}/requests \\",
        f"    -H 'Authorization: Bearer {key}' \\",
        '    -d \'{"input": "The baler drops its twine.", "stream": true}\'',
    ]
    sys.stdout.write("\n".join(lines) + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
