"""Short seeded soak runs; docs/MEASUREMENTS.md has the command for longer ones."""

import pytest

from tests.soak.__main__ import run_soak
from tests.support import run_async

SECONDS = 6.0
# Seeds that failed in the past, each with its cause, and one that never failed.
SEEDS = {
    2: "a gateway ran past its grace time: a kept-alive connection had no time-out",
    9502: "a second stop signal at the end of a planned stop killed the process",
    9603: "an engine was sent a request whose inputs had just been released",
    11: "has not failed",
}
# The same with all gateways stopped in turn while the store is away.
ROLL_SEEDS = {9901: "has not failed"}


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_under_random_faults(seed, tmp_path):
    """
    Guards against wrong or missing responses while processes are killed, paused and
    restarted, the store fails, and endpoints reset connections, leave and hang.
    """
    violations, statuses = run_async(run_soak(seed, SECONDS, tmp_path))
    assert violations == []
    assert statuses[200] > 100


LIMIT_SEEDS = {9951: "has not failed"}
# Time in which a limit is named, binds, and is counted.
LIMIT_SECONDS = 12.0


@pytest.mark.parametrize("seed", LIMIT_SEEDS)
def test_guarantees_hold_while_endpoints_name_limits(seed, tmp_path):
    """Guards against limits that are lost in restarts, pauses and reloads."""
    violations, statuses = run_async(
        run_soak(seed, LIMIT_SECONDS, tmp_path, rolls=1, limits=2)
    )
    assert violations == []
    assert statuses[200] > 100


@pytest.mark.parametrize("seed", ROLL_SEEDS)
def test_guarantees_hold_while_all_gateways_stop_in_turn(seed, tmp_path):
    """Guards against a roll beside an outage that leaves no gateway with the state."""
    violations, statuses = run_async(run_soak(seed, SECONDS, tmp_path, rolls=1))
    assert violations == []
    assert statuses[200] > 100


PLACES_SEEDS = {10203: "has not failed"}
PLACES_SECONDS = 16.0


@pytest.mark.parametrize("seed", PLACES_SEEDS)
def test_guarantees_hold_while_places_change(seed, tmp_path):
    """Guards against evacuations, homes and cold endpoints that a fault lets forget."""
    violations, statuses = run_async(
        run_soak(seed, PLACES_SECONDS, tmp_path, rolls=1, places=True)
    )
    assert violations == []
    assert statuses[200] > 100


STRAY_SEEDS = {1: "orders ran twice on responses that named no request"}


@pytest.mark.parametrize("seed", STRAY_SEEDS)
def test_guarantees_hold_while_endpoints_send_responses_to_no_call(seed, tmp_path):
    """Guards against calls that count as not run, or get the results of others."""
    violations, statuses = run_async(run_soak(seed, SECONDS, tmp_path, strays=True))
    assert violations == []
    assert statuses[200] > 100


@pytest.mark.parametrize("seed", [10101])
def test_guarantees_hold_while_endpoints_ask_for_backoffs(seed, tmp_path):
    """Guards against backoffs that are lost in reloads, changes and cut links."""
    violations, statuses = run_async(run_soak(seed, SECONDS, tmp_path, backoffs=2))
    assert violations == []
    assert statuses[200] > 100


PLANNED_SEEDS = {2: "requests ended unanswered as a stop was asked for again"}
PLANNED_SECONDS = 8.0


@pytest.mark.parametrize("seed", PLANNED_SEEDS)
def test_planned_work_leaves_no_request_unanswered(seed, tmp_path):
    """Guards against stops, reloads and changes in series that close connections."""
    violations, statuses = run_async(
        run_soak(seed, PLANNED_SECONDS, tmp_path, planned=True)
    )
    assert violations == []
    assert statuses[200] > 50


# Seeds with entries of the store that cannot be used; without the fix of their cause
# routes that were added got 404, and endpoints that had left got requests.
ODD_SEEDS = {2: "a nested record ended the loops that follow the store"}
SILENCE_SEEDS = {2: "has not failed"}
TASK_SEEDS = {3: "has not failed"}
CHANGE_SECONDS = 8.0


@pytest.mark.parametrize("seed", ODD_SEEDS)
def test_changes_take_effect_beside_records_that_cannot_be_used(seed, tmp_path):
    """Guards against one entry that keeps every change of the others from a gateway."""
    violations, statuses = run_async(
        run_soak(seed, CHANGE_SECONDS, tmp_path, gateways=4, odd_records=8)
    )
    assert violations == []
    assert statuses[200] > 100


@pytest.mark.parametrize("seed", SILENCE_SEEDS)
def test_changes_take_effect_while_links_to_the_store_are_silent(seed, tmp_path):
    """Guards against a silent link that keeps changes from others than its gateway."""
    violations, statuses = run_async(
        run_soak(seed, CHANGE_SECONDS, tmp_path, gateways=4, silences=3)
    )
    assert violations == []
    assert statuses[200] > 100


@pytest.mark.parametrize("seed", TASK_SEEDS)
def test_changes_take_effect_although_background_tasks_fail(seed, tmp_path):
    """Guards against a task that is not started again, or loses a change by that."""
    violations, statuses = run_async(
        run_soak(seed, CHANGE_SECONDS, tmp_path, gateways=4, failing_tasks=8)
    )
    assert violations == []
    assert statuses[200] > 100
