"""Expected outcomes, read from TOML and checked against the figures of a replay."""

import operator
import tomllib
from collections.abc import Callable
from pathlib import Path

import msgspec

from amaranthtally.operator.replay.errors import OutcomesError
from amaranthtally.operator.replay.report import TraceReport

__all__ = ["MissedOutcome", "Outcomes", "check", "read_outcomes"]


class Limit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The minimum and the maximum of a figure, both inclusive."""

    min: float | None = None
    max: float | None = None


class Outcomes(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    Limits on figures: ``all`` for every trace, ``scenario.NAME`` for one scenario.

    A scenario's limit replaces the limit on the same figure under ``all``.
    """

    all: dict[str, Limit] = {}
    scenario: dict[str, dict[str, Limit]] = {}

    def limits(self, scenario: str) -> dict[str, Limit]:
        """Return the limits that apply to a scenario."""
        return self.all | self.scenario.get(scenario, {})


class MissedOutcome(msgspec.Struct, frozen=True):
    """A figure outside its limit; ``wanted`` is the limit, such as ``>= 0.9``."""

    trace: str
    figure: str
    value: float
    wanted: str

    def __str__(self) -> str:
        return f"{self.trace}: {self.figure} is {self.value}, wanted {self.wanted}"


def read_outcomes(path: Path) -> Outcomes:
    """Read an outcomes file; raises ``OutcomesError``."""
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
        outcomes = msgspec.convert(table, type=Outcomes)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise OutcomesError(path, str(error)) from error
    scenario_figures = {
        name for limits in outcomes.scenario.values() for name in limits
    }
    unknown = (scenario_figures | set(outcomes.all)) - set(
        TraceReport.outcome_figure_names()
    )
    if unknown:
        raise OutcomesError(path, f"unknown figures {', '.join(sorted(unknown))}")
    return outcomes


def check(outcomes: Outcomes, report: TraceReport) -> list[MissedOutcome]:
    """Return the expected outcomes that a trace's report misses."""
    figures = report.outcome_figures()
    misses = []
    for name, limit in sorted(outcomes.limits(report.scenario).items()):
        value = figures[name]
        for bound, is_violation, sign in (
            (limit.min, operator.lt, ">="),
            (limit.max, operator.gt, "<="),
        ):
            if bound is not None and _violates(value, bound, is_violation):
                misses.append(
                    MissedOutcome(report.trace, name, value, f"{sign} {bound}")
                )
    return misses


def _violates(
    value: float, bound: float, is_violation: Callable[[float, float], bool]
) -> bool:
    return is_violation(value, bound)
