"""Fair shares in simulated overload."""

from dataclasses import replace

import pytest

from amaranthtally.simulator.days import simulate
from amaranthtally.simulator.mechanisms import POLICY
from amaranthtally.simulator.variants import with_settings
from tests.simulator.support import fault, small_deployment

SHARES = with_settings(lambda settings: replace(settings, fair_shares=True))
# Most that a deployment may lose by a feature, of what its requests are worth.
MOST_LOST = 0.03


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_shares_cost_an_only_account_nothing(seed):
    """Guards against rising load that is taken for an account above its share."""
    burst = fault("burst", "claim", length=12.0, factor=8.0)
    earned = {}
    for name, variant in (("off", POLICY), ("on", SHARES)):
        day = simulate(small_deployment(burst, seconds=20.0), seed, variant)
        records = day.callers.records
        worth = sum(record.worth for record in records)
        earned[name] = sum(record.earned for record in records) / worth
        assert not day.invariants.violations
    assert earned["off"] < 0.9, "the burst is an overload"
    assert earned["on"] >= earned["off"] - MOST_LOST, earned
