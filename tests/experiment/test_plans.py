"""Plans are checked before anything runs; each message says what to write."""

from pathlib import Path

import pytest

from amaranthtally.operator.experiment.errors import PlanError
from amaranthtally.operator.experiment.plan import narrow_plan, read_plan

ROOT = Path(__file__).parent.parent.parent
GOOD = f'deployments = ["{ROOT}/examples/agrosalv.toml"]\nseeds = [1, 2]\n'

WRONG = {
    "seeds = [1, 2": "'Experiments' in docs/DESIGN.md",
    GOOD + "seed = 3": "unknown field `seed`",
    GOOD.replace("[1, 2]", "[1]"): "1 seeds give no interval; name 2 or more",
    GOOD.replace("[1, 2]", "[1, 1]"): "seed 1 stands twice; name each once",
    GOOD.replace("agrosalv", "agro"): "agro.toml; name deployment files",
    GOOD + 'scenarios = ["calm"]': "unknown scenario calm; choose from steady,",
    GOOD + "scenarios = []": "scenarios or figures is empty; name one",
    GOOD + 'variants = ["no hedge"]': "unknown variant no hedge; choose from policy,",
    GOOD + 'reference = "thin"': "unknown variant thin; choose from policy,",
    GOOD + 'figures = ["god"]': "unknown figure god; choose from admitted,",
    GOOD + "settings.a.headroom = 1": "setting of a headroom; choose from traffic",
    GOOD + "settings.a.region = 1": "setting of a region; choose from traffic",
    GOOD + "settings.a.hedge_budget = '1'": "give a number from 0, such as 0.05",
    GOOD + "settings.a.hedge_budget = -1": "give a number from 0, such as 0.05",
    GOOD
    + 'settings."no hedges".hedge_budget = 0': "give the table of settings another",
}


def write(tmp_path, text):
    path = tmp_path / "plan.toml"
    path.write_text(text, encoding="utf-8")
    return path


@pytest.mark.parametrize(("text", "message"), WRONG.items())
def test_a_wrong_plan_names_its_remedy(tmp_path, text, message):
    path = write(tmp_path, text)
    with pytest.raises(PlanError) as caught:
        read_plan(path)
    assert str(caught.value).startswith(f"{path}: ")
    assert message in str(caught.value)


def test_a_missing_plan_names_its_remedy(tmp_path):
    with pytest.raises(PlanError, match="lists the keys of a plan"):
        read_plan(tmp_path / "none.toml")


def test_a_plan_is_whole_without_lists_and_can_be_narrowed(tmp_path):
    path = write(tmp_path, GOOD)
    plan = read_plan(path)
    assert len(plan.scenarios) == 8
    assert plan.compared_variants[:2] == ["policy", "equal shares"]

    part = narrow_plan(path, plan, ["agrosalv"], ["burst"])
    assert part.scenarios == ["burst"]
    assert part.deployments == plan.deployments
    with pytest.raises(PlanError, match="unknown deployment qoryq; choose from agro"):
        narrow_plan(path, plan, ["qoryq"], [])
