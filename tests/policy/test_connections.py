"""Which connections give way, and when they have waited for too long."""

from math import inf

import pytest

from amaranthtally.policy import (
    CALLER_SHARE,
    ConnectionLimits,
    ConnectionPhase,
    ConnectionState,
    is_overdue,
    most_connections,
    pick_evicted,
)

HEAD, IDLE, BODY, UNREAD, RESPONSE = ConnectionPhase
NOW = 100.0
LIMITS = ConnectionLimits(head_timeout_s=3.0, idle_timeout_s=15.0, stall_timeout_s=30.0)


def states(*phases, since=0.0):
    """Return a connection in each phase, named by its place."""
    return [ConnectionState(n, phase, since + n) for n, phase in enumerate(phases)]


@pytest.mark.parametrize(
    ("phases", "evicted"),
    [
        ((RESPONSE, UNREAD, BODY, IDLE, HEAD), [4]),
        ((RESPONSE, UNREAD, BODY, IDLE), [3]),
        ((RESPONSE, UNREAD, BODY), [2]),
        ((RESPONSE, UNREAD), [1]),
        ((RESPONSE, RESPONSE), []),
        ((HEAD, HEAD, HEAD), [0]),
        ((), []),
    ],
)
def test_what_waits_for_its_client_gives_way_and_a_read_request_never(phases, evicted):
    """Guards against requests that are cut for connections of a crowd."""
    assert pick_evicted(states(*phases), len(phases), NOW) == evicted


def test_a_body_that_has_just_gone_on_does_not_give_way():
    """Guards against uploads that are cut while they go on."""
    assert pick_evicted(states(BODY, UNREAD, since=NOW - 0.5), 2, NOW) == []


def test_a_share_of_many_connections_gives_way_at_once():
    """Guards against a search of all connections for each that a crowd opens."""
    crowd = states(*[HEAD] * 1000)
    assert pick_evicted(crowd, len(crowd), NOW) == list(range(50))


@pytest.mark.parametrize(
    ("phase", "is_begun", "limit_s"),
    [
        (HEAD, True, 3.0),
        (HEAD, False, 15.0),
        (IDLE, False, 15.0),
        (BODY, True, 30.0),
        (UNREAD, True, 30.0),
        (RESPONSE, True, inf),
    ],
)
def test_each_phase_has_its_time(phase, is_begun, limit_s):
    """Guards against connections that stay open for clients that do nothing."""
    state = ConnectionState("c", phase, 0.0, is_begun)
    assert not is_overdue(state, LIMITS, min(limit_s, 1e6))
    assert limit_s == inf or is_overdue(state, LIMITS, limit_s + 0.1)


@pytest.mark.parametrize(
    ("descriptors", "memory_bytes", "most"),
    [(4100, 300e6, 1525), (4100, 0.0, 1537), (inf, 0.0, 10_000), (8, 0.0, 4)],
)
def test_descriptors_and_memory_bound_the_connections(descriptors, memory_bytes, most):
    """Guards against a process that has no descriptor or memory left for its work."""
    assert most_connections(CALLER_SHARE, descriptors, memory_bytes) == most
