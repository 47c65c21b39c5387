"""The commands that draw deployments, and simulate, compare and search days."""

import json
import signal
import subprocess
import sys
import time
from contextlib import contextmanager
from pathlib import Path

import pytest

from amaranthtally.operator.experiment.day_runs import (
    compare,
    day_jobs,
    simulate_days,
)
from amaranthtally.operator.experiment.trial_log import SimulatedDay, TrialLog
from amaranthtally.operator.main import app
from amaranthtally.simulator.days import DayResult
from amaranthtally.simulator.deployment import write_deployment
from amaranthtally.simulator.mechanisms import variant_names
from tests.simulator.support import small_deployment

# Time limit for the exit; workers finish their current day first, in seconds.
EXIT_TIMEOUT_S = 60.0
# Time that workers need for their imports, in seconds.
WORKER_START_S = 1.0
VARIANTS = ["--variants", "no owners", "--variants", "no affinity"]


@pytest.fixture
def path(tmp_path):
    file = tmp_path / "small.toml"
    write_deployment(file, small_deployment(seconds=2.0))
    return file


def run_command(*arguments):
    return app([str(argument) for argument in arguments])


@contextmanager
def running_command(arguments):
    """Yield a process that runs the command line, killed on exit."""
    running = subprocess.Popen(
        [sys.executable, "-m", "amaranthtally.operator.main", *map(str, arguments)],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
    )
    try:
        yield running
    finally:
        running.kill()
        running.wait()


def run_experiment(folder, path, *more):
    options = ["--seeds", 2, "--jobs", 1, "--out", folder, *VARIANTS]
    return run_command("experiment", "run", path, *options, *more)


def test_draw_writes_a_deployment_file(tmp_path, capsys):
    path = tmp_path / "drawn.toml"
    assert run_command("experiment", "draw", "--seed", 14, "--out", path) == 0
    assert 'name = "drawn-14"' in path.read_text()


def test_run_compares_variants_in_pairs(tmp_path, path, capsys):
    out = tmp_path / "out"
    assert run_experiment(out, path) == 0
    table = (out / "table.md").read_text()
    assert table in capsys.readouterr().out
    assert "| no owners |" in table
    assert "| policy |" in table
    comparisons = json.loads((out / "comparisons.json").read_text())
    same = [c for c in comparisons if c["variant"] == "policy"]
    assert {c["difference"] for c in same} == {0.0}
    assert {c["pairs"] for c in comparisons} == {2}
    assert (out / "differences.svg").read_text().startswith("<?xml")


def test_finished_days_are_not_simulated_again(tmp_path, path):
    out = tmp_path / "out"
    assert run_experiment(out, path) == 0
    days = (out / "days.jsonl").read_bytes()
    assert days.count(b"\n") == 6
    # A process that is killed while it writes leaves the last line truncated.
    (out / "days.jsonl").write_bytes(days[: len(days) - 20])
    assert len(TrialLog(out / "days.jsonl").read()) == 5
    assert run_experiment(out, path) == 0
    assert len(TrialLog(out / "days.jsonl").read()) == 6


def test_finished_days_are_kept_after_an_interrupt(tmp_path, path, monkeypatch):
    """Fails if Ctrl-C discards the results of finished days."""

    def interrupted(trials, jobs):
        yield next(iter(simulate_days(trials[:1], 1)))
        raise KeyboardInterrupt

    monkeypatch.setattr(
        "amaranthtally.operator.experiment.day_commands.simulate_days", interrupted
    )
    out = tmp_path / "out"
    assert run_experiment(out, path) == 130
    assert len(TrialLog(out / "days.jsonl").read()) == 1
    monkeypatch.undo()
    assert run_experiment(out, path) == 0


def test_a_terminated_run_keeps_its_days_and_leaves_no_workers(tmp_path, path):
    """Fails if workers keep waiting for work after the run was terminated."""
    out = tmp_path / "out"
    days = out / "days.jsonl"
    arguments = ["experiment", "run", path, "--seeds", "200", "--jobs", "2"]
    command_line = [*arguments, *VARIANTS, "--out", out]
    with running_command(command_line) as running:
        while not days.exists():
            assert running.poll() is None
            time.sleep(0.05)
        running.send_signal(signal.SIGTERM)
        # This reads until EOF, which comes only after all workers have exited.
        running.communicate(timeout=EXIT_TIMEOUT_S)
    assert running.returncode == 130
    assert TrialLog(days).read()


def test_a_terminated_search_leaves_no_workers():
    """Fails if workers keep waiting for work after the search was terminated."""
    with running_command(
        ["experiment", "search", "--days", "500", "--jobs", "2"]
    ) as running:
        while len(children_of(running.pid)) < 2:
            assert running.poll() is None
            time.sleep(0.05)
        time.sleep(WORKER_START_S)
        running.send_signal(signal.SIGTERM)
        running.communicate(timeout=EXIT_TIMEOUT_S)
    assert running.returncode != 0


def children_of(pid):
    """Return the process ids of a process's children."""
    return Path(f"/proc/{pid}/task/{pid}/children").read_text().split()


def test_an_unknown_variant_is_rejected(tmp_path, path, capsys):
    out = tmp_path / "out"
    arguments = ["--variants", "no luck", "--out", out]
    assert run_command("experiment", "run", path, *arguments) == 2
    message = capsys.readouterr().err
    assert "no luck" in message
    assert "no owners" in message


def test_an_invalid_deployment_file_is_rejected(tmp_path, capsys):
    path = tmp_path / "wrong.toml"
    path.write_text("name = 3")
    assert run_command("experiment", "run", path, "--out", tmp_path / "out") == 2
    assert "$.name" in capsys.readouterr().err


def test_a_search_reports_its_number_of_days(capsys):
    assert run_command("experiment", "search", "--days", 1, "--first", 14) == 0
    assert "1 days, 0 violated an invariant" in capsys.readouterr().out


def test_a_search_exits_with_1_after_an_invariant_violation(monkeypatch, capsys):
    def fake_simulate(job):
        day = DayResult(0, 0, 0, 0, 0, 0, 0, 0, broken=("order-1 ran 2 times",))
        return SimulatedDay(job.trial, day)

    monkeypatch.setattr(
        "amaranthtally.operator.experiment.day_runs._simulate", fake_simulate
    )
    assert run_command("experiment", "search", "--days", 2, "--jobs", 1) == 1
    assert "order-1 ran 2 times" in capsys.readouterr().out


def test_parallel_and_sequential_days_are_equal():
    trials = day_jobs([small_deployment(seconds=1.0)], [1, 2], variant_names()[:2])
    sequential = {p.trial: p.day for p in simulate_days(trials, 1)}
    assert {p.trial: p.day for p in simulate_days(trials, 2)} == sequential
    assert all(c.pairs == 2 for c in compare(sequential, "policy", ["worth"]))
