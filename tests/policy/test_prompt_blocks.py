"""Requests with a part of their prompts that is blocked, at one entry."""

from dataclasses import replace

from amaranthtally.policy import (
    AttemptOutcome,
    Cancel,
    CheckEndpoint,
    PartNotice,
    PartState,
    RefusalReason,
    Refuse,
    RequestKey,
    RequestOutcome,
)
from tests.policy.support import (
    PlannerDriver,
    endpoints,
    one_stage,
    planner,
    sends,
)

FATAL = 0xBAD
OTHER = 0xC0DE
FIRST_TRIAL_S = 20.0
KEY = RequestKey(0xFEED)


def new_driver(**stage):
    pipeline = one_stage(streams=True, max_attempts=3, **stage)
    return PlannerDriver(planner(endpoints("engine"), entry="e1"), pipeline)


def block(driver, now, part=FATAL, state=PartState.BLOCKED, serial=1):
    notice = PartNotice(part, state, serial, now - 1.0, ("i-1/0", "i-2/0", "i-3/0"))
    return driver.apply(driver.planner.prompts.notices_received(now, [notice]))


def arrive(driver, now, part=FATAL):
    return driver.arrive(now, deadline_s=60.0, prefix=(OTHER, part, driver.serial))


def test_a_request_with_a_blocked_part_is_refused_at_once_as_not_run():
    """Guards against a request that waits, or is sent, only to be lost."""
    driver = new_driver()
    block(driver, 1.0)
    (refusal,) = arrive(driver, 1.1)
    assert isinstance(refusal, Refuse)
    assert refusal.reason is RefusalReason.PROMPT_BLOCKED
    assert refusal.outcome is RequestOutcome.NOT_RUN
    assert refusal.retry_after_s > 0.0
    assert sends(arrive(driver, 1.2, part=0xA))


def test_the_last_part_of_a_prompt_blocks_nothing():
    """Guards against a request that is refused for what is its own."""
    driver = new_driver()
    block(driver, 1.0)
    assert sends(driver.arrive(1.1, deadline_s=60.0, prefix=(OTHER, FATAL)))


def test_requests_in_flight_are_cancelled_before_their_first_event():
    """Guards against endpoints that end on requests sent before the part was known."""
    driver = new_driver()
    (first,) = sends(arrive(driver, 1.0))
    (sound,) = sends(arrive(driver, 1.0, part=0xA))
    actions = block(driver, 1.1)
    assert Cancel(first.attempt, first.endpoint) in actions
    assert [a.request_id for a in actions if isinstance(a, Refuse)] == ["r1"]
    assert not any(
        isinstance(a, Cancel) and a.attempt == sound.attempt for a in actions
    )


def test_a_stream_that_has_begun_ends_but_is_not_sent_again():
    """Guards against a stream that is cut, and one that ends the next endpoint."""
    driver = new_driver()
    (first,) = sends(arrive(driver, 1.0))
    driver.planner.progress(1.05, first.attempt, 1)
    assert not [a for a in block(driver, 1.1) if isinstance(a, Cancel | Refuse)]
    (end,) = driver.reply(1.2, first, AttemptOutcome.FAILED)
    assert isinstance(end, Refuse)


def test_a_lost_request_is_not_sent_again_once_its_part_is_blocked():
    """Guards against one request that ends two endpoints."""
    driver = new_driver()
    (first,) = sends(arrive(driver, 1.0))
    driver.planner.progress(1.05, first.attempt, 1)
    block(driver, 1.1)
    actions = driver.reply(1.2, first, AttemptOutcome.FAILED, connection_lost=True)
    assert not sends(actions)


def test_one_request_is_tried_and_never_sent_twice():
    """Guards against a part that stays blocked, and a trial that ends two endpoints."""
    driver = new_driver()
    block(driver, 1.0)
    later = 1.0 + FIRST_TRIAL_S + 0.1
    (trial,) = sends(arrive(driver, later))
    assert not sends(arrive(driver, later + 0.1))
    actions = driver.reply(later + 0.2, trial, AttemptOutcome.FAILED)
    assert not sends(actions)
    assert not sends(arrive(driver, later + FIRST_TRIAL_S))


def test_a_trial_that_succeeds_clears_the_part():
    """Guards against requests that are refused though their cause has gone."""
    driver = new_driver()
    block(driver, 1.0)
    later = 1.0 + FIRST_TRIAL_S + 0.1
    (trial,) = sends(arrive(driver, later))
    driver.reply(later + 0.2, trial)
    assert sends(arrive(driver, later + 0.3))


def test_an_older_notice_does_not_block_a_part_again():
    """Guards against a late message that undoes what is known better."""
    driver = new_driver()
    block(driver, 1.0)
    block(driver, 2.0, state=PartState.CLEARED, serial=2)
    block(driver, 3.0)
    assert sends(arrive(driver, 3.1))


def arrive_again(driver, now, key=KEY):
    return driver.arrive(now, deadline_s=60.0, prefix=(OTHER, driver.serial), key=key)


def test_a_blocked_request_is_refused_under_each_id_and_others_are_sent():
    """Guards against a request that a new id lets through."""
    driver = new_driver()
    block(driver, 1.0, KEY)
    (refusal,) = arrive_again(driver, 1.1)
    assert refusal.reason is RefusalReason.REQUEST_BLOCKED
    assert refusal.outcome is RequestOutcome.NOT_RUN
    assert refusal.retry_after_s > FIRST_TRIAL_S
    assert sends(arrive_again(driver, 1.2, RequestKey(0xFEEE)))


def test_tries_in_flight_of_a_blocked_request_are_cancelled():
    """Guards against endpoints that end on tries sent before it was known."""
    driver = new_driver()
    (first,) = sends(arrive_again(driver, 1.0))
    assert Cancel(first.attempt, first.endpoint) in block(driver, 1.1, KEY)


def test_a_request_without_a_prompt_is_evidence_too():
    """Guards against requests that only their content tells apart."""
    driver = new_driver()
    (first,) = sends(driver.arrive(1.0, deadline_s=60.0, key=KEY))
    driver.reply(1.2, first, AttemptOutcome.FAILED, connection_lost=True)
    gone = endpoints("engine")
    del gone[first.endpoint]
    settings = replace(driver.planner._settings, endpoints=gone)
    driver.planner.settings_changed(1.5, settings)
    ends = driver.planner.prompts._losses.ends(1.5)
    assert [end.part for end in ends] == [KEY]


def registered_driver(count):
    """Return a driver whose endpoints have been registered after its start."""
    listed = endpoints("engine", count)
    pipeline = one_stage(streams=True, max_attempts=3)
    driver = PlannerDriver(planner(listed, entry="e1"), pipeline)
    driver.planner.settings_changed(0.5, driver.planner._settings)
    return driver


def checks(actions):
    return [action for action in actions if isinstance(action, CheckEndpoint)]


def lose(driver, now, send, **options):
    return driver.reply(
        now, send, AttemptOutcome.FAILED, connection_lost=True, **options
    )


def test_a_connection_that_was_never_accepted_is_no_reason_to_look_for_an_end():
    """Guards against full endpoints that are taken for ended ones."""
    driver = registered_driver(3)
    (at_once,) = sends(arrive(driver, 1.0))
    assert not checks(lose(driver, 1.01, at_once))
    (begun,) = sends(arrive(driver, 2.0))
    assert checks(lose(driver, 2.01, begun, begun=True))
    (later,) = sends(arrive(driver, 3.0))
    assert checks(lose(driver, 3.2, later))


def test_an_endpoint_that_goes_on_with_older_requests_has_not_ended():
    """Guards against full endpoints, of which connections were reset on the way."""
    driver = registered_driver(1)
    (running,) = sends(arrive(driver, 1.0))
    (lost,) = sends(arrive(driver, 1.0))
    lose(driver, 1.5, lost, begun=True)
    driver.planner.endpoint_closes_connections(1.52, lost.endpoint)
    losses = driver.planner.prompts._losses
    assert not losses.ends(1.52)
    lose(driver, 1.53, running, begun=True)
    driver.planner.endpoint_closes_connections(1.6, lost.endpoint)
    assert losses.ends(1.6)
