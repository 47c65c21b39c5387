"""Endpoints that end because the requests that they hold exceed their memory."""

from random import Random

from amaranthtally.policy import AttemptOutcome, Endpoint, Planner, RefusalReason
from amaranthtally.policy.memory_budget import build_endpoint_memory
from tests.policy.support import (
    PlannerDriver,
    endpoints,
    one_stage,
    refusal,
    sends,
    settings,
)

BODY = 10_000
# An endpoint that holds more requests than this ends, in the tests that say so.
ROOM = 6


def driver(count=2):
    listed = endpoints("engine", local=count)
    return PlannerDriver(Planner(settings(listed), Random(1)), one_stage())


def end_endpoint(driven, now, name, incarnation):
    """Lose all that an endpoint holds, and let it start again."""
    lost = [send for send in driven.live.values() if send.endpoint == name]
    for send in lost:
        driven.reply(now, send, AttemptOutcome.FAILED, connection_lost=True)
    listed = dict(driven.planner._registered.endpoints)
    old = listed[name]
    listed[name] = Endpoint(
        old.id,
        old.pool,
        old.host,
        old.region,
        old.data_centre,
        old.address,
        incarnation=incarnation,
    )
    driven.planner.settings_changed(now, settings(listed))


def finish_all(driven, now):
    for send in list(driven.live.values()):
        driven.reply(now, send)


def play(driven, bursts, size, room=None):
    """Send bursts to one endpoint; return the most that it held in each."""
    now, most = 0.0, []
    for number in range(bursts):
        for _ in range(size):
            driven.arrive(now, input_bytes=BODY)
        held = len(driven.live)
        most.append(held)
        now += 0.2
        if room is not None and held > room:
            end_endpoint(driven, now, "engine-0", incarnation=number + 2)
            # What is sent again at once would end the endpoint again.
            for send in list(driven.live.values()):
                driven.apply(
                    driven.planner.caller_disconnected(now, send.attempt.request_id)
                )
        now += 0.2
        finish_all(driven, now)
        now += 10.0
    return most


def test_an_endpoint_holds_no_more_than_what_it_outlived():
    """Guards against endpoints that end again and again in each burst."""
    driven = driver(count=1)
    play(driven, 20, size=4)
    held = play(driven, 12, size=9, room=ROOM)
    # Two ends are needed to learn at all, and each further one halves what is unknown.
    assert [n for n, most in enumerate(held) if most > ROOM] == [0, 1, 3]
    assert held[-1] == ROOM


def test_a_request_beyond_the_bound_is_refused_as_not_run():
    """Guards against a refusal without a wait, and against one that may have run."""
    driven = driver(count=1)
    play(driven, 20, size=4)
    play(driven, 4, size=9, room=ROOM)
    actions = []
    for _ in range(9):
        actions = driven.arrive(500.0, input_bytes=BODY)
    assert refusal(actions).reason is RefusalReason.OVERLOAD
    finish_all(driven, 500.1)
    assert sends(driven.arrive(500.2, input_bytes=100 * BODY))


def test_ends_with_no_more_than_usual_teach_nothing():
    """Guards against a bound that is learned from kills and replacements."""
    driven = driver(count=1)
    play(driven, 20, size=8)
    play(driven, 10, size=8, room=ROOM)
    assert driven.planner.endpoint_memory.bound(200.0, "engine") is None


def test_the_bound_ends_when_no_endpoint_has_ended_for_long():
    """Guards against endpoints that are replaced by larger ones and never filled."""
    driven = driver(count=1)
    play(driven, 20, size=4)
    play(driven, 4, size=9, room=ROOM)
    memory = driven.planner.endpoint_memory
    assert memory.bound(100.0, "engine") is not None
    assert memory.bound(5000.0, "engine") is None


def test_nothing_is_held_once_all_has_ended():
    """Guards against an endpoint that counts as full for ever."""
    driven = driver()
    play(driven, 20, size=7)
    play(driven, 5, size=9, room=ROOM)
    assert not any(driven.planner.endpoint_memory.held(f"engine-{n}") for n in (0, 1))


def test_the_bound_of_one_pool_leaves_out_no_endpoint_of_another():
    """Guards against requests that are refused for what another pool holds."""
    memory = build_endpoint_memory()
    for number in range(60):
        held = memory.sent("a-0", "a", 1, BODY)
        memory.ended(held)
        memory.finished(float(number), held)
    for now in (80.0, 90.0):
        sent = [memory.sent("a-0", "a", 1, BODY) for _ in range(9)]
        for held in sent:
            memory.ended(held)
            memory.lost(now, held)
        memory.endpoint_closed(now, "a-0")
    for _ in range(20):
        memory.sent("b-0", "b", 1, BODY)
        memory.sent("a-0", "a", 9, BODY)
    assert memory.bound(100.0, "a") is not None
    assert memory.full(100.0, "a", BODY) == {"a-0"}
