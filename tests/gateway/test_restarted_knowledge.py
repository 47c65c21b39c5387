"""What a gateway that is killed and starts again knows of endpoints."""

import asyncio
from random import Random

from amaranthtally.daemon.gateway.notice_reader import NoticeReader
from amaranthtally.wire import PeerLostError
from tests.gateway.support import respond_with, route, run_with_cluster
from tests.gateway.test_rate_limits import limited_script

# Longest time after a gateway is ready until it has what the others know, in seconds.
KNOWN_WITHIN_S = 0.3


def test_a_restarted_gateway_knows_the_limits_of_endpoints_at_once(tmp_path):
    """Guards against requests that a restarted gateway sends before it is told."""

    async def check(cluster):
        await cluster.endpoint("limited", "job", limited_script([]))
        await cluster.endpoint("other", "job", respond_with(b"ok"))
        cluster.configure(1, route("job"))
        address = cluster.reserve_address()
        first = await cluster.gateway("g0")
        second = await cluster.gateway("g1", peer_address=address)
        await first.wait_for_event("peer_connected", peer="g1")
        while not any("rate_limit_changed" in line for line in first.process.lines):
            await first.call("/job/")
        await second.process.kill()
        second = await cluster.gateway("g1", peer_address=address)
        async with asyncio.timeout(KNOWN_WITHIN_S):
            await second.wait_for_event("notices_read", peer="g0")
        assert any("rate_limit_changed" in line for line in second.process.lines)

    run_with_cluster(tmp_path, check)


def test_the_reader_asks_until_a_peer_answers():
    """Guards against a reader that gives up as its first peers are starting too."""
    asked = []

    async def read(peer):
        asked.append(peer)
        if len(asked) < 4:
            raise PeerLostError(peer, "refused")
        return 2

    async def check():
        known = [(), ("a",), ("a", "b"), ("a", "b")]
        reader = NoticeReader(
            lambda: known.pop(0) if len(known) > 1 else known[0], [read], Random(1)
        )
        await asyncio.wait_for(reader.run(), 5.0)

    asyncio.run(check())
    assert len(asked) >= 4
