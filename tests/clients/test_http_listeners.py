"""Every HTTP listener of every program outlives clients that keep to no limit."""

import asyncio

import pytest

from tests.clients.crowds import FLOODS, LEFT_OPEN, connections_left_open, send_flood
from tests.clients.support import (
    DESCRIPTOR_SLACK,
    FEW_DESCRIPTORS,
    LISTENERS,
    MEMORY_MB,
)
from tests.support import run_async

# Connections that are left open: more than the process may open descriptors.
CROWD = 260
# How long descriptors may take to be closed after a crowd has gone, in seconds.
CLOSING_TIMEOUT_S = 20.0


async def check_unharmed(opened, descriptors_before):
    """Check that a process lives, answers, and holds neither memory nor descriptors."""
    assert opened.process.exit_code is None
    assert opened.peak_mb < MEMORY_MB
    assert await opened.answers()
    async with asyncio.timeout(CLOSING_TIMEOUT_S):
        while opened.descriptors > descriptors_before + DESCRIPTOR_SLACK:
            await asyncio.sleep(0.1)


@pytest.mark.parametrize("flood", FLOODS)
@pytest.mark.parametrize("name", LISTENERS)
def test_what_comes_without_end_is_neither_kept_nor_read_on(tmp_path, name, flood):
    """Guards against a process that runs out of memory on heads or bodies."""

    async def check():
        async with LISTENERS[name](tmp_path) as opened:
            assert await opened.answers()
            before = opened.descriptors
            await send_flood(opened.host, opened.port, FLOODS[flood])
            await check_unharmed(opened, before)

    run_async(check())


@pytest.mark.parametrize("sent", LEFT_OPEN)
@pytest.mark.parametrize("name", LISTENERS)
def test_connections_that_are_left_open_take_nobodys_place(tmp_path, name, sent):
    """Guards against callers that are reset, as a crowd holds all descriptors."""

    async def check():
        async with LISTENERS[name](tmp_path, FEW_DESCRIPTORS) as opened:
            assert await opened.answers()
            before = opened.descriptors
            async with connections_left_open(
                opened.host, opened.port, CROWD, LEFT_OPEN[sent]
            ):
                await asyncio.sleep(1.0)
                assert await opened.answers()
            await check_unharmed(opened, before)

    run_async(check())
