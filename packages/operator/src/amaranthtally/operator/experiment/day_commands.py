"""The commands ``experiment draw``, ``experiment run`` and ``experiment search``."""

import sys
from contextlib import closing
from pathlib import Path
from typing import Annotated

import msgspec
from cyclopts import App, Parameter, validators
from rich.console import Console
from rich.progress import Progress, track

from amaranthtally.operator.experiment.day_runs import (
    DayJob,
    compare,
    day_jobs,
    play_days,
)
from amaranthtally.operator.experiment.day_tables import (
    plot_differences,
    render_broken,
    render_comparisons,
)
from amaranthtally.operator.experiment.trial_log import DayTrial, TrialLog
from amaranthtally.operator.experiment.workers import interruptible
from amaranthtally.simulator.days import DayResult, figure_names
from amaranthtally.simulator.deployment import (
    Deployment,
    check_known,
    read_deployment,
    write_deployment,
)
from amaranthtally.simulator.draw import draw_deployment
from amaranthtally.simulator.errors import DeploymentError
from amaranthtally.simulator.faults import check_faults
from amaranthtally.simulator.mechanisms import POLICY, variant_names

__all__ = ["add_day_commands"]

EXIT_BROKEN = 1
EXIT_BAD_INPUT = 2
EXIT_INTERRUPTED = 130
MAIN_FIGURE = "worth"
LOG_NAME = "days.jsonl"
# Drawn days that are searched are short: what breaks shows soon after a fault.
SEARCH_S = 16.0
DAY_S = 24.0

Count = Annotated[int, Parameter(validator=validators.Number(gte=1))]


def add_day_commands(app: App) -> None:
    """Add the commands to ``experiment``."""
    app.command(draw, name="draw")
    app.command(run, name="run")
    app.command(search, name="search")


def draw(*, seed: int, out: Path) -> int:
    """
    Write a deployment and a day that are drawn from a seed.

    Parameters
    ----------
    seed
        The same seed gives the same file.
    out
        TOML file to write.
    """
    write_deployment(out, draw_deployment(seed))
    return 0


def run(
    *files: Path,
    drawn: int = 0,
    first: int = 1,
    variants: list[str] | None = None,
    seconds: float = DAY_S,
    seeds: Count = 4,
    jobs: Count = 2,
    out: Path,
) -> int:
    """
    Play variants of the policy on the same days, and compare them pair by pair.

    Days that the directory has already are not played again; after Ctrl-C the same
    command goes on. Exits with 1 where a promise was broken, 2 where a file or a
    variant cannot be used, 130 after Ctrl-C.

    Parameters
    ----------
    files
        Deployments as TOML.
    drawn
        As many drawn deployments beside them.
    first
        Seed of the first drawn one.
    seconds
        How long requests come on drawn days.
    variants
        Variants to compare with the policy; all of them where left out.
    seeds
        Days of each deployment.
    jobs
        Processes that play days side by side.
    out
        Directory for the days, the table, the plot and the result as JSON.
    """
    try:
        deployments = _deployments(files, range(first, first + drawn), seconds)
        chosen = _chosen(variants)
    except DeploymentError as error:
        sys.stderr.write(f"{error}\n")
        return EXIT_BAD_INPUT
    out.mkdir(parents=True, exist_ok=True)
    wanted = day_jobs(deployments, range(1, seeds + 1), chosen)
    with interruptible():
        days, was_interrupted = _play(wanted, out, jobs)
    _write(out, days)
    sys.stdout.write(render_broken(days))
    if was_interrupted:
        return EXIT_INTERRUPTED
    return EXIT_BROKEN if _reference_broke(days) else 0


def search(*, days: Count = 50, first: int = 1, jobs: Count = 2) -> int:
    """
    Play short drawn days of the policy, and report each promise that is broken.

    Exits with 1 where one was.

    Parameters
    ----------
    days
        How many days.
    first
        Seed of the first one.
    jobs
        Processes that play days side by side.
    """
    drawn = [draw_deployment(first + n, seconds=SEARCH_S) for n in range(days)]
    wanted = day_jobs(drawn, [1], [POLICY.name])
    found: dict[DayTrial, DayResult] = {}
    console = Console(stderr=True)
    with interruptible(), closing(play_days(wanted, jobs)) as playing:
        for played in track(playing, total=len(wanted), console=console):
            found[played.trial] = played.day
    sys.stdout.write(render_broken(found))
    broken = sum(bool(day.broken) for day in found.values())
    sys.stdout.write(f"{len(found)} days, {broken} broke a promise\n")
    return EXIT_BROKEN if broken else 0


def _deployments(
    files: tuple[Path, ...], drawn: range, seconds: float
) -> list[Deployment]:
    read = [read_deployment(path) for path in files]
    for path, deployment in zip(files, read, strict=True):
        check_faults(path, deployment)
    found = read + [draw_deployment(seed, seconds) for seed in drawn]
    if not found:
        remedy = "name files or give --drawn"
        raise DeploymentError("experiment run", "there is no deployment", remedy)
    return found


def _chosen(names: list[str] | None) -> list[str]:
    known = variant_names()
    wanted = names or known
    for name in wanted:
        check_known("experiment run", "--variants", name, known)
    return [POLICY.name, *(name for name in wanted if name != POLICY.name)]


def _play(
    wanted: list[DayJob], out: Path, workers: int
) -> tuple[dict[DayTrial, DayResult], bool]:
    """Play what the directory lacks; return all days, and whether it was cut short."""
    log = TrialLog(out / LOG_NAME)
    before = log.read()
    days = {job.trial: before[job.trial] for job in wanted if job.trial in before}
    missing = [job for job in wanted if job.trial not in days]
    with (
        Progress(console=Console(stderr=True)) as progress,
        closing(play_days(missing, workers)) as playing,
    ):
        task = progress.add_task("days", total=len(wanted), completed=len(days))
        try:
            for played in playing:
                log.add(played)
                days[played.trial] = played.day
                progress.advance(task)
        except KeyboardInterrupt:
            return days, True
    return days, False


def _write(out: Path, days: dict[DayTrial, DayResult]) -> None:
    comparisons = compare(days, POLICY.name, figure_names())
    table = render_comparisons(comparisons, MAIN_FIGURE)
    sys.stdout.write(table)
    (out / "table.md").write_text(table, encoding="utf-8")
    encoded = msgspec.json.format(msgspec.json.encode(comparisons))
    (out / "comparisons.json").write_bytes(encoded + b"\n")
    if comparisons:
        plot_differences(comparisons, MAIN_FIGURE, out / "differences.svg")


def _reference_broke(days: dict[DayTrial, DayResult]) -> bool:
    return any(
        day.broken for trial, day in days.items() if trial.variant == POLICY.name
    )
