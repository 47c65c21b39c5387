"""Plans of experiments, read from TOML and checked before anything runs."""

import tomllib
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec

from amaranthtally.operator.experiment.ablations import ablations
from amaranthtally.operator.experiment.errors import PlanError
from amaranthtally.operator.experiment.variants import (
    Variant,
    get_variant,
    settings_variant,
    variant_names,
)
from amaranthtally.operator.replay.baselines import POLICY
from amaranthtally.operator.replay.report import TraceReport
from amaranthtally.operator.replay.scenarios import scenario_names
from amaranthtally.policy import PolicySettings

__all__ = ["Plan", "narrow_plan", "plan_variants", "read_plan"]

MIN_SEEDS = 2
DEFAULT_FIGURES = [
    *("attainment", "admitted_attainment", "cost_per_answer", "wasted_share"),
]
# Known from the trace or needed by the replay: a plan can't set them.
FIXED_SETTINGS = frozenset(
    {"revision", "region", "data_centre", "endpoints", "accounts", "entries"}
)


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    What an experiment runs: each variant on each deployment, scenario and seed.

    Paths of ``deployments`` start at the plan's directory. ``scenarios`` and
    ``variants`` left out mean all of them. ``settings`` defines further variants:
    a name, and values of ``PolicySettings``. With ``baselines`` the figures that
    compare with the best baseline are there too.
    """

    deployments: list[Path]
    seeds: list[int]
    scenarios: list[str] = msgspec.field(default_factory=scenario_names)
    variants: list[str] = msgspec.field(default_factory=lambda: list(ablations()))
    reference: str = POLICY
    figures: list[str] = msgspec.field(default_factory=lambda: [*DEFAULT_FIGURES])
    settings: dict[str, dict[str, Any]] = {}
    baselines: bool = False

    @property
    def compared_variants(self) -> list[str]:
        """The reference, then the variants and those that ``settings`` define."""
        others = [*self.variants, *self.settings]
        return [self.reference, *(n for n in others if n != self.reference)]


def read_plan(path: Path) -> Plan:
    """Read and check a plan; raises ``PlanError``."""
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
        plan = msgspec.convert(table, type=Plan, dec_hook=_to_path)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        remedy = "'Experiments' in docs/DESIGN.md lists the keys of a plan"
        raise PlanError(path, str(error), remedy) from error
    found = [path.parent / deployment for deployment in plan.deployments]
    plan = msgspec.structs.replace(plan, deployments=found)
    _check(path, plan)
    return plan


def narrow_plan(
    path: Path, plan: Plan, deployments: Sequence[str], scenarios: Sequence[str]
) -> Plan:
    """
    Return a part of a plan; an empty list leaves all of them in.

    Deployments go by their file's name without its ending. Raises ``PlanError``.
    """
    stems = [deployment.stem for deployment in plan.deployments]
    _check_known(path, "deployment", deployments, stems)
    _check_known(path, "scenario", scenarios, plan.scenarios)
    return msgspec.structs.replace(
        plan,
        deployments=[d for d in plan.deployments if d.stem in (deployments or stems)],
        scenarios=[s for s in plan.scenarios if s in (scenarios or plan.scenarios)],
    )


def plan_variants(plan: Plan) -> list[Variant]:
    """Return the plan's subjects, ready to run."""
    return [
        settings_variant(name, plan.settings[name])
        if name in plan.settings
        else get_variant(name)
        for name in plan.compared_variants
    ]


def _to_path(kind: type, value: object) -> Path:
    if kind is Path and isinstance(value, str):
        return Path(value)
    raise NotImplementedError(f"{kind.__name__} from {value!r}")


def _check(path: Path, plan: Plan) -> None:
    _check_known(path, "scenario", plan.scenarios, scenario_names())
    _check_known(path, "figure", plan.figures, TraceReport.outcome_figure_names())
    names = [*variant_names(), *plan.settings]
    _check_known(path, "variant", [plan.reference, *plan.variants], names)
    _check_settings(path, plan.settings)
    _check_unique(path, "deployment", plan.deployments)
    _check_unique(path, "scenario", plan.scenarios)
    _check_unique(path, "seed", plan.seeds)
    _check_unique(path, "variant", [*plan.variants, *plan.settings])
    for deployment in plan.deployments:
        if not deployment.is_file():
            remedy = "name deployment files as seen from the plan's directory"
            raise PlanError(path, f"no file {deployment}", remedy)
    if len(plan.seeds) < MIN_SEEDS:
        detail = f"{len(plan.seeds)} seeds give no interval"
        raise PlanError(path, detail, f"name {MIN_SEEDS} or more, better ten")
    if not (plan.deployments and plan.scenarios and plan.figures):
        detail = "deployments, scenarios or figures is empty"
        raise PlanError(path, detail, "name one of each or more")


def _check_known(
    path: Path, kind: str, names: Iterable[str], known: Sequence[str]
) -> None:
    unknown = sorted(set(names) - set(known))
    if unknown:
        detail = f"unknown {kind} {', '.join(unknown)}"
        raise PlanError(path, detail, f"choose from {', '.join(known)}")


def _check_unique(path: Path, kind: str, values: Sequence[object]) -> None:
    duplicates = [str(value) for value, n in Counter(values).items() if n > 1]
    if duplicates:
        detail = f"{kind} {', '.join(duplicates)} stands twice"
        raise PlanError(path, detail, "name each once: one counted twice narrows")


def _check_settings(path: Path, settings: Mapping[str, Mapping[str, Any]]) -> None:
    defaults = PolicySettings(0, "", "")
    free = [
        name for name in PolicySettings.__match_args__ if name not in FIXED_SETTINGS
    ]
    for name, values in settings.items():
        if name in variant_names():
            remedy = "give the table of settings another name"
            raise PlanError(path, f"variant {name} exists already", remedy)
        _check_known(path, f"setting of {name}", values, free)
        for key, value in values.items():
            if type(value) not in (int, float) or value < 0:
                detail = f"{key} of {name} is {value!r}"
                remedy = f"give a number from 0, such as {getattr(defaults, key)}"
                raise PlanError(path, detail, remedy)
