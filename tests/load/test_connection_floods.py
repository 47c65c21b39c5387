"""
Most new connections of a region come to one gateway.

The load: a process that needs some milliseconds of its processor for each request gets
several times as many as it can serve for ten seconds, one a connection, beside the
connections that it always gets. The bound is the users': of the requests that it reads,
at least three quarters of the share of before are served in time.
"""

from collections import deque
from random import Random

import pytest

from amaranthtally.daemon.gateway.connection_gate import (
    CHECK_INTERVAL_S,
    LoadEstimate,
)

OBJECTIVE_S = 0.4
QUIET_S = 5.0
FLOOD_S = 10.0
MIN_SHARE_OF_BEFORE = 0.75
# Most connections that the kernel holds.
BACKLOG = 1024
# Cost of a connection that is closed unread, in seconds.
CLOSE_COST_S = 0.0002


class Process:
    """
    One thread that accepts, reads and serves connections; time stamps in seconds.

    Its event loop runs what is due in turns: it takes all connections that wait, then
    works on each request that it has read, in two steps: an endpoint answers between.
    """

    def __init__(self, service_s, estimate):
        self.service_s = service_s
        self.estimate = estimate
        self.now = 0.0
        self.read = []
        self.closed = 0

    def run(self, arrivals, end):
        waiting = deque(arrivals)
        first, second = deque(), deque()
        check_due = CHECK_INTERVAL_S
        while self.now < end:
            if self.now >= check_due:
                self.estimate.note_check(self.now - check_due)
                check_due = self.now + CHECK_INTERVAL_S
            self._accept(waiting, first)
            self._work(first, second)
            if not first and not second:
                soon = [check_due, *(at for at in list(waiting)[:1])]
                self.now = max(self.now + 0.0005, min(soon))

    def _accept(self, waiting, first):
        taken = 0
        while waiting and waiting[0] <= self.now and taken < BACKLOG:
            arrived = waiting.popleft()
            taken += 1
            if self.estimate.take():
                first.append(arrived)
            else:
                self.closed += 1
                self.now += CLOSE_COST_S

    def _work(self, first, second):
        for _ in range(len(second)):
            arrived = second.popleft()
            self.now += self.service_s / 2
            self.read.append((arrived, self.now - arrived))
        for _ in range(len(first)):
            second.append(first.popleft())
            self.now += self.service_s / 2


class TakesAll:
    """An estimate that takes every connection."""

    def note_check(self, delay_s):
        """Ignore the delay."""

    def take(self):
        return True


def flood(estimate, service_s, factor, seed=1):
    """Return the shares served in time before and during a flood, and the process."""
    random = Random(seed)
    process = Process(service_s, estimate)
    usual = 0.15 / service_s
    arrivals, at = [], 0.0
    while at < QUIET_S + FLOOD_S:
        rate = usual if at < QUIET_S else factor / service_s
        at += random.expovariate(rate)
        arrivals.append(at)
    process.run(arrivals, QUIET_S + FLOOD_S + 2.0)
    before = [took for at, took in process.read if at < QUIET_S]
    during = [took for at, took in process.read if at >= QUIET_S]
    return served_share(before), served_share(during), process


def served_share(times):
    return sum(took <= OBJECTIVE_S for took in times) / len(times)


@pytest.mark.parametrize("service_s", [0.003, 0.008, 0.015])
@pytest.mark.parametrize("factor", [1.5, 4.0, 12.0])
def test_what_a_flooded_gateway_reads_is_served_in_time(service_s, factor):
    """Guards against a gateway that reads far more than it can serve."""
    before, during, process = flood(LoadEstimate(), service_s, factor)
    assert during >= MIN_SHARE_OF_BEFORE * before
    # It goes on to serve about as much as it can beside closing connections.
    served = sum(at >= QUIET_S for at, _ in process.read)
    left_s = FLOOD_S - process.closed * CLOSE_COST_S
    assert served >= 0.5 * left_s / service_s


def test_without_a_gate_nearly_all_would_be_late():
    """The load above is one that the gate is needed for."""
    before, during, _ = flood(TakesAll(), 0.008, 4.0)
    assert during < 0.25 * before


def test_a_usual_load_closes_no_connection():
    """Guards against connections that are closed for a moment's delay."""
    _, _, process = flood(LoadEstimate(), 0.008, 0.5)
    assert process.closed <= 0.01 * len(process.read)


def test_one_long_suspension_closes_no_connection():
    """Guards against a process that turns callers away as it wakes."""
    estimate = LoadEstimate()
    estimate.note_check(0.0)
    estimate.note_check(3.0)
    assert estimate.take()
