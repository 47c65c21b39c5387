"""Reports of endpoints that are tried on though their ports refuse connections."""

import pytest
import structlog

from amaranthtally.daemon.gateway.unreachable_endpoints import UnreachableEndpoints
from tests.policy.pieces import endpoint


class Clock:
    """Calls the endpoints' tracker at times that a test sets; counts its reports."""

    def __init__(self):
        self.now = 100.0
        self.reported_pools = []
        self.tracker = UnreachableEndpoints(
            self, lambda: {"records_age_s": 7.5}, lambda: self.now
        )

    def unreachable_endpoint_reported(self, pool):
        self.reported_pools.append(pool)

    def fail_for(self, seconds, every_s, **fields):
        """Let attempts at one endpoint fail; return the lines logged meanwhile."""
        with structlog.testing.capture_logs() as lines:
            for _ in range(round(seconds / every_s)):
                self.tracker.attempt_failed(endpoint("e1", **fields))
                self.now += every_s
        return lines


@pytest.fixture
def clock():
    return Clock()


def test_an_endpoint_that_stays_unreachable_is_reported_each_ten_seconds(clock):
    """Guards against a minute of refused connections that shows nowhere."""
    lines = clock.fail_for(60.0, 0.5, revision=7)
    assert [line["seconds"] for line in lines] == [10.0, 20.0, 30.0, 40.0, 50.0]
    assert {line["event"] for line in lines} == {"endpoint_unreachable_for"}
    last = lines[-1]
    assert (last["endpoint"], last["revision"], last["records_age_s"]) == ("e1", 7, 7.5)
    assert last["attempts"] == 101


def test_a_short_failure_is_not_reported(clock):
    assert clock.fail_for(9.0, 0.5) == []


def test_a_response_ends_the_count(clock):
    clock.fail_for(9.0, 0.5)
    clock.tracker.endpoint_answered("e1")
    assert clock.fail_for(9.0, 0.5) == []


def test_a_newer_record_begins_the_count_anew(clock):
    clock.fail_for(9.0, 0.5, revision=7)
    assert clock.fail_for(9.0, 0.5, revision=8) == []


def test_rare_attempts_at_an_ejected_endpoint_are_reported(clock):
    """Guards against an ejection that hides an endpoint from its operators."""
    lines = clock.fail_for(90.0, 30.0, revision=7)
    assert [line["attempts"] for line in lines] == [2, 3]


def test_reports_are_counted_by_pool(clock):
    clock.fail_for(25.0, 0.5)
    assert clock.reported_pools == ["catalogue", "catalogue"]


def test_an_endpoint_that_is_no_longer_tried_takes_no_memory(clock):
    clock.fail_for(1.0, 0.5)
    clock.now += 301.0
    clock.tracker.attempt_failed(endpoint("e2"))
    assert set(clock.tracker._unreachable) == {"e2"}
