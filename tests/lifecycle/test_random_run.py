"""A bounded randomised run; the long one is a command (docs/MEASUREMENTS.md)."""

import asyncio

from amaranthtally.standins.chaos.__main__ import run_chaos
from tests.support import plan

SEED = 7
REQUESTS = 400
FAULTS = 8
RUN_TIMEOUT_S = 240.0


def test_a_short_randomised_run_breaks_no_promise():
    """
    Any promise may break where faults meet: mixed load, random faults singly and
    in pairs, every answer checked, every effect counted by its service.
    """
    work = run_chaos(plan(), SEED, REQUESTS, FAULTS)
    world = asyncio.run(asyncio.wait_for(work, RUN_TIMEOUT_S))
    assert world.violations == []
    assert world.counts["sent"] >= REQUESTS
