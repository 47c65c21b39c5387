"""The replay's calculations, its determinism and its exit codes."""

import subprocess
import sys
from itertools import combinations
from pathlib import Path

import pytest
from hypothesis import given, settings, strategies as st

from amaranthtally.operator.replay.bound import Job, max_on_time_jobs
from amaranthtally.operator.replay.endpoints import Run, build_endpoint
from amaranthtally.operator.replay.measures import jain_index, max_min_shares
from amaranthtally.operator.replay.scenarios import make_trace
from amaranthtally.operator.replay.trace import PoolPlan, read_trace, write_trace
from amaranthtally.simulator.clock import VirtualClock

ROOT = Path(__file__).parent.parent.parent
TRACE = ROOT / "traces" / "agrosalv-failing.jsonl.gz"
DEPLOYMENT = ROOT / "examples" / "agrosalv.toml"


def run_command(*arguments):
    command = [sys.executable, "-m", "amaranthtally.operator.main", *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def test_replay_is_reproducible_and_meets_the_expected_outcomes(tmp_path):
    outcomes = ("--outcomes", str(ROOT / "traces" / "ci.toml"))
    arguments = ("replay", str(TRACE), "--no-baselines", "--json", *outcomes)
    first, second = run_command(*arguments), run_command(*arguments)
    assert first.returncode == 0, first.stdout + first.stderr
    assert first.stdout == second.stdout

    trace = read_trace(TRACE)
    write_trace(tmp_path / "again.jsonl.gz", trace)
    assert (tmp_path / "again.jsonl.gz").read_bytes() == TRACE.read_bytes()
    made = make_trace(DEPLOYMENT, trace.header.scenario, trace.header.seed)
    assert made == trace


def test_exit_codes_for_missed_outcome_and_unknown_figure(tmp_path):
    outcomes = tmp_path / "outcomes.toml"
    outcomes.write_text("[all]\ngood = { min = 1000000 }\n")
    arguments = ("replay", str(TRACE), "--no-baselines", "--outcomes", str(outcomes))
    missed = run_command(*arguments)
    assert missed.returncode == 1
    assert "MISSED agrosalv-failing: good is" in missed.stdout

    outcomes.write_text("[all]\ngod = { min = 1 }\n")
    unknown = run_command(*arguments)
    assert unknown.returncode == 2
    assert "unknown figures god" in unknown.stderr


def test_max_min_shares_and_jain_index():
    assert max_min_shares([10, 100, 100], 90) == [10, 40, 40]
    assert jain_index([1.0, 1.0]) == 1.0
    assert jain_index([1.0, 0.0]) == 0.5


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 4), st.integers(1, 5)), min_size=1, max_size=8),
    st.integers(3, 8),
)
def test_max_on_time_jobs_equals_exhaustive_search(gaps_and_work, relative_due):
    jobs, release = [], 0
    for gap, work in gaps_and_work:
        release += gap
        jobs.append(Job(release, release + relative_due, work))
    assert max_on_time_jobs(jobs) == max_on_time_by_exhaustive_search(jobs)


def max_on_time_by_exhaustive_search(jobs):
    for size in range(len(jobs), 0, -1):
        if any(all_on_time(chosen) for chosen in combinations(jobs, size)):
            return size
    return 0


def all_on_time(jobs):
    end = 0
    for job in jobs:
        end = max(end, job.release) + job.work
        if end > job.due:
            return False
    return True


@pytest.mark.parametrize(("calls", "ends"), [(1, 1.0), (2, 1.5)])
def test_engine_slows_down_as_its_batch_grows(calls, ends):
    clock = VirtualClock()
    pool = PoolPlan("p", "engine", 8, 1.0, 0, token_s=0.01, batch_slope=0.5, tokens=1)
    engine = build_endpoint(clock, pool)
    ended, chunks = [], []
    for _ in range(calls):
        run = Run(1.0, 100, (), 0, lambda ok: ended.append(clock.now), chunks.append)
        engine.start(run)
    clock.run(10.0)
    assert ended == pytest.approx([ends] * calls)
    assert sorted(set(chunks)) == [1, 2, 3]
