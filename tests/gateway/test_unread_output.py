"""A gateway whose output nobody reads."""

import asyncio

from bench.process_cost import memory_mb
from tests.gateway.fake_endpoint import complete_response
from tests.gateway.support import route, run_with_cluster

AT_ONCE = 8
REQUESTS = 3000
# Two thousand lines of 300 bytes wait at most; the rest is the allocator's.
MOST_GROWTH_MB = 4.0


async def serve(gateway, requests):
    """Send requests a few at a time; return the statuses."""
    numbers = iter(range(requests))

    async def work():
        return [(await gateway.call("/job/"))[0] for _ in numbers]

    found = await asyncio.gather(*(work() for _ in range(AT_ONCE)))
    return [status for statuses in found for status in statuses]


def test_a_reader_that_stops_costs_no_request(tmp_path):
    """
    All requests of a gateway hang. Whoever collects its output had stopped reading,
    the pipe was full, and the next line held up the loop; or lines were kept without
    a bound until the process was killed for its memory.
    """

    async def check(cluster):
        await cluster.endpoint(
            "e", "job", lambda request: [complete_response(request, b"job")]
        )
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway(metrics_address="127.0.0.1:0")
        assert set(await serve(gateway, 200)) == {200}
        gateway.process.stop_reading()
        before = memory_mb(gateway.process.pid)
        assert set(await serve(gateway, REQUESTS)) == {200}
        assert memory_mb(gateway.process.pid) - before < MOST_GROWTH_MB
        gateway.process.go_on_reading()
        assert "count=" in await gateway.wait_for_event("log_lines_lost")

    run_with_cluster(tmp_path, check)
