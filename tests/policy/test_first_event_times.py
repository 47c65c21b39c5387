"""What engines take to the first event of a stream, as observed."""

import pytest

from amaranthtally.policy.first_event_times import (
    DEFAULT_S,
    LONGEST_S,
    MOST_PIPELINES,
    FirstEventTimes,
)


def test_nothing_observed_gives_the_default():
    assert FirstEventTimes().usual_s("draft") == DEFAULT_S


@pytest.mark.parametrize("took_s", [0.02, 0.09, 0.4, 1.6])
def test_what_engines_take_is_learned(took_s):
    """A constant of one deployment's engines was used for all of them."""
    found = FirstEventTimes()
    for _ in range(120):
        found.note("draft", took_s)
    assert found.usual_s("draft") == pytest.approx(took_s, rel=0.05)


def test_pipelines_are_told_apart():
    found = FirstEventTimes()
    for _ in range(200):
        found.note("short", 0.05)
        found.note("long", 0.9)
    assert found.usual_s("short") < 0.06
    assert found.usual_s("long") > 0.85


def test_pipelines_that_come_and_go_do_not_fill_the_memory():
    found = FirstEventTimes()
    for number in range(2 * MOST_PIPELINES):
        found.note(f"p{number}", 2.0)
    known = [found.usual_s(f"p{n}") != DEFAULT_S for n in range(2 * MOST_PIPELINES)]
    assert sum(known) == MOST_PIPELINES
    assert known[-1]


def test_what_hangs_or_lies_is_bounded():
    """One engine that hung for minutes made every request of its kind late."""
    found = FirstEventTimes()
    for _ in range(500):
        found.note("draft", 600.0)
        found.note("draft", -5.0)
    assert 0.0 <= found.usual_s("draft") <= LONGEST_S
