"""A link of the tests carries no more than its rate, and little less."""

import asyncio

from amaranthtally.standins.relay import RATE_LIMITED_CHUNK_BYTES, RateLimitedLink

BYTES_PER_S = 500_000.0
CHUNKS = 64
SENT = CHUNKS * RATE_LIMITED_CHUNK_BYTES


def taken_s(link, before_s=0.0):
    """Return how long a link takes for some chunks, in seconds, after standing idle."""

    async def send():
        await link.carry(RATE_LIMITED_CHUNK_BYTES)
        await asyncio.sleep(before_s)
        began = asyncio.get_running_loop().time()
        for _ in range(CHUNKS):
            await link.carry(RATE_LIMITED_CHUNK_BYTES)
        return asyncio.get_running_loop().time() - began

    return asyncio.run(send())


def test_a_link_that_stood_idle_is_no_faster():
    """Guards against tests of thin links that pass as their link is not thin."""
    allowed_s = 0.02
    for before_s in (0.0, 0.5):
        took_s = taken_s(RateLimitedLink(BYTES_PER_S), before_s)
        assert took_s >= SENT / BYTES_PER_S - allowed_s
