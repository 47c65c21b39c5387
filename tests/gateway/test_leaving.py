"""A gateway that is told to stop cuts nothing that it has read."""

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
from tests.gateway.support import STREAM, route, run_with_cluster


def test_what_was_read_is_answered_and_the_process_ends(tmp_path):
    """
    A stream is cut by a planned restart.
    """

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
        _, body, is_whole = await stream
        assert is_whole
        assert body == sse_events(*range(1, 9))
        assert await gateway.process.wait() == 0

    run_with_cluster(tmp_path, check)


def test_requests_are_served_until_the_balancer_has_let_go(tmp_path):
    """
    Callers see refused connections for two seconds. The balancer still sent them to a
    process that had closed its listener at once.
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


def test_what_can_not_be_finished_is_refused_truly_before_the_end(tmp_path):
    """
    A caller's connection ends without a word. Its request still waited for a stage
    when its process had to end.
    """

    async def check(cluster):
        stages = [{"service": "stage", "after": [], "sizeBytes": 1}]
        segments = {"slots": 1, "queue": 2, "batch": 8, "callMs": 5000.0}
        await cluster.endpoint("stage", "stage", lambda r: [60.0])
        await cluster.endpoint("e", "job", lambda r: [complete_response(r)])
        long = {"timeoutMs": 30000, "latencySloMs": 30000}
        made = route("job", phases=stages, **STREAM | long)
        cluster.configure(1, made, services=[{"name": "stage", "segments": segments}])
        gateway = await cluster.gateway(stop_grace=8.0)
        headers = {names.CHUNK_COUNTS: "1", names.DEADLINE_MS: "30000"}
        call = asyncio.create_task(gateway.call("/job/", **headers))
        await gateway.wait_for_event("request_received")
        gateway.process.send(signal.SIGTERM)
        status, answer, _ = await call
        assert status == 503
        assert float(answer[names.RETRY_AFTER]) > 0

    run_with_cluster(tmp_path, check)


def test_a_leaving_gateway_is_no_longer_registered(tmp_path):
    """
    Pieces wait in a process that ends. Its record came back as soon as its lease was
    ended, since it took that for an outage.
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


def test_a_caller_that_keeps_its_connection_does_not_hold_the_process(tmp_path):
    """
    A restart takes the whole grace and ends with a kill. A caller kept its connection
    open, had a request refused on it, and sent nothing more.
    """

    async def check(cluster):
        await cluster.endpoint("e", "job", lambda r: [complete_response(r), 9.0])
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway(stop_grace=4.0)
        host, port = "127.0.0.1", gateway.process.ports["port"]
        idle = [await asyncio.open_connection(host, port) for _ in range(3)]
        half = await asyncio.open_connection(host, port)
        half[1].write(b"POST /job/ HTTP/1.1\r\nHost: api.example\r\n")
        body = await asyncio.open_connection(host, port)
        head = "".join(f"{k}: {v}\r\n" for k, v in gateway.headers().items())
        body[1].write(
            f"POST /job/ HTTP/1.1\r\n{head}Content-Length: 9\r\n\r\n".encode()
        )
        assert (await gateway.call("/job/"))[0] == 200
        gateway.process.send(signal.SIGTERM)
        async with asyncio.timeout(5.0):
            assert await gateway.process.wait() == 0
        for _, writer in [*idle, half, body]:
            writer.close()

    run_with_cluster(tmp_path, check)


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
def test_a_signal_at_the_very_end_is_no_crash(tmp_path, number):
    """Guards against a signal that kills a process whose loop has just ended."""

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
