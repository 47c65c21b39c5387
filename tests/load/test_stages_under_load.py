"""
Who waits and who is refused where stages bind, on the load of the users' sheets.

Patterns: a calm day; a burst of long claims, 2.6 times for six seconds; a burst of
everything beyond what the endpoints can do. Bounds come from the aims, not from what
was measured.
"""

import pytest

from tests.load.stage_world import CLAIMS, LOOKUPS, StageWorld

CALM_S = 20.0


def burst(kinds, times, start=5.0, end=11.0):
    """Return rates with a burst of some kinds."""

    def rate_of(kind, now):
        return kind.rate * (times if kind in kinds and start <= now < end else 1.0)

    return rate_of


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_calm_day_is_on_time(seed):
    """
    Three lookups in ten come late on a calm day. Three stages of 0.3 s leave a second
    of 2.5 for all waiting, and calls were sent as soon as there was a piece for them.
    """
    world = StageWorld(seed).run(CALM_S)
    assert world.share_on_time("claim") >= 0.9
    assert world.share_on_time("lookup") >= 0.9


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_one_caller_for_an_endpoint_serves_more_than_six(seed):
    """
    Half of all claims are late in a burst. Six entries that knew nothing of each other
    filled the queue and the memory of an endpoint with small calls.
    """
    rates = burst((CLAIMS,), 2.6)
    apart = StageWorld(seed, pooled=False).run(CALM_S, rates)
    pooled = StageWorld(seed).run(CALM_S, rates)
    assert pooled.share_on_time() >= apart.share_on_time() + 0.1
    assert sum(server.refused for server in pooled.servers.values()) == 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_urgent_kind_is_served_first_where_not_all_can_be(seed):
    """
    Lookups, the most urgent kind, come late beside replies that nobody waits for. In a
    burst of twice everything the endpoints can't serve all of them.
    """
    world = StageWorld(seed).run(CALM_S, burst((CLAIMS, LOOKUPS), 2.5))
    assert world.share_on_time("lookup") > world.share_on_time("reply")


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_nobody_is_held_for_an_answer_that_does_not_come(seed):
    """
    Callers are told "overloaded" after seven of their eight seconds. They had been late
    since the second, and those on time took every place.
    """
    world = StageWorld(seed).run(CALM_S, lambda kind, now: 3.0 * kind.rate)
    refused = [e for e in world.ended if not e.served and e.kind == "claim"]
    held = sorted(e.at - e.arrived for e in refused)
    assert refused
    assert held[len(held) // 2] <= CLAIMS.aim_s + 0.5


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_what_was_overloaded_recovers_at_once(seed):
    """
    A day stays slow after a burst has gone. Work that was late already went on taking
    the place of what came after it.
    """
    world = StageWorld(seed).run(30.0, burst((CLAIMS, LOOKUPS), 3.0, 5.0, 10.0))
    after = [e for e in world.ended if e.arrived > 14.0 and e.kind != "reply"]
    assert sum(e.on_time for e in after) / len(after) >= 0.85
