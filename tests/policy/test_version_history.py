"""What is known of a pool's software versions, now and lately."""

from dataclasses import replace

import pytest

from amaranthtally.policy import (
    OriginEntry,
    StreamOrigin,
    StreamOrigins,
    VersionHistory,
)
from tests.policy.support import endpoints

POOL = "engine"
# Longer than a version without endpoints stays on record, in seconds.
LONG_S = 130.0


def registered(*versions):
    listed = endpoints(POOL, len(versions)).values()
    return [replace(e, version=v) for e, v in zip(listed, versions, strict=True)]


def recorded_history(*versions):
    history = VersionHistory()
    history.replace_recorded({POOL: frozenset(versions)})
    return history


def test_a_pool_with_one_version_on_record_has_a_sole_version():
    history = recorded_history("v1")
    history.observe(registered("v1", "v1"))
    assert history.sole_version(POOL) == "v1"


@pytest.mark.parametrize(
    ("recorded", "present"),
    [
        ((), ("v1",)),
        (("v1", "v2"), ("v2",)),
        (("v1",), ("v2",)),
        (("v1",), ("v1", "v2")),
    ],
)
def test_the_version_is_not_guessed(recorded, present):
    """Guards against a stream of a version that has just gone, or has just come."""
    history = recorded_history(*recorded)
    history.observe(registered(*present))
    assert history.sole_version(POOL) is None


def test_a_new_version_is_recorded_at_once_and_a_gone_one_late():
    history = recorded_history("v1")
    history.observe(registered("v1", "v2"))
    assert history.due_record(0.0, POOL) == {"v1", "v2"}
    history.put_recorded(POOL, frozenset({"v1", "v2"}))
    history.observe(registered("v2"))
    assert history.due_record(1.0, POOL) is None
    assert history.due_record(1.0 + LONG_S, POOL) == {"v2"}


def test_a_version_that_comes_back_is_not_taken_for_gone():
    """Guards against an absence that is counted from before the return."""
    history = recorded_history("v1", "v2")
    history.observe(registered("v2"))
    assert history.due_record(0.0, POOL) is None
    history.observe(registered("v1", "v2"))
    assert history.due_record(LONG_S / 2, POOL) is None
    history.observe(registered("v2"))
    assert history.due_record(LONG_S, POOL) is None


def test_an_absence_ends_although_nobody_asks_what_to_record_meanwhile():
    """Guards against a version that is dropped as it goes, after it had come back."""
    history = recorded_history("v1", "v2")
    history.observe(registered("v2"))
    assert history.due_record(0.0, POOL) is None
    history.observe(registered("v1", "v2"))
    history.observe(registered("v2"))
    assert history.due_record(LONG_S, POOL) is None


def test_a_pool_without_endpoints_keeps_its_record():
    """Guards against a record that an outage of the registry wipes out."""
    history = recorded_history("v1")
    history.observe([])
    assert history.due_record(LONG_S, POOL) is None


def test_an_origin_never_changes():
    """Guards against a late or wrong copy that moves a stream to another version."""
    origins = StreamOrigins()
    first = OriginEntry("r", StreamOrigin(POOL, "v1"), 10.0)
    origins.put(0.0, first)
    origins.put(1.0, OriginEntry("r", StreamOrigin(POOL, "v2"), 20.0))
    assert origins.find(15.0, "r") == first._replace(expires_at=20.0)
    assert origins.find(20.0, "r") is None


def test_a_version_is_not_dropped_for_an_absence_that_was_not_observed():
    """Guards against streams of a version that came and went while nobody looked."""
    history = recorded_history("v1", "v2")
    history.observe(registered("v2"))
    assert history.due_record(0.0, POOL) is None
    history.observation_missed()
    assert history.due_record(LONG_S, POOL) is None
    assert history.due_record(2 * LONG_S, POOL) == {"v2"}
