"""Endpoints that reset the connections beyond their limit."""

import asyncio
from contextlib import AsyncExitStack

from tests.gateway.fake_endpoint import FakeEndpoint, complete_response
from tests.gateway.support import route, run_with_cluster

ENDPOINTS = 3
MAX_CONNECTIONS = 2
CALLS = 60


class FullEndpoint:
    """An endpoint that accepts a few connections, and resets any others."""

    def __init__(self, name):
        self.open = 0
        self.resets = 0
        self.endpoint = FakeEndpoint(
            name, lambda request: [0.3, complete_response(request, b"ok")]
        )

    async def serve(self, reader, writer):
        if self.open >= MAX_CONNECTIONS:
            self.resets += 1
            writer.transport.abort()
            return
        self.open += 1
        try:
            await self.endpoint.serve(reader, writer)
        finally:
            self.open -= 1


def test_an_endpoint_with_too_many_connections_is_not_taken_for_one_that_ended(
    tmp_path,
):
    """Guards against sound requests that are blocked when all endpoints are full."""

    async def check(cluster):
        async with AsyncExitStack() as stack:
            full = [FullEndpoint(f"full-{n}") for n in range(ENDPOINTS)]
            for each in full:
                server = await asyncio.start_server(each.serve, "127.0.0.1", 0)
                stack.callback(server.close)
                host, port = server.sockets[0].getsockname()
                each.endpoint.address = f"{host}:{port}"
                name = each.endpoint.name
                cluster.store.put(f"servers/{name}", each.endpoint.record("job"))
            cluster.configure(1, route("job", maxAttempts=4))
            gateways = [await cluster.gateway(f"g{n}") for n in range(2)]

            async def call(number):
                await asyncio.sleep(0.03 * number)
                gateway = gateways[number % 2]
                return await gateway.call(f"/job/{number % 5}")

            await asyncio.gather(*(call(number) for number in range(CALLS)))
            await asyncio.sleep(1.0)
            assert sum(each.resets for each in full) >= ENDPOINTS
            for gateway in gateways:
                lines = "\n".join(gateway.process.lines)
                assert "event=endpoint_closes_connections" not in lines
                assert "event=request_blocked" not in lines

    run_with_cluster(tmp_path, check)
