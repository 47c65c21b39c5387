"""A gateway whose log output is not read."""

import asyncio

from bench.process_cost import memory_mb
from tests.gateway.fake_endpoint import complete_response
from tests.gateway.support import route, run_with_cluster

CONCURRENCY = 8
REQUESTS = 3000
# At most 2,000 lines of 300 bytes are queued; the rest is for the allocator.
MAX_GROWTH_MB = 4.0


async def serve(gateway, requests):
    """Send requests, a few concurrently; return the statuses."""
    numbers = iter(range(requests))

    async def worker():
        return [(await gateway.call("/job/"))[0] for _ in numbers]

    results = await asyncio.gather(*(worker() for _ in range(CONCURRENCY)))
    return [status for statuses in results for status in statuses]


def test_unread_log_output_fails_no_request(tmp_path):
    """
    Guards against requests that hang, or a process that runs out of memory, when the
    log collector stops reading. The pipe was full and the next log line blocked the
    event loop; or unwritten lines were queued without a limit.
    """

    async def check(cluster):
        await cluster.endpoint(
            "e", "job", lambda request: [complete_response(request, b"job")]
        )
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway(metrics_address="127.0.0.1:0")
        assert set(await serve(gateway, 200)) == {200}
        gateway.process.pause_output()
        before = memory_mb(gateway.process.pid)
        assert set(await serve(gateway, REQUESTS)) == {200}
        assert memory_mb(gateway.process.pid) - before < MAX_GROWTH_MB
        gateway.process.resume_output()
        assert "count=" in await gateway.wait_for_event("log_lines_lost")

    run_with_cluster(tmp_path, check)
