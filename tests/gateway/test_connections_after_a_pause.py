"""Connections at a gateway that was kept from running for a while."""

import asyncio
import signal

import aiohttp
import pytest

from tests.gateway.support import respond_with, route, run_with_cluster

# As many as a gateway that is on time takes at once.
CALLERS = 16


async def is_reset(gateway):
    try:
        await gateway.call("/job/")
    except aiohttp.ClientConnectionError:
        return True
    return False


@pytest.mark.parametrize("still_s", [0.1, 1.5, 5.0])
def test_a_gateway_that_stood_still_resets_no_connection(tmp_path, still_s):
    """Guards against callers who pay for a pause that is over."""

    async def check(cluster):
        await cluster.endpoint("e", "job", respond_with(b"ok"), slots=CALLERS)
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        await gateway.call("/job/")
        await asyncio.sleep(1.0)
        gateway.process.send(signal.SIGSTOP)
        try:
            await asyncio.sleep(still_s)
        finally:
            gateway.process.send(signal.SIGCONT)
        # After the check that was late.
        await asyncio.sleep(0.01)
        resets = await asyncio.gather(*(is_reset(gateway) for _ in range(CALLERS)))
        assert sum(resets) == 0

    run_with_cluster(tmp_path, check)
