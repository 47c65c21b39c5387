"""Home regions and evacuations in the settings tree."""

import pytest

from amaranthtally.daemon.entry.pipelines import PolicySettingsBuilder
from amaranthtally.settings import Op, SettingsView, Tree, check_ops
from tests.settings.test_checks import DIGEST, ENDPOINT, tree

HOMES = "home_regions"
ACCOUNT, PIPELINE = "account:harvest", "pipeline:claims"


def two_regions():
    iasi = {**ENDPOINT, "region": "iasi", "data_centre": "iasi-1", "host": "host-2"}
    return tree().apply([Op("firm", "endpoint.a-2", iasi)])


@pytest.mark.parametrize(
    ("scope", "key", "value", "remedy"),
    [
        (ACCOUNT, HOMES, ["iasy"], "did you mean 'iasi'?"),
        (ACCOUNT, HOMES, [], "a list of names"),
        ("firm", HOMES, ["iasi"], "set it at account or pipeline"),
        (f"{ACCOUNT}/{PIPELINE}", HOMES, ["iasi"], "set it at account or pipeline"),
        ("firm", "evacuate.iasi-9", True, "did you mean 'iasi-1'?"),
        (ACCOUNT, "evacuate.iasi-1", True, "set it at firm"),
    ],
)
def test_an_invalid_place_is_refused_with_a_remedy(scope, key, value, remedy):
    mistakes = check_ops(two_regions(), [Op(scope, key, value)])
    assert remedy in str(mistakes[0])


@pytest.mark.parametrize("order", [1, -1], ids=["account-first", "pipeline-first"])
def test_homes_that_exclude_each_other_are_refused_and_both_named(order):
    """Guards against an account whose requests no region may serve."""
    ops = [Op(ACCOUNT, HOMES, ["iasi"]), Op(PIPELINE, HOMES, ["cluj"])][::order]
    first = two_regions().apply(ops[:1])
    (mistake,) = check_ops(first, ops[1:])
    assert "'harvest'" in mistake.detail
    assert "'claims'" in mistake.detail
    assert check_ops(first, [Op(ops[1].scope, HOMES, ["cluj", "iasi"])]) == []


def test_homes_that_exclude_each_other_do_not_block_other_changes():
    broken = two_regions().apply(
        [Op(ACCOUNT, HOMES, ["iasi"]), Op(PIPELINE, HOMES, ["cluj"])]
    )
    assert check_ops(broken, [Op("firm", "deadline_ms", 9)]) == []


def test_the_last_data_centre_may_be_evacuated():
    """Guards against an emergency that waits for another data centre to be added."""
    assert check_ops(tree(), [Op("firm", "evacuate.cluj-1", True)]) == []


def test_entries_get_homes_and_evacuations():
    changed = two_regions().apply(
        [
            Op(ACCOUNT, HOMES, ["iasi"]),
            Op(PIPELINE, HOMES, ["cluj", "iasi"]),
            Op("firm", "evacuate.cluj-1", True),
            Op("firm", "evacuate.iasi-1", False),
        ]
    )
    built = PolicySettingsBuilder("cluj", "cluj-1").build(SettingsView(changed))
    assert built.evacuated == {"cluj-1"}
    assert built.homes.allowed("claims", "harvest") == {"iasi"}
    assert built.homes.allowed("claims", "other") == {"cluj", "iasi"}
    assert built.homes.allowed("other", "other") is None


def test_an_empty_tree_has_neither():
    view = SettingsView(Tree().apply([Op("account:a", "key_sha256", DIGEST)]))
    built = PolicySettingsBuilder("cluj", "cluj-1").build(view)
    assert built.evacuated == frozenset()
    assert built.homes.allowed("claims", "a") is None
