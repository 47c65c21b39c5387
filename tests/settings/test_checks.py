"""Batches that are refused at commit, and the remedies in the messages."""

import pytest

from amaranthtally.settings import (
    ModelReference,
    Op,
    Scope,
    Tree,
    check_ops,
    known_keys,
    required_models,
)

ENDPOINT = {
    "pool": "assessment",
    "host": "host-1",
    "region": "cluj",
    "data_centre": "cluj-1",
    "address": "127.0.0.1:9000",
    "models": ["small-1"],
}
FIRM = Scope()
ACCOUNT = Scope(account="harvest")
PIPELINE = Scope(pipeline="claims")
AT_ACCOUNT = "account:harvest/pipeline:claims"
AT_REGION = "region:cluj/pipeline:claims"
MODEL = "stage.generate.model"
DIGEST = "0" * 64


def tree():
    ops = [
        Op("pipeline:claims", "stages", ["generate"]),
        Op("pipeline:claims", "stage.generate.pool", "assessment"),
        Op("pipeline:claims", "stage.generate.model", "small-1"),
        Op("firm", "endpoint.a-1", ENDPOINT),
        Op("account:harvest", "key_sha256", DIGEST),
    ]
    assert check_ops(Tree(), ops) == []
    return Tree().apply(ops)


@pytest.mark.parametrize(
    ("scope", "key", "value", "remedy"),
    [
        ("firm", "deadlin_ms", 1, "did you mean 'deadline_ms'?"),
        ("firm", "stage.generate.modle", "x", "did you mean 'stage.generate.model'?"),
        ("firm", "deadline_ms", 0, "a whole number from 1 to 600000 in ms"),
        ("firm", "deadline_ms", True, "a whole number"),
        ("firm", "deadline_ms", "4", "a whole number"),
        ("firm", "key_sha256", DIGEST, "set it at account"),
        ("account:harvest", "drain.host-1", True, "set it at firm"),
        ("firm", "endpoint.b", {**ENDPOINT, "pol": 1}, "a table with the keys"),
        ("account:harvst", "limit.rate", 1, "did you mean 'harvest'?"),
        ("pipeline:claim", "deadline_ms", 1, "did you mean 'claims'?"),
        ("nowhere:x", "deadline_ms", 1, "write firm"),
        ("region:a/region:b", "deadline_ms", 1, "write firm"),
        ("pipeline:claims", "stages", [], "a list of names"),
        ("pipeline:claims", "stages", ["generate", "generate"], "own name"),
        ("pipeline:claims", "stages", ["generate", "rerank"], "register or undrain"),
        ("pipeline:claims", "stage.generate.pool", "asessment", "'assessment'?"),
        (
            "account:harvest/pipeline:claims",
            "stage.generate.model",
            "smal-1",
            "'small-1'?",
        ),
        (
            "region:cluj/pipeline:claims",
            "stage.generate.model",
            "big-9",
            "load it on an endpoint",
        ),
        ("firm", "drain.host-1", True, "register or undrain"),
        ("firm", "endpoint.a-1", None, "register or undrain"),
        ("firm", "endpoint.a-1", {**ENDPOINT, "models": ["x"]}, "offers model"),
        ("firm", "endpoint.a-1", {**ENDPOINT, "models": ["x@"]}, "a table with"),
        ("firm", "endpoint.a-1", {**ENDPOINT, "models": ["x", "x"]}, "each once"),
        (
            "firm",
            "endpoint.a-1",
            {**ENDPOINT, "models": ["small-1", "x"], "model_slots": 1},
            "take some off",
        ),
        ("firm", "endpoint.a-1", {**ENDPOINT, "role": "prefil"}, "a table with"),
        ("firm", "endpoint.a-1", {**ENDPOINT, "role": "prefill"}, "register or"),
        ("firm", "endpoint.a-1", {**ENDPOINT, "role": "decode"}, "register or"),
        ("pipeline:claims", MODEL, "small-1+", "BASE+ADAPTER"),
    ],
)
def test_invalid_change_is_refused_with_a_remedy(scope, key, value, remedy):
    mistakes = check_ops(tree(), [Op(scope, key, value)])
    assert mistakes
    assert remedy in str(mistakes[0])


def test_batch_is_checked_as_a_whole():
    batch = [
        Op("pipeline:claims", "stages", ["generate", "rerank"]),
        Op("firm", "endpoint.r-1", {**ENDPOINT, "pool": "rerank", "host": "host-2"}),
    ]
    assert check_ops(tree(), batch) == []
    assert check_ops(tree(), batch[:1]) != []


def test_existing_fault_does_not_block_other_changes():
    broken = tree().apply([Op("firm", "endpoint.a-1", None)])
    assert check_ops(broken, [Op("firm", "deadline_ms", 9)]) == []
    other_pool = {**ENDPOINT, "pool": "other"}
    assert check_ops(broken, [Op("firm", "endpoint.b-1", other_pool)]) == []


def test_pipeline_is_not_switched_to_a_model_that_is_not_loaded():
    """
    Guards against switching a pipeline to a registered version that no engine has
    loaded yet: every request would be refused until one has, which took ten minutes.
    """
    both = {**ENDPOINT, "models": ["small-1", "small-1@2"]}
    registered = tree().apply([Op("firm", "endpoint.a-1", both)])
    switch = [Op("pipeline:claims", MODEL, "small-1@2")]
    not_loaded_yet = check_ops(registered, switch, {"a-1": frozenset({"small-1"})})
    assert "amaranthtally endpoints" in str(not_loaded_yet) or "did you mean" in str(
        not_loaded_yet
    )
    served = {"a-1": frozenset({"small-1", "small-1@2"})}
    assert check_ops(registered, switch, served) == []
    switched = registered.apply(switch)
    unregister = [Op("firm", "endpoint.a-1", {**ENDPOINT, "models": ["small-1"]})]
    assert check_ops(switched, unregister, served) != []


def test_roles_of_a_whole_pool_cannot_change_at_once():
    second = {**ENDPOINT, "host": "host-2"}
    two_endpoints = tree().apply([Op("firm", "endpoint.a-2", second)])
    first_to_decode = Op("firm", "endpoint.a-1", {**ENDPOINT, "role": "decode"})
    second_to_decode = Op("firm", "endpoint.a-2", {**second, "role": "decode"})
    assert check_ops(two_endpoints, [first_to_decode]) == []
    assert check_ops(two_endpoints, [first_to_decode, second_to_decode]) != []


@pytest.mark.parametrize("text", ["m", "m@2", "m+a", "m-7b+a.x@2024-01"])
def test_model_reference_round_trips(text):
    assert str(ModelReference.parse(text)) == text


@pytest.mark.parametrize("text", ["", "@2", "m@", "m+", "m+@2", "m@2+a", "m a", "M"])
def test_invalid_model_reference_is_refused_with_a_remedy(text):
    with pytest.raises(ValueError, match="write BASE"):
        ModelReference.parse(text)


def test_model_is_required_if_no_other_endpoint_offers_it():
    assert required_models(tree(), "a-1") == {"small-1"}
    other_model = {**ENDPOINT, "models": ["other"]}
    assert required_models(
        tree().apply([Op("firm", "endpoint.a-1", other_model)]), "a-1"
    ) == {"small-1"}
    second = {**ENDPOINT, "host": "host-2"}
    two_hosts = tree().apply([Op("firm", "endpoint.a-2", second)])
    assert required_models(two_hosts, "a-1") == set()
    drained = two_hosts.apply([Op("firm", "drain.host-2", True)])
    assert required_models(drained, "a-1") == {"small-1"}


def test_every_key_has_a_doc_and_a_valid_default():
    for key in known_keys():
        assert key.doc
        if key.default not in (None, ""):
            scope = next(s for s in (FIRM, ACCOUNT, PIPELINE) if may_be_set(key, s))
            assert key.mistake(scope, key.default) == ""


def may_be_set(key, scope):
    return not key.placement.mistake(scope)
