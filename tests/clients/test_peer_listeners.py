"""The peers' addresses of gateways and sidecars outlive strangers."""

import pytest

from tests.clients.crowds import PEER_FLOODS, PEERS_LEFT_OPEN
from tests.clients.support import (
    FEW_DESCRIPTORS,
    PEER_LISTENERS,
    check_flood,
    check_left_open,
)
from tests.support import run_async


@pytest.mark.parametrize("flood", PEER_FLOODS)
@pytest.mark.parametrize("name", PEER_LISTENERS)
def test_messages_of_strangers_are_not_kept(tmp_path, name, flood):
    """Guards against a process that runs out of memory on what no peer sends."""
    run_async(check_flood(PEER_LISTENERS[name](tmp_path), PEER_FLOODS[flood]))


@pytest.mark.parametrize("sent", PEERS_LEFT_OPEN)
@pytest.mark.parametrize("name", PEER_LISTENERS)
def test_strangers_that_stay_connected_take_nobodys_place(tmp_path, name, sent):
    """Guards against callers that are reset, as strangers hold all descriptors."""
    opening = PEER_LISTENERS[name](tmp_path, FEW_DESCRIPTORS)
    run_async(check_left_open(opening, PEERS_LEFT_OPEN[sent]))
