"""Every HTTP listener of every program outlives clients that keep to no limit."""

import pytest

from tests.clients.crowds import FLOODS, LEFT_OPEN
from tests.clients.support import (
    FEW_DESCRIPTORS,
    LISTENERS,
    check_flood,
    check_left_open,
)
from tests.support import run_async


@pytest.mark.parametrize("flood", FLOODS)
@pytest.mark.parametrize("name", LISTENERS)
def test_what_comes_without_end_is_neither_kept_nor_read_on(tmp_path, name, flood):
    """Guards against a process that runs out of memory on heads or bodies."""
    run_async(check_flood(LISTENERS[name](tmp_path), FLOODS[flood]))


@pytest.mark.parametrize("sent", LEFT_OPEN)
@pytest.mark.parametrize("name", LISTENERS)
def test_connections_that_are_left_open_take_nobodys_place(tmp_path, name, sent):
    """Guards against callers that are reset, as a crowd holds all descriptors."""
    opening = LISTENERS[name](tmp_path, FEW_DESCRIPTORS)
    run_async(check_left_open(opening, LEFT_OPEN[sent]))
