"""Data centres that operators evacuate: nothing more is sent to their endpoints."""

from dataclasses import replace

import pytest

from amaranthtally.policy import (
    AttemptOutcome,
    FreeResults,
    HomeRegions,
    PieceOutcome,
    PiecesEnded,
    PieceStage,
    PieceWork,
    PolicySettings,
    RefusalReason,
    RequestOutcome,
    RunPieces,
)
from tests.policy import pieces
from tests.policy.pieces import CLUJ, IASI, POOLS
from tests.policy.support import (
    LOCAL_REGION,
    REMOTE_REGION,
    PlannerDriver,
    answered,
    endpoints,
    one_stage,
    planner,
    refusal,
    sends,
    settings,
)

REQUESTS = 40
LOCAL, REMOTE = frozenset({LOCAL_REGION}), frozenset({REMOTE_REGION})


def start(listed, **options):
    return PlannerDriver(planner(listed, **options), one_stage())


def evacuate(driven, now, listed, *data_centres, **options):
    evacuated = frozenset(data_centres)
    configured = settings(listed, evacuated=evacuated, **options)
    return driven.apply(driven.planner.settings_changed(now, configured))


def places(listed, actions):
    return {listed[send.endpoint].data_centre for send in sends(actions)}


def test_nothing_is_sent_to_an_evacuated_data_centre():
    """Guards against requests that reach endpoints which are to be switched off."""
    listed = endpoints("engine", local=4, remote=2)
    driven = start(listed)
    now = driven.train(count=20)
    evacuate(driven, now, listed, LOCAL_REGION)
    for n in range(REQUESTS):
        assert places(listed, driven.arrive(now + n * 0.01)) == {REMOTE_REGION}


def test_an_entry_that_starts_during_an_evacuation_sends_nothing_there():
    """Guards against the first settings of a process, which are not a change."""
    listed = endpoints("engine", local=4, remote=2)
    driven = start(listed, evacuated=LOCAL)
    for n in range(REQUESTS):
        assert places(listed, driven.arrive(n * 0.01)) == {REMOTE_REGION}


def test_retries_and_probes_avoid_it_too():
    """Guards against a failure elsewhere that sends a request back there."""
    listed = endpoints("engine", local=3, remote=2)
    driven = start(listed)
    now = 0.0
    for _ in range(12):
        for send in sends(driven.arrive(now)):
            driven.reply(now + 0.01, send, AttemptOutcome.FAILED)
        now += 0.02
    evacuate(driven, now, listed, LOCAL_REGION)
    for _ in range(REQUESTS):
        now += 0.5
        actions = driven.arrive(now)
        assert places(listed, actions) <= REMOTE
        for send in sends(actions):
            retried = driven.reply(now + 0.1, send, AttemptOutcome.NOT_RUN)
            assert places(listed, retried) <= REMOTE


def test_work_that_runs_there_ends_there():
    """Guards against an evacuation that cuts the requests in flight."""
    listed = endpoints("engine", local=1, remote=1)
    driven = start(listed)
    (send,) = sends(driven.arrive(0.0))
    assert evacuate(driven, 0.1, listed, listed[send.endpoint].data_centre) == []
    assert answered(driven.reply(0.2, send))


def test_a_pool_that_is_evacuated_whole_is_refused_at_once():
    """Guards against callers that wait for the end of an evacuation."""
    listed = endpoints("engine", local=2, remote=2)
    driven = start(listed)
    evacuate(driven, 0.0, listed, LOCAL_REGION, REMOTE_REGION)
    refused = refusal(driven.arrive(0.1))
    assert refused.outcome is RequestOutcome.NOT_RUN
    assert refused.reason is RefusalReason.EVACUATED
    assert refused.retry_after_s > 0


def test_an_evacuated_home_region_is_not_replaced():
    """Guards against an evacuation that sends requests out of their home."""
    listed = endpoints("engine", local=2, remote=2)
    homes = HomeRegions(by_pipeline={"one": LOCAL})
    driven = start(listed, homes=homes)
    evacuate(driven, 0.0, listed, LOCAL_REGION, homes=homes)
    assert refusal(driven.arrive(0.1)).reason is RefusalReason.EVACUATED


@pytest.mark.parametrize("times", [1, 3])
def test_a_data_centre_that_is_taken_back_serves_again(times):
    """Guards against evacuations and returns within seconds that leave it unused."""
    listed = endpoints("engine", local=2, remote=0)
    driven = start(listed)
    for n in range(times):
        evacuate(driven, n, listed, LOCAL_REGION)
        assert refusal(driven.arrive(n + 0.1)).reason is RefusalReason.EVACUATED
        evacuate(driven, n + 0.5, listed)
        (send,) = sends(driven.arrive(n + 0.6))
        driven.reply(n + 0.7, send)


def piece_settings(*evacuated):
    listed = {**pieces.endpoints(CLUJ, IASI), **endpoints("engine", 1, 1)}
    return PolicySettings(
        1, CLUJ, CLUJ, listed, entry="me", pools=POOLS, evacuated=frozenset(evacuated)
    )


def submit(driven, now):
    work = PieceWork((PieceStage("catalogue", (), 1.5e6),), (1,), "k")
    return driven.arrive(now, deadline_s=20.0, piece_work=work)


def calls(actions):
    return [a for a in actions if isinstance(a, RunPieces)]


def test_pieces_that_wait_there_are_computed_elsewhere_at_once():
    """Guards against a queue that is sent to evacuated endpoints, or waits for them."""
    driven = PlannerDriver(planner({}), one_stage())
    driven.planner.settings_changed(0.0, piece_settings(IASI))
    # The first call occupies the endpoint, the others wait for it.
    for _ in range(4):
        submit(driven, 0.0)
    (first,) = calls(driven.tick(0.02))
    assert first.endpoint == f"catalogue-{CLUJ}"
    for _ in range(4):
        submit(driven, 0.05)
    actions = driven.apply(
        driven.planner.settings_changed(0.1, piece_settings(CLUJ))
    ) + driven.tick(0.11)
    actions += driven.tick(0.14)
    moved = calls(actions)
    assert {call.endpoint for call in moved} == {f"catalogue-{IASI}"}
    assert sum(len(call.pieces) for call in moved) == 4


def test_results_that_lie_there_are_used_and_not_freed():
    """Guards against calls that free results at evacuated endpoints."""
    driven = PlannerDriver(planner({}), one_stage())
    driven.planner.settings_changed(0.0, piece_settings(IASI))
    submit(driven, 0.0)
    (call,) = calls(driven.tick(0.02))
    driven.planner.settings_changed(0.1, piece_settings(CLUJ))
    ended = PiecesEnded((PieceOutcome("handle"),))
    actions = driven.apply(driven.planner.pieces.call_ended(0.3, call.call, ended))
    (send,) = sends(actions)
    assert driven.planner.inputs_of(send.attempt.request_id)
    actions = driven.reply(0.5, send) + driven.tick(1.0)
    assert not any(isinstance(action, FreeResults) for action in actions)


def test_a_restarted_endpoint_there_gets_nothing():
    """Guards against an endpoint that registers anew during an evacuation."""
    listed = endpoints("engine", local=1, remote=0)
    driven = start(listed)
    evacuate(driven, 0.0, listed, LOCAL_REGION)
    restarted = {n: replace(e, incarnation=7) for n, e in listed.items()}
    evacuate(driven, 1.0, restarted, LOCAL_REGION)
    assert refusal(driven.arrive(1.1)).reason is RefusalReason.EVACUATED
