"""What the chunks of a stream tell of its endpoint, and what is done about it."""

from amaranthtally.policy import Cancel
from tests.policy.support import (
    PlannerDriver,
    answered,
    endpoints,
    one_stage,
    planner,
    sends,
)

CHUNKS = 4
CHUNK_S = 0.2
SLOWER = 4.0
LONG = 18


def streaming(count=4):
    """Return a feeder whose planner knows how fast chunks come, and the time."""
    driver = PlannerDriver(planner(endpoints("engine", count)), one_stage(streams=True))
    now = 1.0
    for _ in range(40):
        (send,) = sends(driver.arrive(now))
        now = stream(driver, send, now, CHUNKS, CHUNK_S)
        driver.reply(now, send, run_s=(CHUNKS + 1) * CHUNK_S)
    return driver, now


def stream(driver, send, now, chunks, chunk_s, first=0):
    """Let chunks of an attempt come; returns the time after them."""
    for chunk in range(first + 1, first + chunks + 1):
        now += chunk_s
        driver.tick(now)
        driver.planner.progress(now, send.attempt, chunk)
    return now


def test_a_stream_that_flows_too_slowly_goes_on_elsewhere():
    """
    A farmer has read half of an assessment when the deadline cuts it off. Its
    engine had become slow; as chunks still came, the stream passed for healthy.
    """
    driver, now = streaming()
    (slow,) = sends(driver.arrive(now))
    hedges = []
    for chunk in range(1, CHUNKS):
        now += SLOWER * CHUNK_S
        hedges.extend(sends(driver.tick(now)))
        driver.planner.progress(now, slow.attempt, chunk)
    (hedge,) = hedges
    assert hedge.hedge
    assert hedge.endpoint != slow.endpoint

    passing = driver.planner.progress(now + 0.1, hedge.attempt, CHUNKS)
    assert passing == [Cancel(slow.attempt, slow.endpoint)]
    assert answered(driver.reply(now + 0.2, hedge, run_s=0.2))


def test_a_stream_at_the_usual_pace_is_left_alone():
    """
    Every long answer is generated twice at twice the cost. It ran for longer than
    most, although its chunks came as fast as ever.
    """
    driver, now = streaming()
    (long,) = sends(driver.arrive(now))
    for chunk in range(1, LONG):
        now += CHUNK_S
        assert not sends(driver.tick(now))
        assert not driver.planner.progress(now, long.attempt, chunk)
    assert answered(driver.reply(now, long, run_s=LONG * CHUNK_S))


def test_a_slow_engine_is_avoided_before_any_run_ends_there():
    """
    A tenth of the requests of ten seconds is late. An engine had become slow, and
    as its runs ended last it passed for fast until the first of them did.
    """
    driver, now = streaming()
    (slow,) = sends(driver.arrive(now))
    stream(driver, slow, now, 3, SLOWER * CHUNK_S)
    now += 3 * SLOWER * CHUNK_S
    driver.planner.caller_disconnected(now, slow.attempt.request_id)
    chosen = []
    for _ in range(20):
        (send,) = sends(driver.arrive(now))
        chosen.append(send.endpoint)
        now = stream(driver, send, now, CHUNKS, CHUNK_S)
        driver.reply(now, send, run_s=(CHUNKS + 1) * CHUNK_S)
    assert slow.endpoint not in chosen[:10]


def test_an_engine_whose_next_chunk_is_overdue_is_avoided():
    """
    A dozen requests follow the first one to an engine that has become slow. Its
    second chunk, which showed that it was, came two seconds after the first.
    """
    driver, now = streaming()
    (slow,) = sends(driver.arrive(now))
    now = stream(driver, slow, now, 1, CHUNK_S)
    for _ in range(4):
        now += CHUNK_S
        driver.tick(now)
    driver.planner.caller_disconnected(now, slow.attempt.request_id)
    chosen = []
    for _ in range(12):
        (send,) = sends(driver.arrive(now))
        chosen.append(send.endpoint)
        now = stream(driver, send, now, CHUNKS, CHUNK_S)
        driver.reply(now, send, run_s=(CHUNKS + 1) * CHUNK_S)
    assert slow.endpoint not in chosen


def test_a_stream_that_never_begins_goes_on_elsewhere():
    """
    A farmer waits for half of the deadline for a first word. The engine had been
    frozen; as a call without a chunk passed for one that waits, nobody hedged it.
    """
    driver, now = streaming()
    (frozen,) = sends(driver.arrive(now))
    hedges = []
    until = now + 4 * (CHUNKS + 1) * CHUNK_S
    while not hedges and now < until:
        now += CHUNK_S / 4
        hedges.extend(sends(driver.tick(now)))
    (hedge,) = hedges
    assert hedge.endpoint != frozen.endpoint
    assert answered(driver.reply(now + 0.2, hedge, run_s=0.2))
