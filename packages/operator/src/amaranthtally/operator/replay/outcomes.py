"""Stated outcomes, read from TOML and checked against the figures of a replay."""

import operator
import tomllib
from collections.abc import Callable
from pathlib import Path

import msgspec

from amaranthtally.operator.replay.errors import OutcomesError
from amaranthtally.operator.replay.report import TraceReport

__all__ = ["MissedOutcome", "Outcomes", "check", "read_outcomes"]


class Limit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The least and the most that a figure may be."""

    min: float | None = None
    max: float | None = None


class Outcomes(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    What a trace must show: ``all`` for every trace, ``scenario.NAME`` for one.

    A limit under a scenario replaces the one of the same name under ``all``.
    """

    all: dict[str, Limit] = {}
    scenario: dict[str, dict[str, Limit]] = {}

    def limits(self, scenario: str) -> dict[str, Limit]:
        """Return the limits that hold for a scenario."""
        return self.all | self.scenario.get(scenario, {})


class MissedOutcome(msgspec.Struct, frozen=True):
    """An outcome that was not reached."""

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
    named = {name for limits in outcomes.scenario.values() for name in limits}
    unknown = (named | set(outcomes.all)) - set(TraceReport.outcome_figure_names())
    if unknown:
        raise OutcomesError(path, f"unknown figures {', '.join(sorted(unknown))}")
    return outcomes


def check(outcomes: Outcomes, report: TraceReport) -> list[MissedOutcome]:
    """Return the outcomes that a trace's report misses."""
    stated = report.outcome_figures()
    misses = []
    for name, limit in sorted(outcomes.limits(report.scenario).items()):
        value = stated[name]
        for wanted, beyond, sign in (
            (limit.min, operator.lt, ">="),
            (limit.max, operator.gt, "<="),
        ):
            if wanted is not None and _is_beyond(value, wanted, beyond):
                misses.append(
                    MissedOutcome(report.trace, name, value, f"{sign} {wanted}")
                )
    return misses


def _is_beyond(
    value: float, wanted: float, beyond: Callable[[float, float], bool]
) -> bool:
    return beyond(value, wanted)
