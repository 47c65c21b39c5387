"""Times to the first event of a stream, as observed by pipeline."""

import pytest

from amaranthtally.policy.first_events import (
    DEFAULT_S,
    LONGEST_S,
    MAX_PIPELINES,
    FirstEventTimes,
)


def test_default_is_used_without_samples():
    assert FirstEventTimes().mean_s("draft") == DEFAULT_S


@pytest.mark.parametrize("took_s", [0.02, 0.09, 0.4, 1.6])
def test_mean_converges_to_observed_times(took_s):
    """A constant measured at one deployment's engines was used for all deployments."""
    times = FirstEventTimes()
    for _ in range(120):
        times.add("draft", took_s)
    assert times.mean_s("draft") == pytest.approx(took_s, rel=0.05)


def test_pipelines_are_measured_separately():
    times = FirstEventTimes()
    for _ in range(200):
        times.add("short", 0.05)
        times.add("long", 0.9)
    assert times.mean_s("short") < 0.06
    assert times.mean_s("long") > 0.85


def test_number_of_pipelines_is_bounded():
    times = FirstEventTimes()
    for number in range(2 * MAX_PIPELINES):
        times.add(f"p{number}", 2.0)
    known = [times.mean_s(f"p{n}") != DEFAULT_S for n in range(2 * MAX_PIPELINES)]
    assert sum(known) == MAX_PIPELINES
    assert known[-1]


def test_extreme_samples_are_clamped():
    """One engine that hung for minutes made every request of its pipeline late."""
    times = FirstEventTimes()
    for _ in range(500):
        times.add("draft", 600.0)
        times.add("draft", -5.0)
    assert 0.0 <= times.mean_s("draft") <= LONGEST_S
