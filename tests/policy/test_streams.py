"""Detection of slow streams and endpoints by the times between chunks."""

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
SLOWDOWN = 4.0
LONG_CHUNKS = 18


def trained_driver(count=4):
    """Return a driver whose planner has measured the chunk times, and the time."""
    driver = PlannerDriver(planner(endpoints("engine", count)), one_stage(streams=True))
    now = 1.0
    for _ in range(40):
        (send,) = sends(driver.arrive(now))
        now = deliver_chunks(driver, send, now, CHUNKS, CHUNK_S)
        driver.reply(now, send, run_s=(CHUNKS + 1) * CHUNK_S)
    return driver, now


def deliver_chunks(driver, send, now, chunks, chunk_s, first=0):
    """Deliver chunks of an attempt; returns the time after them."""
    for chunk in range(first + 1, first + chunks + 1):
        now += chunk_s
        driver.tick(now)
        driver.planner.progress(now, send.attempt, chunk)
    return now


def test_slow_stream_is_hedged():
    """
    Guards against streams that the deadline ends half-way: their engine had become
    slow, and any stream whose chunks still arrived was regarded as healthy.
    """
    driver, now = trained_driver()
    (slow,) = sends(driver.arrive(now))
    hedges = []
    for chunk in range(1, CHUNKS):
        now += SLOWDOWN * CHUNK_S
        hedges.extend(sends(driver.tick(now)))
        driver.planner.progress(now, slow.attempt, chunk)
    (hedge,) = hedges
    assert hedge.hedge
    assert hedge.endpoint != slow.endpoint

    actions = driver.planner.progress(now + 0.1, hedge.attempt, CHUNKS)
    assert actions == [Cancel(slow.attempt, slow.endpoint)]
    assert answered(driver.reply(now + 0.2, hedge, run_s=0.2))


def test_long_stream_at_usual_speed_is_not_hedged():
    """
    Guards against generating every long answer twice: its run time was longer than
    most, although the time between its chunks was not.
    """
    driver, now = trained_driver()
    (long,) = sends(driver.arrive(now))
    for chunk in range(1, LONG_CHUNKS):
        now += CHUNK_S
        assert not sends(driver.tick(now))
        assert not driver.planner.progress(now, long.attempt, chunk)
    assert answered(driver.reply(now, long, run_s=LONG_CHUNKS * CHUNK_S))


def test_slow_engine_is_avoided_before_a_run_ends_there():
    """
    An engine that had become slow was regarded as fast until its first run ended, and
    the runs of slow engines end last: a tenth of the requests of ten seconds was late.
    """
    driver, now = trained_driver()
    (slow,) = sends(driver.arrive(now))
    deliver_chunks(driver, slow, now, 3, SLOWDOWN * CHUNK_S)
    now += 3 * SLOWDOWN * CHUNK_S
    driver.planner.caller_disconnected(now, slow.attempt.request_id)
    chosen = []
    for _ in range(20):
        (send,) = sends(driver.arrive(now))
        chosen.append(send.endpoint)
        now = deliver_chunks(driver, send, now, CHUNKS, CHUNK_S)
        driver.reply(now, send, run_s=(CHUNKS + 1) * CHUNK_S)
    assert slow.endpoint not in chosen[:10]


def test_engine_with_an_overdue_chunk_is_avoided():
    """
    An engine had become slow, which only the second chunk showed, two seconds after the
    first. Until then a dozen more requests were sent there.
    """
    driver, now = trained_driver()
    (slow,) = sends(driver.arrive(now))
    now = deliver_chunks(driver, slow, now, 1, CHUNK_S)
    for _ in range(4):
        now += CHUNK_S
        driver.tick(now)
    driver.planner.caller_disconnected(now, slow.attempt.request_id)
    chosen = []
    for _ in range(12):
        (send,) = sends(driver.arrive(now))
        chosen.append(send.endpoint)
        now = deliver_chunks(driver, send, now, CHUNKS, CHUNK_S)
        driver.reply(now, send, run_s=(CHUNKS + 1) * CHUNK_S)
    assert slow.endpoint not in chosen


def test_stream_without_chunks_is_hedged():
    """
    Guards against waiting half of the deadline for a first chunk: the engine hung, and
    a call without chunks was always assumed to wait in a queue.
    """
    driver, now = trained_driver()
    (frozen,) = sends(driver.arrive(now))
    hedges = []
    until = now + 4 * (CHUNKS + 1) * CHUNK_S
    while not hedges and now < until:
        now += CHUNK_S / 4
        hedges.extend(sends(driver.tick(now)))
    (hedge,) = hedges
    assert hedge.endpoint != frozen.endpoint
    assert answered(driver.reply(now + 0.2, hedge, run_s=0.2))
