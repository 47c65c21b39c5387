"""Experiment plans, read from TOML and validated before any trial runs."""

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
# A plan cannot set these: the trace defines them or the replay needs them.
FIXED_SETTINGS = frozenset(
    {"revision", "region", "data_centre", "endpoints", "accounts", "entries"}
)


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    An experiment: each variant runs on each deployment, scenario and seed.

    Paths in ``deployments`` are relative to the plan's directory. ``scenarios`` and
    ``variants`` default to all. ``settings`` defines additional variants: it maps a
    name to values of ``PolicySettings``. With ``baselines``, the baselines run as well,
    so that the figures relative to the best baseline are available.
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
        """The reference, then ``variants``, then the variants from ``settings``."""
        others = [*self.variants, *self.settings]
        return [self.reference, *(n for n in others if n != self.reference)]


def read_plan(path: Path) -> Plan:
    """Read and validate a plan; raises ``PlanError``."""
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
        plan = msgspec.convert(table, type=Plan, dec_hook=_to_path)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        remedy = "'Experiments' in docs/DESIGN.md lists the keys of a plan"
        raise PlanError(path, str(error), remedy) from error
    deployments = [path.parent / deployment for deployment in plan.deployments]
    plan = msgspec.structs.replace(plan, deployments=deployments)
    _validate(path, plan)
    return plan


def narrow_plan(
    path: Path, plan: Plan, deployments: Sequence[str], scenarios: Sequence[str]
) -> Plan:
    """
    Return a plan restricted to some deployments and scenarios.

    An empty list selects all. A deployment's name is its file's name without the
    suffix. Raises ``PlanError`` for an unknown name.
    """
    stems = [deployment.stem for deployment in plan.deployments]
    _check_names(path, "deployment", deployments, stems)
    _check_names(path, "scenario", scenarios, plan.scenarios)
    return msgspec.structs.replace(
        plan,
        deployments=[d for d in plan.deployments if d.stem in (deployments or stems)],
        scenarios=[s for s in plan.scenarios if s in (scenarios or plan.scenarios)],
    )


def plan_variants(plan: Plan) -> list[Variant]:
    """Return the plan's compared variants, ready to run."""
    return [
        settings_variant(name, plan.settings[name])
        if name in plan.settings
        else get_variant(name)
        for name in plan.compared_variants
    ]


def _to_path(kind: type, value: object) -> Path:
    if kind is Path and isinstance(value, str):
        return Path(value)
    raise NotImplementedError(f"no conversion to {kind.__name__} from {value!r}")


def _validate(path: Path, plan: Plan) -> None:
    _check_names(path, "scenario", plan.scenarios, scenario_names())
    _check_names(path, "figure", plan.figures, TraceReport.outcome_figure_names())
    names = [*variant_names(), *plan.settings]
    _check_names(path, "variant", [plan.reference, *plan.variants], names)
    _check_settings(path, plan.settings)
    _check_unique(path, "deployment", plan.deployments)
    _check_unique(path, "scenario", plan.scenarios)
    _check_unique(path, "seed", plan.seeds)
    _check_unique(path, "variant", [*plan.variants, *plan.settings])
    for deployment in plan.deployments:
        if not deployment.is_file():
            remedy = "name deployment files relative to the plan's directory"
            raise PlanError(path, f"no file {deployment}", remedy)
    if len(plan.seeds) < MIN_SEEDS:
        detail = f"{len(plan.seeds)} seeds give no interval"
        raise PlanError(path, detail, f"name {MIN_SEEDS} or more, preferably ten")
    if not (plan.deployments and plan.scenarios and plan.figures):
        detail = "deployments, scenarios or figures is empty"
        raise PlanError(path, detail, "name one or more of each")


def _check_names(
    path: Path, kind: str, names: Iterable[str], known: Sequence[str]
) -> None:
    unknown = sorted(set(names) - set(known))
    if unknown:
        detail = f"unknown {kind} {', '.join(unknown)}"
        raise PlanError(path, detail, f"choose from {', '.join(known)}")


def _check_unique(path: Path, kind: str, values: Sequence[object]) -> None:
    duplicates = [str(value) for value, n in Counter(values).items() if n > 1]
    if duplicates:
        detail = f"{kind} {', '.join(duplicates)} is listed more than once"
        raise PlanError(
            path, detail, "name each once: a duplicate makes the intervals too narrow"
        )


def _check_settings(path: Path, settings: Mapping[str, Mapping[str, Any]]) -> None:
    defaults = PolicySettings(0, "", "")
    allowed = [
        name for name in PolicySettings.__match_args__ if name not in FIXED_SETTINGS
    ]
    for name, values in settings.items():
        if name in variant_names():
            remedy = "give the table of settings another name"
            raise PlanError(path, f"variant {name} already exists", remedy)
        _check_names(path, f"setting of {name}", values, allowed)
        for key, value in values.items():
            if type(value) not in (int, float) or value < 0:
                detail = f"{key} of {name} is {value!r}"
                remedy = f"give a number from 0, such as {getattr(defaults, key)}"
                raise PlanError(path, detail, remedy)
