"""Whether an endpoint has ended, as a connection without a request shows."""

import asyncio

import pytest

from amaranthtally.daemon.gateway.endpoint_check import keeps_connections
from amaranthtally.standins.ports import reserve_port
from tests.support import run_async


async def stay(reader, writer):
    await reader.read()
    writer.close()


async def close(reader, writer):
    writer.close()


async def reset(reader, writer):
    writer.transport.abort()


@pytest.mark.parametrize(
    ("serve", "is_kept"), [(stay, True), (close, False), (reset, False)]
)
def test_an_endpoint_that_closes_each_connection_has_ended(serve, is_kept):
    """Guards against ends behind a supervisor that holds the port."""

    async def check():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        async with server:
            _, port = server.sockets[0].getsockname()
            assert await keeps_connections(f"127.0.0.1:{port}") is is_kept

    run_async(check())


def test_an_endpoint_that_refuses_connections_has_ended():
    """Guards against ends that are known no sooner than records go."""

    async def check():
        with reserve_port() as port:
            assert not await keeps_connections(f"127.0.0.1:{port}")

    run_async(check())
