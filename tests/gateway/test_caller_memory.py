"""Callers that read slowly, and what a gateway holds for them."""

import asyncio
import socket
import time

import pytest

from bench.process_cost import memory_mb
from tests.gateway.fake_endpoint import (
    STREAM_END,
    complete_response,
    http_chunk,
    stream_response_head,
)
from tests.gateway.support import (
    HOST,
    KEY,
    STREAM,
    respond_with,
    route,
    run_with_cluster,
)

# An event of this size, in bytes; as many of them as no socket holds, 32 MB in all.
EVENT_BYTES = 16_384
MANY_EVENTS = 2000
# The memory of a process that is smaller than the process, in megabytes: an eighth of
# it is left to callers.
SMALL_MB = 64
LIMIT_MB = SMALL_MB / 8
SLOW_CALLERS = 1000
FEW_EVENTS = 8
# Documents that fit into the memory of a process once, but not twice.
DOCUMENT_BYTES = 3_000_000
DOCUMENTS = 27
DOCUMENTS_MB = 200
# A gateway takes 16 connections in 50 ms, and closes others unread.
CONNECTIONS = 8
PAUSE_S = 0.05
# Beside load the connections of several pauses come at once.
CONNECT_TRIES = 5
RECEIVE_BUFFER_BYTES = 4096
OTHER_CALLS = 300


def event(number):
    return b"id: %d\ndata: %s\n\n" % (number, b"x" * EVENT_BYTES)


def stream_of(events, finished=None):
    """Return the script of a stream; ``finished`` is set when all of it is sent."""

    def script(request):
        yield stream_response_head(request)
        for number in range(1, events + 1):
            yield http_chunk(event(number))
        yield STREAM_END
        if finished is not None:
            finished.set()

    return script


class SlowCaller:
    """Sends a request over a socket and reads the response when told to."""

    def __init__(self, gateway, path, extra=b""):
        lines = [f"{k}: {v}" for k, v in gateway.headers().items()]
        assert HOST in lines[0] and KEY in lines[-1]
        text = f"POST {path} HTTP/1.1\r\n" + "\r\n".join(lines)
        self.request = text.encode() + b"\r\n" + extra + b"\r\n"
        self.port = gateway.process.ports["port"]

    async def send_when_taken(self):
        """Send again while the gateway closes the connection unread, like a caller."""
        for _ in range(CONNECT_TRIES):
            try:
                return await self.send()
            except (asyncio.IncompleteReadError, ConnectionError):
                self.writer.close()
                await asyncio.sleep(PAUSE_S)
        return b""

    async def send(self, receive_buffer=RECEIVE_BUFFER_BYTES):
        connection = socket.socket()
        if receive_buffer:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, ("127.0.0.1", self.port))
        self.reader, self.writer = await asyncio.open_connection(
            sock=connection, limit=RECEIVE_BUFFER_BYTES
        )
        self.writer.write(self.request)
        return await self.reader.readuntil(b"\r\n\r\n")

    async def read_all(self):
        """Return the rest of a response, and whether it is whole."""
        body = b""
        try:
            while not body.endswith(STREAM_END):
                part = await self.reader.read(65_536)
                if not part:
                    return body, False
                body += part
        except ConnectionError:
            return body, False
        finally:
            self.writer.close()
        return body, True


def test_a_response_is_read_while_its_caller_is_slow(tmp_path):
    """Guards against an endpoint that cuts off a response because it is not read."""

    async def check(cluster):
        finished = asyncio.Event()
        await cluster.endpoint("e", "ask", stream_of(MANY_EVENTS, finished))
        cluster.configure(1, route("ask", **STREAM))
        gateway = await cluster.gateway(memory_mb=300)
        caller = SlowCaller(gateway, "/ask/")
        await caller.send(receive_buffer=0)
        async with asyncio.timeout(10.0):
            await finished.wait()
        body, is_whole = await caller.read_all()
        assert is_whole
        assert body.count(b"data: ") == MANY_EVENTS

    run_with_cluster(tmp_path, check)


def test_beyond_the_limit_the_largest_caller_alone_is_ended(tmp_path):
    """Guards against a slow caller that ends the process, or the streams of others."""

    async def check(cluster):
        await cluster.endpoint("many", "many", stream_of(MANY_EVENTS))
        await cluster.endpoint("few", "few", stream_of(FEW_EVENTS))
        cluster.configure(1, route("many", **STREAM), route("few", **STREAM))
        gateway = await cluster.gateway(memory_mb=SMALL_MB)
        others = [SlowCaller(gateway, "/few/") for _ in range(8)]
        for other in others:
            await other.send()
        before = memory_mb(gateway.process.pid)
        caller = SlowCaller(gateway, "/many/")
        await caller.send()
        async with asyncio.timeout(10.0):
            await gateway.wait_for_event("request_ended_for_memory")
        assert memory_mb(gateway.process.pid) - before < 2 * LIMIT_MB
        assert not (await caller.read_all())[1]
        for other in others:
            body, is_whole = await other.read_all()
            assert is_whole
            assert body.count(b"data: ") == FEW_EVENTS
        assert (await gateway.stream("/few/"))[2]

    run_with_cluster(tmp_path, check)


def test_a_request_that_does_not_fit_is_refused_before_its_body(tmp_path):
    """Guards against bodies that fill the memory, and against a needless upload."""

    async def check(cluster):
        endpoint = await cluster.endpoint("e", "job", respond_with(b"job"))
        cluster.configure(1, route("job"))
        gateway = await cluster.gateway(memory_mb=8)
        head = await SlowCaller(gateway, "/job/", b"Content-Length: 2000000\r\n").send()
        assert head.startswith(b"HTTP/1.1 503 ")
        assert b"\r\nRetry-After: " in head
        assert not endpoint.requests
        assert (await gateway.call("/job/", body=b"x"))[0] == 200

    run_with_cluster(tmp_path, check)


def test_a_thousand_slow_callers_leave_the_others_served(tmp_path):
    """Guards against slow callers that together take an entry's memory or its time."""

    async def check(cluster):
        await cluster.endpoint("ask", "ask", stream_of(FEW_EVENTS))
        await cluster.endpoint("job", "job", respond_with(b"job"))
        cluster.configure(1, route("ask", **STREAM), route("job"))
        gateway = await cluster.gateway(memory_mb=200)
        callers = [SlowCaller(gateway, "/ask/") for _ in range(SLOW_CALLERS)]
        begun = 0
        for number in range(0, SLOW_CALLERS, CONNECTIONS):
            await asyncio.sleep(PAUSE_S)
            batch = callers[number : number + CONNECTIONS]
            heads = await asyncio.gather(
                *(caller.send_when_taken() for caller in batch)
            )
            begun += sum(head.startswith(b"HTTP/1.1 200 ") for head in heads)
        times = []
        for _ in range(OTHER_CALLS):
            started = time.perf_counter()
            assert (await gateway.call("/job/"))[0] == 200
            times.append(time.perf_counter() - started)
        peak = memory_mb(gateway.process.pid)
        p99_ms = sorted(times)[int(0.99 * OTHER_CALLS)] * 1000
        print(f"begun {begun}, peak {peak:.0f} MB, p99 of others {p99_ms:.1f} ms")
        assert peak < 200
        assert begun == SLOW_CALLERS
        reading = asyncio.Semaphore(50)

        async def read(caller):
            async with reading:
                return await caller.read_all()

        for body, is_whole in await asyncio.gather(*map(read, callers)):
            assert is_whole
            assert body.count(b"data: ") == FEW_EVENTS

    run_with_cluster(tmp_path, check)


@pytest.mark.parametrize("status", ["200 OK", "500 Failed"])
def test_whole_responses_to_slow_callers_are_held_once(tmp_path, status):
    """Guards against slow readers of documents that take a gateway's memory."""

    async def check(cluster):
        document = b"d" * DOCUMENT_BYTES

        def script(request):
            return [complete_response(request, document, status)]

        await cluster.endpoint("e", "document", script, slots=64)
        cluster.configure(1, route("document", "non_idempotent", timeoutMs=30_000))
        gateway = await cluster.gateway(memory_mb=DOCUMENTS_MB)
        callers = [SlowCaller(gateway, "/document/") for _ in range(DOCUMENTS)]
        for number in range(0, DOCUMENTS, CONNECTIONS):
            await asyncio.sleep(PAUSE_S)
            batch = callers[number : number + CONNECTIONS]
            heads = await asyncio.gather(*(c.send_when_taken() for c in batch))
            expected = f"HTTP/1.1 {status[:3]} ".encode()
            assert all(head.startswith(expected) for head in heads)
        assert memory_mb(gateway.process.pid) < DOCUMENTS_MB
        for caller in callers:
            assert await caller.reader.readexactly(DOCUMENT_BYTES) == document
            caller.writer.close()

    run_with_cluster(tmp_path, check)
