"""Helpers shared by the tests."""

import asyncio
import json
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

from amaranthtally.standins.deployment import DeploymentPlan, load_plan

EXAMPLES = Path(__file__).parents[2] / "examples"
TEST_TIMEOUT_S = 120.0


def run_async(work: Coroutine[Any, Any, Any]) -> Any:
    """Run a test's coroutine; fail after ``TEST_TIMEOUT_S`` instead of hanging."""
    return asyncio.run(asyncio.wait_for(work, TEST_TIMEOUT_S))


def plan(name: str = "agrosalv") -> DeploymentPlan:
    """Return one of the example plans."""
    return load_plan(EXAMPLES / f"{name}.toml")


def parse_events(text):
    """Return the (kind, data) pairs of a server-sent event stream."""
    pairs = [block.split("\n", 1) for block in text.strip().split("\n\n")]
    return [
        (kind.removeprefix("event: "), json.loads(data.removeprefix("data: ")))
        for kind, data in pairs
    ]
