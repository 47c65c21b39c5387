"""What the shared view of loads costs and knows, by a model without a network."""

import pytest

from amaranthtally.policy.load_view.exchange import MAX_ENTRIES
from amaranthtally.policy.load_view.partners import BYTES_PER_S
from bench.load_fleet import Fleet
from bench.load_traffic import Traffic, queue_variance


@pytest.mark.parametrize("entries", [6, 25, 68])
def test_an_entry_keeps_to_its_bytes_for_control_and_knows_the_calls(entries):
    """Guards against control traffic that grows with the fleet."""
    traffic = Traffic(entries)
    _, most, _, _ = traffic.figures(4.0)
    error, mean = traffic.errors()
    assert most < BYTES_PER_S
    assert error < 0.5 * max(1.0, mean)


def test_a_fleet_that_is_too_large_for_the_budget_exchanges_nothing():
    """Guards against relays of large fleets that send more than they have for it."""
    fleet = Fleet(MAX_ENTRIES + 1, 6)
    fleet.set_calls("g1", "e1", 9)
    fleet.run(2.0)
    assert fleet.messages == 0
    assert fleet.find("g0", "e1").weight == 0.0


def test_choices_among_a_few_by_a_late_view_do_not_herd():
    """Guards against entries that all send to the endpoint that was idle before."""

    def of_two(random, seen, now, own):
        drawn = random.sample(range(len(seen)), 2)
        return min(drawn, key=lambda e: max(seen[e], own[e]))

    def best(random, seen, now, own):
        return min(range(len(now)), key=lambda e: (now[e], random.random()))

    anywhere = queue_variance(lambda random, seen, now, own: random.randrange(64))
    shared, oracle = queue_variance(of_two), queue_variance(best)
    assert oracle < shared < anywhere
