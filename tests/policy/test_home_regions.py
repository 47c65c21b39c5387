"""Requests that may be served in some regions only, and go nowhere else."""

from dataclasses import replace
from itertools import islice

import pytest

from amaranthtally.policy import (
    AttemptOutcome,
    HomeRegions,
    PieceStage,
    PieceWork,
    RefusalReason,
    RequestOutcome,
    RunPieces,
    SubmitToPeer,
)
from tests.policy.pieces import POOLS
from tests.policy.support import (
    LOCAL_REGION,
    REMOTE_REGION,
    PlannerDriver,
    endpoints,
    one_stage,
    planner,
    refusal,
    sends,
    settings,
)

LOCAL, REMOTE = frozenset({LOCAL_REGION}), frozenset({REMOTE_REGION})
REQUESTS = 40


def at_home(regions, pipeline="one"):
    return HomeRegions(by_pipeline={pipeline: regions})


def driver(listed, homes, **stage):
    return PlannerDriver(planner(listed, homes=homes), one_stage(**stage))


def regions_of(listed, actions):
    return {listed[send.endpoint].region for send in sends(actions)}


def finish(driven, now, actions):
    for send in sends(actions):
        driven.reply(now, send)


def test_requests_go_to_their_home_region_from_anywhere():
    """Guards against an entry abroad that prefers the endpoints next to it."""
    listed = endpoints("engine", local=5, remote=2)
    driven = driver(listed, at_home(REMOTE))
    for n in range(REQUESTS):
        assert regions_of(listed, driven.arrive(n * 0.01)) == REMOTE


def test_retries_and_hedges_stay_at_home():
    """Guards against a second attempt that goes where the first may not."""
    listed = endpoints("engine", local=4, remote=2)
    driven = driver(listed, at_home(REMOTE))
    now = driven.train(count=20)
    for _ in range(REQUESTS):
        for send in sends(driven.arrive(now)):
            actions = driven.reply(now + 0.01, send, AttemptOutcome.FAILED)
            assert regions_of(listed, actions) <= REMOTE
            finish(driven, now + 0.02, actions)
        now = driven.train(count=5, start=now + 0.1)
        slow = driven.arrive(now)
        hedges = driven.tick(now + 1.9)
        assert regions_of(listed, hedges) <= REMOTE
        finish(driven, now + 2.0, slow)
        now += 2.0
    assert driven.planner.counters.retries > 0
    assert driven.planner.counters.hedges > 0


def test_probes_stay_at_home():
    """Guards against a request that finds out whether an endpoint abroad is back."""
    listed = endpoints("engine", local=1, remote=1)
    driven = driver(listed, HomeRegions())
    now = driven.train(count=10)
    local = next(name for name in listed if listed[name].region == LOCAL_REGION)
    while not driven.planner.counters.ejections:
        for send in sends(driven.arrive(now)):
            failed = send.endpoint == local
            outcome = AttemptOutcome.FAILED if failed else AttemptOutcome.FINISHED
            driven.reply(now + 0.01, send, outcome)
        now += 0.02
    confined = settings(listed, homes=at_home(REMOTE))
    driven.planner.settings_changed(now, confined)
    for _ in range(REQUESTS):
        now += 0.5
        actions = driven.arrive(now)
        assert regions_of(listed, actions) <= REMOTE
        finish(driven, now + 0.1, actions)
    assert driven.planner.counters.probes == 0


@pytest.mark.parametrize(
    ("homes", "expected"),
    [
        (HomeRegions(), None),
        (at_home(LOCAL), LOCAL),
        (HomeRegions(by_account={"a": REMOTE}), REMOTE),
        (HomeRegions({"one": LOCAL | REMOTE}, {"a": REMOTE}), REMOTE),
        (HomeRegions({"one": LOCAL}, {"a": REMOTE}), frozenset()),
        (HomeRegions({"other": LOCAL}, {"b": REMOTE}), None),
    ],
)
def test_homes_of_pipeline_and_account_both_bind(homes, expected):
    assert homes.allowed("one", "a") == expected


@pytest.mark.parametrize(
    "homes",
    [
        HomeRegions({"one": LOCAL}, {"a": REMOTE}),
        at_home(frozenset({"region-without-endpoints"})),
    ],
    ids=["exclude-each-other", "no-endpoints"],
)
def test_what_no_region_may_serve_is_refused_at_once(homes):
    """Guards against callers that wait for an endpoint that cannot be."""
    driven = driver(endpoints("engine", local=2, remote=2), homes)
    refused = refusal(driven.arrive(0.0))
    assert refused.outcome is RequestOutcome.NOT_RUN
    assert refused.reason is RefusalReason.NO_HOME_ENDPOINT
    assert refused.retry_after_s > 0


def test_a_home_region_that_is_lost_is_not_replaced():
    """Guards against a region's loss that sends its requests abroad."""
    listed = endpoints("engine", local=2, remote=1)
    driven = driver(listed, at_home(REMOTE))
    (send,) = sends(driven.arrive(0.0))
    left = {n: e for n, e in listed.items() if e.region == LOCAL_REGION}
    driven.planner.settings_changed(0.1, settings(left, homes=at_home(REMOTE)))
    actions = driven.reply(0.2, send, AttemptOutcome.NOT_RUN, unreachable=True)
    assert refusal(actions).outcome is RequestOutcome.NOT_RUN
    assert refusal(driven.arrive(0.3)).reason is RefusalReason.NO_HOME_ENDPOINT


def test_new_homes_bind_requests_that_are_retried():
    """Guards against a retry by the homes that were in force on arrival."""
    listed = endpoints("engine", local=2, remote=2)
    for seed in range(REQUESTS):
        driven_planner = planner(listed, seed=seed, homes=at_home(LOCAL))
        driven = PlannerDriver(driven_planner, one_stage())
        (send,) = sends(driven.arrive(0.1))
        driven.planner.settings_changed(0.2, settings(listed, homes=at_home(REMOTE)))
        actions = driven.reply(0.3, send, AttemptOutcome.NOT_RUN)
        assert regions_of(listed, actions) == REMOTE


def test_a_route_that_is_dropped_does_not_free_its_requests():
    """Guards against a retry abroad once the route's homes are unknown."""
    listed = endpoints("engine", local=4, remote=1)
    driven = driver(listed, at_home(REMOTE))
    (send,) = sends(driven.arrive(0.0))
    driven.planner.settings_changed(0.1, settings(listed, homes=HomeRegions()))
    actions = driven.reply(0.2, send, AttemptOutcome.NOT_RUN)
    assert regions_of(listed, actions) <= REMOTE


def staged_settings(homes):
    """Return settings with a stage and an engine in each region."""

    pool = next(iter(POOLS))
    listed = {**endpoints("engine", 2, 2), **endpoints(pool, 2, 1)}
    return pool, settings(listed, homes=homes, pools=POOLS, entry="me")


def test_pieces_are_computed_at_home():
    """Guards against a stage that is computed abroad for a request at home."""
    pool, configured = staged_settings(at_home(REMOTE))
    driven = PlannerDriver(planner({}), one_stage())
    driven.planner.settings_changed(0.0, configured)
    work = PieceWork((PieceStage(pool, (), 1000.0),), (1,), "k")
    for n in range(10):
        actions = driven.arrive(n * 0.5, deadline_s=20.0, piece_work=work)
        actions += driven.tick(n * 0.5 + 0.02)
        places = {
            configured.endpoints[a.endpoint].region
            for a in actions
            if isinstance(a, RunPieces)
        }
        assert not any(isinstance(a, SubmitToPeer) for a in actions)
        assert places <= REMOTE


def test_a_stage_without_endpoints_at_home_is_refused_at_once():
    """Guards against a request whose pieces have no place, and which waits for one."""
    pool, configured = staged_settings(at_home(REMOTE))
    listed = {
        name: endpoint
        for name, endpoint in configured.endpoints.items()
        if endpoint.pool != pool or endpoint.region == LOCAL_REGION
    }
    driven = PlannerDriver(planner({}), one_stage())
    driven.planner.settings_changed(0.0, replace(configured, endpoints=listed))
    work = PieceWork((PieceStage(pool, (), 1000.0),), (1,), "k")
    refused = refusal(driven.arrive(0.0, deadline_s=20.0, piece_work=work))
    assert refused.reason is RefusalReason.NO_HOME_ENDPOINT


class CountedRegions(frozenset):
    """Regions that count how often they are compared with others."""

    compared = 0

    def __and__(self, other):
        CountedRegions.compared += 1
        return super().__and__(other)


@pytest.mark.parametrize(("account_home", "found"), [(REMOTE, 8), (LOCAL, 0)])
def test_conflicts_are_found_without_comparing_all_pairs(account_home, found):
    """Guards against a gateway that stands still for seconds to log eight pairs."""
    CountedRegions.compared = 0
    homes = HomeRegions(
        {f"p{n}": CountedRegions(LOCAL) for n in range(200)},
        {f"a{n}": CountedRegions(account_home) for n in range(500)},
    )
    pairs = list(islice(homes.conflicts(), 8))
    assert len(set(pairs)) == found
    assert CountedRegions.compared <= 8
