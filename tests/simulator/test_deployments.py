"""Tests of deployment files and of random deployments."""

import msgspec
import pytest

from amaranthtally.simulator.deployment import (
    check_deployment,
    read_deployment,
    write_deployment,
)
from amaranthtally.simulator.draw import draw_deployment
from amaranthtally.simulator.errors import DeploymentError
from amaranthtally.simulator.faults import check_faults, fault_kinds
from tests.simulator.support import EXAMPLES


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_example_deployments_are_valid(path):
    check_faults(path, read_deployment(path))


@pytest.mark.parametrize("seed", range(20))
def test_a_random_deployment_survives_writing_and_reading(tmp_path, seed):
    drawn = draw_deployment(seed)
    path = tmp_path / "drawn.toml"
    write_deployment(path, drawn)
    assert read_deployment(path) == drawn == draw_deployment(seed)
    check_faults(path, drawn)


def test_random_days_have_every_kind_of_fault():
    drawn = {f.kind for seed in range(200) for f in draw_deployment(seed).faults}
    assert drawn == set(fault_kinds())


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ("rate = 4.6", 'rate = "many"', "$.kinds[0].rate"),
        ("seconds = 30.0", "secnds = 30.0", "secnds"),
        ('pool = "engines"', 'pool = "engine"', "kinds[0].pool"),
        ("objective_s = 1.8", "objective_s = 18.0", "kinds[0].objective_s"),
        ('pool = "catalogue"', 'pool = "desk"', "kinds[0].stages[0].pool"),
        ('kind = "burst"', 'kind = "flood"', "faults[0].kind"),
    ],
)
def test_the_error_names_the_invalid_field(tmp_path, old, new, named):
    text = next(path for path in EXAMPLES if path.stem == "fleet").read_text()
    assert old in text
    path = tmp_path / "wrong.toml"
    path.write_text(text.replace(old, new, 1))
    with pytest.raises(DeploymentError) as caught:
        check_faults(path, read_deployment(path))
    assert named in str(caught.value)
    assert str(path) in str(caught.value)


def test_a_stage_may_only_depend_on_earlier_stages():
    drawn = draw_deployment(1)
    kind = next(kind for kind in drawn.kinds if len(kind.stages) > 1)
    stages = tuple(msgspec.structs.replace(s, after=(9,)) for s in kind.stages)
    wrong = msgspec.structs.replace(
        drawn, kinds=(msgspec.structs.replace(kind, stages=stages),)
    )
    with pytest.raises(DeploymentError, match="after"):
        check_deployment("drawn", wrong)
