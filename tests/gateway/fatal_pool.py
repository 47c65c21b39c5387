"""Endpoints that end as soon as they begin to answer some requests."""

import asyncio
from contextlib import suppress

from tests.gateway.fake_endpoint import (
    STREAM_END,
    Close,
    FakeEndpoint,
    http_chunk,
    sse_events,
    stream_response_head,
)

# How long an endpoint is down after its end, and how much later its record goes.
DOWN_S = 0.6
RECORD_LAG_S = 0.3


class FatalPool:
    """
    Endpoints of a pool; ``is_fatal`` tells the requests on which they end.

    An endpoint that ends closes its port, loses its record, and starts again under a
    new id. One that ``is_supervised`` keeps both, and resets all connections until it
    is up again.
    """

    def __init__(self, cluster, stack, is_fatal, pool="chat", is_supervised=False):
        self.cluster = cluster
        self.stack = stack
        self.is_fatal = is_fatal
        self.pool = pool
        self.is_supervised = is_supervised
        self.serial = 0
        self.ends = []
        self.fatal_arrivals = []
        self.running = {}

    async def start(self):
        self.serial += 1
        name = f"{self.pool}-{self.serial}"
        endpoint = FakeEndpoint(name, lambda request: self.script(name, request))
        server = await asyncio.start_server(self.serve(name, endpoint), "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        endpoint.address = f"{host}:{port}"
        self.running[name] = (server, set())
        self.stack.callback(server.close)
        self.cluster.store.put(f"servers/{name}", endpoint.record(self.pool))

    def serve(self, name, endpoint):
        async def serve(reader, writer):
            if name not in self.running:
                writer.transport.abort()
                return
            self.running[name][1].add(writer)
            with suppress(ConnectionError, asyncio.IncompleteReadError):
                await endpoint.serve(reader, writer)

        return serve

    def script(self, name, request):
        if not self.is_fatal(request):
            events = http_chunk(sse_events(1)), 0.05, http_chunk(sse_events(2))
            return [stream_response_head(request), *events, STREAM_END]
        self.fatal_arrivals.append(asyncio.get_running_loop().time())
        end = asyncio.create_task(self.end(name))
        self.stack.callback(end.cancel)
        return [stream_response_head(request), 0.05, Close]

    async def end(self, name):
        await asyncio.sleep(0.02)
        if name not in self.running:
            return
        self.ends.append(asyncio.get_running_loop().time())
        server, writers = self.running.pop(name)
        if not self.is_supervised:
            server.close()
        for writer in writers:
            writer.transport.abort()
        if self.is_supervised:
            await asyncio.sleep(DOWN_S)
            self.running[name] = (server, set())
            return
        await asyncio.sleep(RECORD_LAG_S)
        self.cluster.store.remove(f"servers/{name}")
        await asyncio.sleep(DOWN_S - RECORD_LAG_S)
        await self.start()
