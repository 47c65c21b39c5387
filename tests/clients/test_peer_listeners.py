"""The peers' addresses of gateways and sidecars outlive strangers."""

import asyncio

import pytest

from tests.clients.crowds import (
    PEER_FLOODS,
    PEERS_LEFT_OPEN,
    connections_left_open,
    send_flood,
)
from tests.clients.support import FEW_DESCRIPTORS, PEER_LISTENERS
from tests.clients.test_http_listeners import CROWD, check_unharmed
from tests.support import run_async


@pytest.mark.parametrize("flood", PEER_FLOODS)
@pytest.mark.parametrize("name", PEER_LISTENERS)
def test_messages_of_strangers_are_not_kept(tmp_path, name, flood):
    """Guards against a process that runs out of memory on what no peer sends."""

    async def check():
        async with PEER_LISTENERS[name](tmp_path) as opened:
            assert await opened.answers()
            before = opened.descriptors
            await send_flood(opened.host, opened.port, PEER_FLOODS[flood])
            await check_unharmed(opened, before)

    run_async(check())


@pytest.mark.parametrize("sent", PEERS_LEFT_OPEN)
@pytest.mark.parametrize("name", PEER_LISTENERS)
def test_strangers_that_stay_connected_take_nobodys_place(tmp_path, name, sent):
    """Guards against callers that are reset, as strangers hold all descriptors."""

    async def check():
        async with PEER_LISTENERS[name](tmp_path, FEW_DESCRIPTORS) as opened:
            assert await opened.answers()
            before = opened.descriptors
            async with connections_left_open(
                opened.host, opened.port, CROWD, PEERS_LEFT_OPEN[sent]
            ):
                await asyncio.sleep(1.0)
                assert await opened.answers()
            await check_unharmed(opened, before)

    run_async(check())
