"""The command ``experiment``."""

import sys
from contextlib import closing
from pathlib import Path
from typing import Annotated

import msgspec
from cyclopts import App, Parameter, validators

from amaranthtally.operator.experiment.day_commands import add_day_commands
from amaranthtally.operator.experiment.errors import PlanError
from amaranthtally.operator.experiment.plan import Plan, narrow_plan, read_plan
from amaranthtally.operator.experiment.results import Result, summarize
from amaranthtally.operator.experiment.tables import render_result
from amaranthtally.operator.experiment.trials import (
    Observation,
    plan_trials,
    run_trials,
)
from amaranthtally.operator.experiment.workers import interruptible
from amaranthtally.operator.replay.errors import TraceError

__all__ = ["register"]

EXIT_BAD_INPUT = 2
DEFAULT_WORKERS = 4


def register(app: App) -> None:
    """Add the commands to the operators' command line."""
    experiment = App(name="experiment", help="Compare variants of the policy.")
    experiment.default(run_experiment)
    add_day_commands(experiment)
    app.command(experiment)


def run_experiment(
    plan: Path,
    *,
    deployment: list[str] | None = None,
    scenario: list[str] | None = None,
    out: Path | None = None,
    workers: Annotated[int, Parameter(validator=validators.Number(gte=1))] = (
        DEFAULT_WORKERS
    ),
) -> int:
    """
    Compare variants of the policy on the same traces, over several seeds.

    Exits with 2 if the plan or a deployment cannot be used.

    Parameters
    ----------
    plan
        TOML file that names deployments, scenarios, seeds and variants.
    deployment
        Run only this deployment of the plan, by its file's name; may be repeated.
    scenario
        Run only this scenario of the plan; may be repeated.
    out
        Directory for the result as JSON and as a table, in files named like the plan.
    workers
        Number of processes that replay traces in parallel.
    """
    try:
        selected_plan = narrow_plan(
            plan, read_plan(plan), deployment or [], scenario or []
        )
        observations = _observe(selected_plan, workers)
    except (PlanError, TraceError) as error:
        sys.stderr.write(f"{error}\n")
        return EXIT_BAD_INPUT
    result = summarize(selected_plan, observations)
    table = render_result(result)
    sys.stdout.write(table)
    if out is not None:
        _write(out, plan.stem, result, table)
    return 0


def _observe(plan: Plan, workers: int) -> list[Observation]:
    total = len(plan_trials(plan))
    observations: list[Observation] = []
    with interruptible(), closing(run_trials(plan, workers)) as trial_results:
        for done, trace_observations in enumerate(trial_results, start=1):
            observations.extend(trace_observations)
            sys.stderr.write(f"\r{done}/{total} traces")
    sys.stderr.write("\n")
    return observations


def _write(out: Path, name: str, result: Result, table: str) -> None:
    out.mkdir(parents=True, exist_ok=True)
    encoded = msgspec.json.format(msgspec.json.encode(result))
    (out / f"{name}.json").write_bytes(encoded + b"\n")
    (out / f"{name}.md").write_text(table, encoding="utf-8")
