"""A rate-limited link does not exceed its rate, also after it was idle."""

import asyncio

from amaranthtally.standins.relay import RATE_LIMITED_CHUNK_BYTES, RateLimitedLink

BYTES_PER_S = 500_000.0
CHUNKS = 64
TOTAL_BYTES = CHUNKS * RATE_LIMITED_CHUNK_BYTES


def transfer_time_s(link, idle_s=0.0):
    """Return the seconds that a link takes for ``CHUNKS`` chunks after idling."""

    async def send():
        await link.throttle(RATE_LIMITED_CHUNK_BYTES)
        await asyncio.sleep(idle_s)
        started_at = asyncio.get_running_loop().time()
        for _ in range(CHUNKS):
            await link.throttle(RATE_LIMITED_CHUNK_BYTES)
        return asyncio.get_running_loop().time() - started_at

    return asyncio.run(send())


def test_idle_link_does_not_exceed_its_rate():
    """Guards against tests that pass only because their link exceeds its rate."""
    tolerance_s = 0.02
    for idle_s in (0.0, 0.5):
        measured_s = transfer_time_s(RateLimitedLink(BYTES_PER_S), idle_s)
        assert measured_s >= TOTAL_BYTES / BYTES_PER_S - tolerance_s
