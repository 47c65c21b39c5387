"""Plans are validated before any trial runs; each message says what to correct."""

from pathlib import Path

import pytest

from amaranthtally.operator.experiment.errors import PlanError
from amaranthtally.operator.experiment.plan import narrow_plan, read_plan

ROOT = Path(__file__).parent.parent.parent
VALID = f'deployments = ["{ROOT}/examples/agrosalv.toml"]\nseeds = [1, 2]\n'

INVALID = {
    "seeds = [1, 2": "'Experiments' in docs/DESIGN.md",
    VALID + "seed = 3": "unknown field `seed`",
    VALID.replace("[1, 2]", "[1]"): "1 seeds give no interval; name 2 or more",
    VALID.replace(
        "[1, 2]", "[1, 1]"
    ): "seed 1 is listed more than once; name each once",
    VALID.replace("agrosalv", "agro"): "agro.toml; name deployment files",
    VALID + 'scenarios = ["calm"]': "unknown scenario calm; choose from steady,",
    VALID + "scenarios = []": "scenarios or figures is empty; name one",
    VALID + 'variants = ["no hedge"]': "unknown variant no hedge; choose from policy,",
    VALID + 'reference = "thin"': "unknown variant thin; choose from policy,",
    VALID + 'figures = ["god"]': "unknown figure god; choose from admitted,",
    VALID + "settings.a.headroom = 1": "setting of a headroom; choose from traffic",
    VALID + "settings.a.region = 1": "setting of a region; choose from traffic",
    VALID + "settings.a.hedge_budget = '1'": "give a number from 0, such as 0.05",
    VALID + "settings.a.hedge_budget = -1": "give a number from 0, such as 0.05",
    VALID
    + 'settings."no hedges".hedge_budget = 0': "give the table of settings another",
}


def write_plan(tmp_path, text):
    path = tmp_path / "plan.toml"
    path.write_text(text, encoding="utf-8")
    return path


@pytest.mark.parametrize(("text", "message"), INVALID.items())
def test_message_for_an_invalid_plan_says_what_to_correct(tmp_path, text, message):
    path = write_plan(tmp_path, text)
    with pytest.raises(PlanError) as raised:
        read_plan(path)
    assert str(raised.value).startswith(f"{path}: ")
    assert message in str(raised.value)


def test_message_for_a_missing_plan_refers_to_the_documentation(tmp_path):
    with pytest.raises(PlanError, match="lists the keys of a plan"):
        read_plan(tmp_path / "none.toml")


def test_plan_has_default_lists_and_can_be_narrowed(tmp_path):
    path = write_plan(tmp_path, VALID)
    plan = read_plan(path)
    assert len(plan.scenarios) == 8
    assert plan.compared_variants[:2] == ["policy", "equal shares"]

    narrowed = narrow_plan(path, plan, ["agrosalv"], ["burst"])
    assert narrowed.scenarios == ["burst"]
    assert narrowed.deployments == plan.deployments
    with pytest.raises(PlanError, match="unknown deployment qoryq; choose from agro"):
        narrow_plan(path, plan, ["qoryq"], [])
