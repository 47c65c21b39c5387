"""A short random run; the long one is a command (see docs/MEASUREMENTS.md)."""

import asyncio

from amaranthtally.standins.chaos.__main__ import run_chaos
from tests.support import plan

SEED = 7
REQUESTS = 400
FAULTS = 8
RUN_TIMEOUT_S = 240.0


def test_a_short_random_run_violates_no_guarantee():
    """
    Guarantees may fail when faults coincide. The run has mixed load and random faults,
    alone and in pairs; every response is checked, and the services count the effects.
    """
    chaos_run = run_chaos(plan(), SEED, REQUESTS, FAULTS)
    run = asyncio.run(asyncio.wait_for(chaos_run, RUN_TIMEOUT_S))
    assert run.violations == []
    assert run.counts["sent"] >= REQUESTS
