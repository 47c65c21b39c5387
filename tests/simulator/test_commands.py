"""The commands that draw, play, compare and search days."""

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
    play_days,
)
from amaranthtally.operator.experiment.trial_log import PlayedDay, TrialLog
from amaranthtally.operator.main import app
from amaranthtally.simulator.days import DayResult
from amaranthtally.simulator.deployment import write_deployment
from amaranthtally.simulator.mechanisms import variant_names
from tests.simulator.support import small

# A worker ends the day that it plays before it ends.
ENDED_S = 60.0
# Until workers have imported what they need, in seconds.
WORKERS_BEGIN_S = 1.0
VARIANTS = ["--variants", "no owners", "--variants", "no affinity"]


@pytest.fixture
def path(tmp_path):
    found = tmp_path / "small.toml"
    write_deployment(found, small(seconds=2.0))
    return found


def command(*arguments):
    return app([str(argument) for argument in arguments])


@contextmanager
def started(arguments):
    """Yield a process of the command line, which is gone at the end."""
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


def run_in(folder, path, *more):
    options = ["--seeds", 2, "--jobs", 1, "--out", folder, *VARIANTS]
    return command("experiment", "run", path, *options, *more)


def test_a_drawn_deployment_is_written_and_played(tmp_path, capsys):
    path = tmp_path / "drawn.toml"
    assert command("experiment", "draw", "--seed", 14, "--out", path) == 0
    assert 'name = "drawn-14"' in path.read_text()


def test_variants_are_compared_in_pairs(tmp_path, path, capsys):
    out = tmp_path / "out"
    assert run_in(out, path) == 0
    table = (out / "table.md").read_text()
    assert table in capsys.readouterr().out
    assert "| no owners |" in table
    assert "| policy |" in table
    found = json.loads((out / "comparisons.json").read_text())
    same = [one for one in found if one["variant"] == "policy"]
    assert {one["difference"] for one in same} == {0.0}
    assert {one["pairs"] for one in found} == {2}
    assert (out / "differences.svg").read_text().startswith("<?xml")


def test_days_that_were_played_are_not_played_again(tmp_path, path):
    out = tmp_path / "out"
    assert run_in(out, path) == 0
    days = (out / "days.jsonl").read_bytes()
    assert days.count(b"\n") == 6
    # The last line is cut short, as where the process is killed as it writes.
    (out / "days.jsonl").write_bytes(days[: len(days) - 20])
    assert len(TrialLog(out / "days.jsonl").read()) == 5
    assert run_in(out, path) == 0
    assert len(TrialLog(out / "days.jsonl").read()) == 6


def test_what_was_played_stays_after_an_interrupt(tmp_path, path, monkeypatch):
    """Ctrl-C after an hour of days loses all of them."""

    def interrupted(trials, jobs):
        yield next(iter(play_days(trials[:1], 1)))
        raise KeyboardInterrupt

    monkeypatch.setattr(
        "amaranthtally.operator.experiment.day_commands.play_days", interrupted
    )
    out = tmp_path / "out"
    assert run_in(out, path) == 130
    assert len(TrialLog(out / "days.jsonl").read()) == 1
    monkeypatch.undo()
    assert run_in(out, path) == 0


def test_a_run_that_is_ended_keeps_its_days_and_leaves_no_worker(tmp_path, path):
    """A run in the background is ended, and its workers wait for ever."""
    out = tmp_path / "out"
    days = out / "days.jsonl"
    arguments = ["experiment", "run", path, "--seeds", "200", "--jobs", "2"]
    command_line = [*arguments, *VARIANTS, "--out", out]
    with started(command_line) as running:
        while not days.exists():
            assert running.poll() is None
            time.sleep(0.05)
        running.send_signal(signal.SIGTERM)
        # Read to the end: workers hold the other end for as long as they live.
        running.communicate(timeout=ENDED_S)
    assert running.returncode == 130
    assert TrialLog(days).read()


def test_a_search_that_is_ended_leaves_no_worker():
    """A search in the background is ended, and its workers wait for ever."""
    with started(["experiment", "search", "--days", "500", "--jobs", "2"]) as running:
        while len(children_of(running.pid)) < 2:
            assert running.poll() is None
            time.sleep(0.05)
        time.sleep(WORKERS_BEGIN_S)
        running.send_signal(signal.SIGTERM)
        running.communicate(timeout=ENDED_S)
    assert running.returncode != 0


def children_of(pid):
    """Return the processes that a process has started."""
    return Path(f"/proc/{pid}/task/{pid}/children").read_text().split()


def test_an_unknown_variant_is_refused(tmp_path, path, capsys):
    out = tmp_path / "out"
    arguments = ["--variants", "no luck", "--out", out]
    assert command("experiment", "run", path, *arguments) == 2
    message = capsys.readouterr().err
    assert "no luck" in message
    assert "no owners" in message


def test_a_file_that_cannot_be_used_is_refused(tmp_path, capsys):
    path = tmp_path / "wrong.toml"
    path.write_text("name = 3")
    assert command("experiment", "run", path, "--out", tmp_path / "out") == 2
    assert "$.name" in capsys.readouterr().err


def test_a_search_reports_what_it_played(capsys):
    assert command("experiment", "search", "--days", 1, "--first", 14) == 0
    assert "1 days, 0 broke a promise" in capsys.readouterr().out


def test_a_broken_promise_ends_a_search_with_1(monkeypatch, capsys):
    def play(job):
        day = DayResult(0, 0, 0, 0, 0, 0, 0, 0, broken=("order-1 ran 2 times",))
        return PlayedDay(job.trial, day)

    monkeypatch.setattr("amaranthtally.operator.experiment.day_runs._play", play)
    assert command("experiment", "search", "--days", 2, "--jobs", 1) == 1
    assert "order-1 ran 2 times" in capsys.readouterr().out


def test_days_played_side_by_side_are_those_played_in_turn():
    trials = day_jobs([small(seconds=1.0)], [1, 2], variant_names()[:2])
    in_turn = {p.trial: p.day for p in play_days(trials, 1)}
    assert {p.trial: p.day for p in play_days(trials, 2)} == in_turn
    assert all(one.pairs == 2 for one in compare(in_turn, "policy", ["worth"]))
