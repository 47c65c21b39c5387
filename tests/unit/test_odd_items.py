"""Any bytes under any key, beside sound records: all gateways see the sound ones."""

from random import Random

import pytest
from hypothesis import HealthCheck, given, settings, strategies as st

from tests.fuzz_records.__main__ import play
from tests.fuzz_records.records import read_corpus
from tests.support.virtual_time import run_on_virtual_time

RUNS = settings(
    max_examples=15,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


@RUNS
@given(st.randoms(use_true_random=False))
def test_views_of_sound_records_are_equal(random):
    """Guards against one odd record that keeps sound ones from some gateways."""
    run_on_virtual_time(play(random))


@pytest.mark.parametrize("seed", range(10))
def test_views_are_equal_in_fixed_runs(seed):
    """Guards against what hypothesis does not draw."""
    run_on_virtual_time(play(Random(seed)))


@pytest.mark.parametrize("name", read_corpus())
def test_a_record_that_once_broke_something_breaks_nothing(name):
    """Guards against the return of a fault that one record showed."""
    run_on_virtual_time(play(Random(1), [read_corpus()[name]]))
