"""A stopping gateway answers all requests that it has received."""

import asyncio
import signal

import pytest

from amaranthtally.adapter import headers as names
from tests.gateway.fake_endpoint import (
    STREAM_END,
    complete_response,
    http_chunk,
    sse_events,
    stream_response_head,
)
from tests.gateway.support import STREAM, open_silent_stage, route, run_with_cluster


def test_open_streams_are_completed_before_the_process_ends(tmp_path):
    """Guards against streams that are truncated by a planned restart."""

    def script(request):
        steps = [step for n in range(1, 9) for step in (http_chunk(sse_events(n)), 0.2)]
        return [stream_response_head(request), *steps, STREAM_END]

    async def check(cluster):
        await cluster.endpoint("e", "job", script)
        cluster.configure(1, route("job", **STREAM))
        gateway = await cluster.gateway()
        stream = asyncio.create_task(gateway.stream("/job/"))
        await gateway.wait_for_event("attempt_sent")
        gateway.process.send(signal.SIGTERM)
        await gateway.wait_for_event("gateway_leaving")
        assert not await gateway.is_ready()
        _, body, is_complete = await stream
        assert is_complete
        assert body == sse_events(*range(1, 9))
        assert await gateway.process.wait() == 0

    run_with_cluster(tmp_path, check)


def test_requests_are_served_until_the_balancer_sends_no_more(tmp_path):
    """
    Guards against two seconds of refused connections. The balancer still sent callers
    to a process that had closed its listener at once.
    """

    async def check(cluster):
        await cluster.endpoint("e", "job", lambda r: [complete_response(r)])
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        gateway.process.send(signal.SIGTERM)
        await gateway.wait_for_event("gateway_leaving")
        loop = asyncio.get_running_loop()
        end = loop.time() + 2.0
        while loop.time() < end:
            status, headers, _ = await gateway.call("/job/")
            assert status == 200
            assert headers["Connection"] == "close"
            await asyncio.sleep(0.1)

    run_with_cluster(tmp_path, check)


def test_the_last_gateways_serve_longer_when_all_leave_together(tmp_path):
    """Guards against a roll in which each gateway sends its callers to the others."""

    async def check(cluster):
        await cluster.endpoint("e", "job", lambda r: [complete_response(r)])
        cluster.configure(1, route("job"))
        gateways = [await cluster.gateway(f"g{n}") for n in range(2)]
        await gateways[0].wait_for_event("peer_connected")
        loop = asyncio.get_running_loop()
        end = loop.time() + 2.8
        for gateway in gateways:
            gateway.process.send(signal.SIGTERM)
        while loop.time() < end:
            for gateway in gateways:
                assert (await gateway.call("/job/"))[0] == 200
            await asyncio.sleep(0.1)

    run_with_cluster(tmp_path, check)


def test_unsent_requests_are_refused_before_the_process_ends(tmp_path):
    """
    Guards against a connection that is closed without a response. The request still
    waited for a stage when the grace period ended.
    """

    async def check(cluster):
        headers = await open_silent_stage(cluster)
        gateway = await cluster.gateway(stop_grace=8.0)
        call = asyncio.create_task(gateway.call("/job/", **headers))
        await gateway.wait_for_event("request_received")
        gateway.process.send(signal.SIGTERM)
        status, response_headers, _ = await call
        assert status == 503
        assert float(response_headers[names.RETRY_AFTER]) > 0

    run_with_cluster(tmp_path, check)


def test_a_stopping_gateway_stays_deregistered(tmp_path):
    """
    Guards against jobs that are submitted to a leaving gateway. It took the end of its
    own lease for an outage and registered again.
    """

    async def check(cluster):
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        await gateway.wait_for_event("registered")
        gateway.process.send(signal.SIGTERM)
        await gateway.process.wait()
        assert not [k for k in cluster.store.items if k.startswith("entries/")]
        assert sum("event=registered" in x for x in gateway.process.lines) == 1

    run_with_cluster(tmp_path, check)


def test_idle_connections_do_not_delay_the_end_of_the_process(tmp_path):
    """
    Guards against a restart that takes the whole grace period and ends with a kill. A
    caller kept its connection open after a refused request and sent nothing more.
    """

    async def check(cluster):
        await cluster.endpoint("e", "job", lambda r: [complete_response(r), 9.0])
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway(stop_grace=4.0)
        host, port = "127.0.0.1", gateway.process.ports["port"]
        idle = [await asyncio.open_connection(host, port) for _ in range(3)]
        partial_head = await asyncio.open_connection(host, port)
        partial_head[1].write(b"POST /job/ HTTP/1.1\r\nHost: api.example\r\n")
        missing_body = await asyncio.open_connection(host, port)
        headers = {"Content-Length": "9"}
        missing_body[1].write(gateway.request_head("POST", "/job/", **headers))
        assert (await gateway.call("/job/"))[0] == 200
        gateway.process.send(signal.SIGTERM)
        async with asyncio.timeout(5.0):
            assert await gateway.process.wait() == 0
        for _, writer in [*idle, partial_head, missing_body]:
            writer.close()

    run_with_cluster(tmp_path, check)


def test_a_body_that_does_not_arrive_does_not_delay_the_end(tmp_path):
    """Guards against a stop that one silent caller holds to the end of the grace."""

    async def check(cluster):
        await cluster.endpoint("e", "job", lambda r: [complete_response(r)])
        cluster.configure(1, route("job", timeoutMs=30000))
        gateway = await cluster.gateway(stop_grace=20.0)
        port = gateway.process.ports["port"]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        headers = {names.DEADLINE_MS: "30000", "Content-Length": "9"}
        writer.write(gateway.request_head("POST", "/job/", **headers))
        assert (await gateway.call("/job/"))[0] == 200
        gateway.process.send(signal.SIGTERM)
        async with asyncio.timeout(8.0):
            assert b" 503 " in await reader.readline()
            assert await gateway.process.wait() == 0
        writer.close()

    run_with_cluster(tmp_path, check)


@pytest.mark.parametrize(
    "number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGQUIT]
)
def test_signals_during_the_exit_are_ignored(tmp_path, number):
    """Guards against a signal that kills the process after its event loop has ended."""

    async def check(cluster):
        await cluster.endpoint("e", "job", lambda r: [complete_response(r)])
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway()
        gateway.process.send(signal.SIGTERM)
        await gateway.wait_for_event("gateway_stopped")
        ending = asyncio.create_task(gateway.process.wait())
        while not ending.done():
            gateway.process.send(number)
            await asyncio.sleep(0.001)
        assert await ending == 0

    run_with_cluster(tmp_path, check)
