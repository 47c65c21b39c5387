"""Short seeded runs; longer ones are a command (docs/MEASUREMENTS.md)."""

import pytest

from tests.soak.__main__ import run_soak
from tests.support import run_async

SECONDS = 6.0
# Seeds that failed once, and why; a fresh one beside them.
SEEDS = {
    2: "a gateway outlived its grace: a kept connection was waited for without limit",
    9502: "a second stop at the very end of a planned one killed the process",
    9603: "an engine was sent a request whose inputs had been freed meanwhile",
    11: "a fresh one",
}


@pytest.mark.parametrize("seed", SEEDS)
def test_every_promise_holds_under_random_faults(seed, tmp_path):
    """
    Callers are told wrong things, or nothing, while processes are killed, paused and
    restarted, the store fails in its ways, and endpoints reset, leave and hang.
    """
    violations, statuses = run_async(run_soak(seed, SECONDS, tmp_path))
    assert violations == []
    assert statuses[200] > 100
