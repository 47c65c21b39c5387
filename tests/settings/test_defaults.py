"""Defaults shown by ``explain`` are the defaults that the policy uses."""

from amaranthtally.daemon.entry.pipelines import PipelineResolver, PolicySettingsBuilder
from amaranthtally.policy import PolicySettings
from amaranthtally.settings import Change, Op, SettingsView, Tree
from amaranthtally.settings.keys import find_key

REGION = "cluj"


def default_of(name):
    return find_key(name).default


def test_unset_keys_have_the_documented_default():
    """
    Guards against defaults that are defined twice and changed in one place only:
    `explain` showed an admission headroom of 0.8 of the deadline, while entries
    admitted requests by 0.75.
    """
    change = Change(1, "c1", "ana", "", "", [Op("pipeline:p", "stages", ["s"])])
    view = SettingsView(Tree().fold(change))
    built = PolicySettingsBuilder(REGION, "cluj-1").build(view)
    assert built.admission_headroom == default_of("admission.headroom")
    assert built.retry_budget == default_of("retry.budget")
    assert built.hedge_budget == default_of("hedge.budget")
    assert built.entries == default_of("entries")
    assert built.traffic_price_per_gb == default_of("traffic.price_per_gb")
    assert built.region_latency_s == default_of("region.latency_ms") / 1000
    assert built == PolicySettings(1, REGION, "cluj-1")

    pipeline = PipelineResolver(view, REGION).resolve("farm", "p")
    assert pipeline.deadline_s == default_of("deadline_ms") / 1000
    assert pipeline.weight_attainment == default_of("weight.attainment")
    (stage,) = pipeline.stages
    assert stage.pool == "s"
    assert stage.price_per_s == default_of("stage.NAME.price_per_s")


def test_an_endpoints_software_version_reaches_the_policy():
    """Guards against streams of entries that go on at another software version."""
    registration = {
        "pool": "engines",
        "host": "h1",
        "region": REGION,
        "data_centre": "cluj-1",
        "address": "127.0.0.1:1",
        "version": "v1.1",
    }
    change = Change(1, "c1", "ana", "", "", [Op("firm", "endpoint.e1", registration)])
    view = SettingsView(Tree().fold(change))
    built = PolicySettingsBuilder(REGION, "cluj-1").build(view)
    assert built.endpoints["e1"].version == "v1.1"
