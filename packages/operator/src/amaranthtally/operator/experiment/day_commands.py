"""The commands ``experiment draw``, ``experiment run`` and ``experiment search``."""

import sys
from collections.abc import Callable
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
    simulate_days,
)
from amaranthtally.operator.experiment.day_tables import (
    plot_differences,
    render_comparisons,
    render_violations,
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
from amaranthtally.simulator.draw import FAMILIES
from amaranthtally.simulator.errors import DeploymentError
from amaranthtally.simulator.faults import check_faults
from amaranthtally.simulator.mechanisms import POLICY, variant_names

__all__ = ["add_day_commands"]

EXIT_VIOLATION = 1
EXIT_BAD_INPUT = 2
EXIT_INTERRUPTED = 130
MAIN_FIGURE = "worth"
TRIAL_LOG_NAME = "days.jsonl"
# A search uses short days, because violations show soon after a fault.
SEARCH_S = 16.0
DAY_S = 24.0
DEFAULT_FAMILY = "mixed"

Count = Annotated[int, Parameter(validator=validators.Number(gte=1))]


def add_day_commands(app: App) -> None:
    """Add the commands to ``experiment``."""
    app.command(draw, name="draw")
    app.command(run, name="run")
    app.command(search, name="search")


def draw(*, seed: int, family: str = DEFAULT_FAMILY, out: Path) -> int:
    """
    Write a randomly drawn deployment and its day to a file.

    Parameters
    ----------
    family
        Family of deployments to draw from: mixed or regional.
    seed
        Seed of the draw; the same seed gives the same file.
    out
        TOML file to write.
    """
    write_deployment(out, _family(family)(seed))
    return 0


def run(
    *files: Path,
    drawn: int = 0,
    first: int = 1,
    family: str = DEFAULT_FAMILY,
    variants: list[str] | None = None,
    seconds: float = DAY_S,
    seeds: Count = 4,
    jobs: Count = 2,
    out: Path,
) -> int:
    """
    Simulate variants of the policy on the same days and compare them in pairs.

    Days that the output directory already has are not simulated again, so the same
    command continues after Ctrl-C. Exits with 1 if the policy violated an invariant, 2
    if a file or a variant cannot be used, and 130 after Ctrl-C.

    Parameters
    ----------
    files
        Deployment files in TOML.
    drawn
        Number of randomly drawn deployments to add.
    first
        Seed of the first drawn deployment; the next ones count up.
    family
        Family of deployments to draw from: mixed or regional.
    seconds
        Duration of the arrivals on drawn days, in seconds.
    variants
        Variants to compare with the policy; all variants if left out.
    seeds
        Number of days, each with its own seed, for each deployment.
    jobs
        Number of processes that simulate days in parallel.
    out
        Directory for the log of days, the table, the plot and the result as JSON.
    """
    try:
        deployments = _deployments(files, range(first, first + drawn), family, seconds)
        selected = _select_variants(variants)
    except DeploymentError as error:
        sys.stderr.write(f"{error}\n")
        return EXIT_BAD_INPUT
    out.mkdir(parents=True, exist_ok=True)
    requested_jobs = day_jobs(deployments, range(1, seeds + 1), selected)
    with interruptible():
        days, was_interrupted = _simulate_missing_days(requested_jobs, out, jobs)
    _write(out, days)
    sys.stdout.write(render_violations(days))
    if was_interrupted:
        return EXIT_INTERRUPTED
    return EXIT_VIOLATION if _policy_has_violations(days) else 0


def search(
    *,
    days: Count = 50,
    first: int = 1,
    family: str = DEFAULT_FAMILY,
    jobs: Count = 2,
) -> int:
    """
    Simulate the policy on short, randomly drawn days and report violated invariants.

    Exits with 1 if an invariant was violated.

    Parameters
    ----------
    days
        Number of days.
    first
        Seed of the first day; the next ones count up.
    family
        Family of deployments to draw from: mixed or regional.
    jobs
        Number of processes that simulate days in parallel.
    """
    draw_day = _family(family)
    drawn = [draw_day(first + n, seconds=SEARCH_S) for n in range(days)]
    requested_jobs = day_jobs(drawn, [1], [POLICY.name])
    finished: dict[DayTrial, DayResult] = {}
    console = Console(stderr=True)
    with interruptible(), closing(simulate_days(requested_jobs, jobs)) as simulation:
        for simulated in track(simulation, total=len(requested_jobs), console=console):
            finished[simulated.trial] = simulated.day
    sys.stdout.write(render_violations(finished))
    broken = sum(bool(day.broken) for day in finished.values())
    sys.stdout.write(f"{len(finished)} days, {broken} violated an invariant\n")
    return EXIT_VIOLATION if broken else 0


def _deployments(
    files: tuple[Path, ...], drawn: range, family: str, seconds: float
) -> list[Deployment]:
    from_files = [read_deployment(path) for path in files]
    for path, deployment in zip(files, from_files, strict=True):
        check_faults(path, deployment)
    deployments = from_files + [_family(family)(seed, seconds) for seed in drawn]
    if not deployments:
        remedy = "name deployment files or give --drawn"
        raise DeploymentError("experiment run", "no deployment is given", remedy)
    return deployments


def _family(name: str) -> Callable[..., Deployment]:
    check_known("experiment", "--family", name, list(FAMILIES))
    return FAMILIES[name]


def _select_variants(names: list[str] | None) -> list[str]:
    known = variant_names()
    selected = names or known
    for name in selected:
        check_known("experiment run", "--variants", name, known)
    return [POLICY.name, *(name for name in selected if name != POLICY.name)]


def _simulate_missing_days(
    requested_jobs: list[DayJob], out: Path, workers: int
) -> tuple[dict[DayTrial, DayResult], bool]:
    """Simulate the missing days; return all days and whether it was interrupted."""
    log = TrialLog(out / TRIAL_LOG_NAME)
    logged_days = log.read()
    days = {
        job.trial: logged_days[job.trial]
        for job in requested_jobs
        if job.trial in logged_days
    }
    missing = [job for job in requested_jobs if job.trial not in days]
    with (
        Progress(console=Console(stderr=True)) as progress,
        closing(simulate_days(missing, workers)) as simulation,
    ):
        task = progress.add_task("days", total=len(requested_jobs), completed=len(days))
        try:
            for simulated in simulation:
                log.add(simulated)
                days[simulated.trial] = simulated.day
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


def _policy_has_violations(days: dict[DayTrial, DayResult]) -> bool:
    return any(
        day.broken for trial, day in days.items() if trial.variant == POLICY.name
    )
