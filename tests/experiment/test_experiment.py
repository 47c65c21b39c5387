"""Intervals, the effect of each ablation, and reproducible results."""

import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from amaranthtally.operator.experiment.ablations import ablations
from amaranthtally.operator.experiment.intervals import estimate, paired_difference
from amaranthtally.operator.experiment.plan import Plan
from amaranthtally.operator.experiment.results import Result, summarize
from amaranthtally.operator.experiment.trials import Observation
from amaranthtally.operator.experiment.variants import get_variant
from amaranthtally.operator.replay.measures import measure
from amaranthtally.operator.replay.scenarios import make_trace
from amaranthtally.operator.replay.simulation import replay
from amaranthtally.operator.replay.trace import Fault, FaultKind, Trace

ROOT = Path(__file__).parent.parent.parent
DEPLOYMENT = ROOT / "examples" / "agrosalv.toml"
SEED = 7
START_S, END_S = 6.0, 12.5


def test_interval_follows_students_t():
    # Mean 3, standard deviation sqrt(2.5), 4 degrees of freedom: 2.7764 * 0.7071.
    interval = estimate([1.0, 2.0, 3.0, 4.0, 5.0])
    assert interval.mean == 3.0
    assert interval.half_width == pytest.approx(1.9633, abs=1e-4)
    assert interval.excludes_zero
    assert not estimate([-1.0, 1.0]).excludes_zero
    assert estimate([float(i % 2) for i in range(60)]).half_width > 0.0


def test_paired_interval_is_narrower_than_unpaired():
    reference = [0.1, 0.5, 0.9]
    variant = [0.12, 0.53, 0.91]
    paired = paired_difference(variant, reference)
    assert paired.mean == pytest.approx(0.02)
    assert paired.half_width == pytest.approx(0.0248, abs=1e-4)
    assert estimate(variant).half_width > 20 * paired.half_width
    with pytest.raises(ValueError, match="zip"):
        paired_difference(variant, reference[:2])


def test_mean_over_scenarios_is_calculated_per_seed():
    values = {("steady", 1): 0.0, ("burst", 1): 1.0, ("steady", 2): 2.0}
    values["burst", 2] = 3.0
    observations = [
        Observation("d", scenario, seed, name, {"attainment": value + offset})
        for (scenario, seed), value in values.items()
        for name, offset in (("policy", 0.0), ("admit all", 0.5))
    ]
    plan = Plan([], [1, 2], ["steady", "burst"], ["admit all"], figures=["attainment"])
    result = summarize(plan, observations)
    mean = result.find("d", "mean", "admit all", "attainment")
    assert mean.values == [1.0, 3.0]
    assert (mean.mean, mean.difference, mean.difference_half) == (2.0, 0.5, 0.0)
    assert mean.clear
    assert not result.find("d", "burst", "policy", "attainment").clear


def flood_trace_with_failures():
    """Return part of a flood trace during which all engines also fail for a second."""
    trace = make_trace(DEPLOYMENT, "flood", SEED)
    engines = [e.id for e in trace.header.endpoints if e.pool == "assessment"]
    failing = Fault(FaultKind.FAILING, 10.4, 11.4, endpoints=engines)
    faults = [*trace.header.faults, failing]
    header = msgspec.structs.replace(trace.header, duration_s=END_S, faults=faults)
    return Trace(header, [a for a in trace.arrivals if START_S <= a.at < END_S])


def figures(trace, name):
    variant = get_variant(name)
    adapted = Trace(variant.adapt(trace.header), trace.arrivals)
    recorder = replay(adapted, variant.contender)
    return measure("", trace.header, recorder, "assessment")


def test_every_ablation_changes_the_figures():
    # An ablation overrides methods of the policy. If the policy no longer calls such a
    # method, the experiment compares the policy with itself and the decision seems to
    # have no effect.
    trace = flood_trace_with_failures()
    policy = figures(trace, "policy")
    unchanged = [name for name in ablations() if figures(trace, name) == policy]
    assert unchanged == []


def test_result_is_the_same_for_any_number_of_workers(tmp_path):
    plan = tmp_path / "tiny.toml"
    plan.write_text(
        f'deployments = ["{DEPLOYMENT}"]\nseeds = [1, 2]\nscenarios = ["failing"]\n'
        'variants = []\nsettings."few hedges".hedge_budget = 0.01\n'
    )
    outputs = []
    for workers in ("1", "2"):
        out = tmp_path / workers
        arguments = ("experiment", str(plan), "--out", str(out), "--workers", workers)
        run = run_command(*arguments)
        assert run.returncode == 0, run.stderr
        assert run.stdout == (out / "tiny.md").read_text()
        outputs.append((out / "tiny.json").read_bytes())
    assert outputs[0] == outputs[1]
    result = msgspec.json.decode(outputs[0], type=Result)
    assert result.variants == ["policy", "few hedges"]

    plan.write_text("seeds = []\n")
    invalid = run_command("experiment", str(plan))
    assert invalid.returncode == 2
    assert "lists the keys of a plan" in invalid.stderr


def run_command(*arguments):
    command = [sys.executable, "-m", "amaranthtally.operator.main", *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False)
